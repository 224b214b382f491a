// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Extracts the routing data from the body of a chat completion request.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <string>

namespace Portpaddle {

/// The data of a chat completion request that routing depends on.
struct ChatRequest
{
    std::string model;
    bool streamed = false;
    unsigned promptTokens = 0;
    unsigned expectedTokens = 0;
    std::uint64_t prefixHash = 0;
};

/// Parses @p body; returns BadRequest with the name of the invalid member if it is not a chat completion request.
Result<ChatRequest> parseChatRequest(const std::string &body);

} // namespace Portpaddle
