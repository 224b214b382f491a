// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Conversion of calls, answers and errors to link frames and back.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/wire/peer_generated.h"

namespace Portpaddle {

/// Returns the frame that opens @p call on another daemon.
Wire::OpenRequestT openFrame(const Call &call, const RequestPolicy &policy, std::uint64_t settingsVersion, Millis timeLeft);
/// Returns the call that @p frame opens; it arrives at @p now, from which its deadline is counted.
Call callFromFrame(const Wire::OpenRequestT &frame, Millis now);
Wire::AnswerEndT endFrame(std::uint32_t stream, const Status &status);
Error errorFromFrame(const Wire::AnswerEndT &frame);
Wire::AnswerHeadT headFrame(std::uint32_t stream, const AnswerHead &head);
AnswerHead headFromFrame(const Wire::AnswerHeadT &frame);

} // namespace Portpaddle
