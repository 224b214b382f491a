// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A whole request of a caller, with what its headers say decoded.
#pragma once

#include "portpaddle/gateway/continuation.h"
#include "portpaddle/gateway/header_names.h"
#include "portpaddle/interfaces/answer_sink.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/net/asio.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// A part of a prompt that other prompts may share; the hash covers all parts up to this one.
struct PromptPart
{
    std::uint64_t chainHash = 0;
    unsigned tokens = 0;
};

/// What a request asks of a model engine.
struct PromptFacts
{
    std::vector<PromptPart> parts;
    unsigned promptTokens = 0;
    unsigned maxTokensOut = 0;
    /// The caller's estimate, right in the median; the most where there is none.
    unsigned expectedTokensOut = 0;

    /// Tokens of all parts but the last, which belongs to this request alone.
    double sharedTokens() const;
};

/// Bounds of the decoded prompt headers; longer lists are cut, which costs cache hits only.
inline constexpr std::size_t maxPromptParts = 64;

/// A request with its decoded headers.
struct CallerRequest
{
    std::string id;
    std::uint64_t idHash = 0;
    std::string host;
    HttpRequest message;
    PromptFacts prompt;
    /// When it reached the first daemon.
    SteadyTime arrivedAt;
    /// When it reached this daemon.
    SteadyTime receivedAt;
    /// Counted from receivedAt; absent where the caller named none.
    std::optional<Millis> timeLeft;
    /// It came from another daemon, which did the routing between regions.
    bool relayed = false;
    /// Whose request it is, as the daemon says that sent it here; empty where it came from its caller.
    std::string organisation;
    /// Upstreams that other daemons sent it to before.
    unsigned earlierSends = 0;
    /// The daemon that sent it here can have its stream continued elsewhere.
    bool continues = false;
    /// It goes on from the memory of a run that was moved.
    std::optional<Continuation> continuation;
};

/// Decodes what @p message says; names as in @p names.
CallerRequest decodeRequest(HttpRequest message, const HeaderNames &names, SteadyTime arrivedAt);

} // namespace Portpaddle
