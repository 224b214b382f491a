// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads what the router needs from the body of a chat completion request.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <string>

namespace Portpaddle {

/// What routing needs to know of a chat completion request.
struct ChatRequest
{
    std::string model;
    bool streamed = false;
    unsigned promptTokens = 0;
    unsigned expectedTokens = 0;
    std::uint64_t prefixHash = 0;
};

/// BadRequest with the member at fault when @p body is not a chat completion request.
Result<ChatRequest> parseChatRequest(const std::string &body);

} // namespace Portpaddle
