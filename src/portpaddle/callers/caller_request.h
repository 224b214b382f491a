// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A complete request of a caller with its decoded headers.
#pragma once

#include "portpaddle/attempts/configuration_stamp.h"
#include "portpaddle/attempts/upstream_keys.h"
#include "portpaddle/callers/header_names.h"
#include "portpaddle/interfaces/answer_sink.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/net/asio.h"
#include "portpaddle/net/received_body.h"
#include "portpaddle/stream_versions/stream_key.h"
#include "portpaddle/streams/continuation.h"

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

using HttpRequest = boost::beast::http::request<ReceivedBody>;

/// A part of a prompt that other prompts may share; the hash covers this part and all parts before it.
struct PromptPart
{
    std::uint64_t chainHash = 0;
    unsigned tokens = 0;
};

/// Properties of a prompt, as the headers of its request state them.
struct PromptFacts
{
    std::vector<PromptPart> parts;
    unsigned promptTokens = 0;
    unsigned maxTokensOut = 0;
    /// The caller's estimate, which is right in the median; maxTokensOut if the caller gave none.
    unsigned expectedTokensOut = 0;

    /// Returns the tokens of all parts but the last, which belongs to this request alone.
    double sharedTokens() const;
};

/// Maximum number of prompt parts that are decoded; longer lists are truncated, which only costs cache hits.
inline constexpr std::size_t maxPromptParts = 64;

/// A request with its decoded headers and the facts that another daemon added.
struct CallerRequest
{
    std::string id;
    std::uint64_t idHash = 0;
    /// The id of the try that brought the first event of the stream that is taken up; empty for a new stream.
    std::string resumes;
    std::string host;
    HttpRequest message;
    PromptFacts prompt;
    /// When the request reached the first daemon.
    SteadyTime arrivedAt;
    /// When the request reached this daemon.
    SteadyTime receivedAt;
    /// The caller's remaining time in milliseconds, counted from receivedAt; absent if the caller named none.
    std::optional<Millis> timeLeft;
    /// The request came from another daemon, which did the routing between regions.
    bool relayed = false;
    /// The organisation that the forwarding daemon named; empty if the request came from its caller.
    std::string organisation;
    /// The configuration under which the forwarding daemon accepted the request, as it named it.
    std::optional<ConfigurationStamp> acceptedUnder;
    /// Number of times that other daemons sent the request to an upstream.
    unsigned earlierSends = 0;
    /// The upstreams that may have run the request before.
    UpstreamKeys ranAt;
    /// Number of events of the stream that the caller has received through the forwarding daemon.
    std::size_t eventsSeen = 0;
    /// The forwarding daemon can have the stream continued elsewhere.
    bool senderCanContinue = false;
    /// Returns a hash that a further try of the caller also has: that of its prompt, or of the id where there is none.
    std::uint64_t contentHash() const;
    /// The version that began the stream, as the forwarding daemon named it.
    std::optional<VersionKey> streamVersion;
    /// Returns a hash that all tries of the caller for one stream have: that of the try that began it.
    std::uint64_t streamHash() const;
    /// Where the request resumes a run whose memory was moved; absent for a run that starts anew.
    std::optional<Continuation> continuation;
};

/// Returns the names of the parts of a prompt in the header @p list, at most maxPromptParts.
std::vector<std::string_view> promptPartNames(std::string_view list);
/// Decodes the headers of @p message, which have the names in @p names.
CallerRequest decodeRequest(HttpRequest message, const HeaderNames &names, SteadyTime arrivedAt);

} // namespace Portpaddle
