// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Bounds on what is read from peers: bytes of heads and bodies, times, and counts. Memory is taken as bytes arrive, so that a
/// peer that announces the largest length gets no more than one that announces none. The bounds of a caller's head, body and
/// times are in CallerLimits, which the operator sets.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Portpaddle::PeerBounds {

using std::chrono::milliseconds;

/// Answers of upstreams and of other daemons.
inline constexpr std::uint32_t answerHeadBytes = 64 * 1024;
/// From the first byte of a head to its last one.
inline constexpr milliseconds answerHeadTime{ 1'000 };
inline constexpr unsigned interimAnswers = 8;
/// An answer that is passed on may be long, but no connection carries a longer one within the time of a request: a greater length
/// is damaged.
inline constexpr std::uint64_t answerBytes = std::uint64_t{ 1 } << 40;
/// Answers that are not streams are buffered until they are complete, so that a cut answer can be retried. One that is longer and
/// did not say so may have no end.
inline constexpr std::size_t wholeAnswerBytes = 8 * 1024 * 1024;
/// An answer that reports a failure is short, and its caller waits for another attempt.
inline constexpr std::size_t failureBytes = 1024 * 1024;
inline constexpr milliseconds failureTime{ 2'000 };
/// The rest of a refusal is only awaited so that its connection can be used again.
inline constexpr milliseconds refusalTime{ 20 };
/// Late answers to earlier requests on the connection, and the time that each of them may take.
inline constexpr unsigned lateAnswers = 4;
inline constexpr milliseconds lateAnswerTime{ 1'000 };
/// A late or refused answer that is read only to be discarded.
inline constexpr std::size_t discardedBytes = 64 * 1024;
/// Events of upstreams hold a few tokens each.
inline constexpr std::size_t eventBytes = 1024 * 1024;
/// Buffers of events up to this size are not counted among the memory for answers: usual streams go on while others hold it.
inline constexpr std::size_t uncountedEventBytes = 16 * 1024;

/// Answers to orders name one handle; this holds for the head and for the body. The order sets the time.
inline constexpr std::uint32_t orderAnswerBytes = 16 * 1024;

/// States of other daemons; a configuration of some hundred routes takes a tenth of this. A whole state may come over a slow
/// link.
inline constexpr std::size_t stateBytes = 8 * 1024 * 1024;
inline constexpr milliseconds stateTime{ 5'000 };

/// A line in the head of an answer to a blocking call, or between its chunks. Neither the store nor daemons send lines this long.
inline constexpr std::size_t callLineBytes = 1024;

/// Answers of the store. Pages of a listing have 1 MB; changes of the whole history come at once.
inline constexpr std::size_t storeAnswerBytes = 64 * 1024 * 1024;
/// A listing or a batch of changes may arrive over a slow link, in this time after the time-out of the call.
inline constexpr milliseconds storeAnswerTime{ 10'000 };

/// Bytes of a caller's following requests that are buffered while one request is served; further bytes stay in the kernel.
inline constexpr std::size_t callerReadAheadBytes = 16 * 1024;
/// What a field of a head takes beside its bytes, however short it is.
inline constexpr std::size_t fieldOverheadBytes = 80;
/// A head is held twice: as it came, and as it is sent on or kept beside its trailer.
inline constexpr std::size_t headCopies = 2;
/// An ordinary head; the number of connections bounds the sum of these. What a head takes beyond this counts as a body does.
inline constexpr std::size_t ordinaryHeadBytes = 8 * 1024;
/// The line of a chunk in a caller's body beside what a head may have; a trailer may be as long as a head. Neither is parsed, and
/// its bytes given back, before it is whole.
inline constexpr std::size_t chunkLineBytes = 4 * 1024;

} // namespace Portpaddle::PeerBounds
