// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What daemons tell each other of a run whose memory was moved: where it goes on.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// A run that goes on at another engine.
struct Continuation
{
    /// The engine that holds the copy.
    std::string upstream;
    /// What that engine is told: the source of the copy and its name.
    std::string memoryFrom;
};

/// Between daemons, on a request: the sender can have a stream continued that ends unfinished.
inline constexpr const char *continuesHeader = "X-Portpaddle-Continues";
/// Between daemons: a continuation. After a stream where it is to go on, on a request what it goes on from.
inline constexpr const char *continueAtHeader = "X-Portpaddle-Continue-At";

std::string encodeContinuation(const Continuation &continuation);
/// No value where @p text is none.
std::optional<Continuation> decodeContinuation(std::string_view text);

} // namespace Portpaddle
