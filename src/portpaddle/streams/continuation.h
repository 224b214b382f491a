// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Tells another daemon where a run continues after its memory was moved.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// The place at which a moved run continues.
struct Continuation
{
    /// Id of the engine that holds the copy.
    std::string upstream;
    /// The source and the handle of the copy, as that engine is told.
    std::string memoryFrom;
};

/// Between daemons, on a request: the sender can have an unfinished stream continued elsewhere.
inline constexpr const char *continuesHeader = "X-Portpaddle-Continues";
/// Between daemons: a continuation. At the end of a stream: where to continue it; on a request: what to resume.
inline constexpr const char *continueAtHeader = "X-Portpaddle-Continue-At";

std::string encodeContinuation(const Continuation &continuation);
/// Parses a header value; returns no value if @p text is invalid.
std::optional<Continuation> decodeContinuation(std::string_view text);

} // namespace Portpaddle
