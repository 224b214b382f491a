// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// How fresh a daemon's knowledge of the store is.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace Portpaddle {

/// A call for changes: Proof is answered at once, Waiting when there are changes.
enum class CallKind { Proof, Waiting };

/// What a check of the open call shows.
enum class CheckVerdict {
    /// The call is open with good reason, or there is none.
    Sound,
    /// The check says nothing about the call.
    Void,
    /// The call's answer is lost: it must be replaced.
    Lost
};

/// Collects what calls and checks over any connection to the store showed, and decides which call and check are due. After a sign
/// of silence no call is left waiting that may have been lost in it: the next one proves that the store answers. Takes the time
/// from the caller. Thread-safe.
class StoreContact
{
public:
    using Time = SteadyTime;

    /// Returns the kind of the next call for changes, which begins at @p now.
    CallKind beginCall(Time now);
    /// The call, or a listing, was answered with a state that the store confirmed at @p confirmedAt.
    void recordAnswer(Time confirmedAt);
    /// The call failed at @p now, or was interrupted.
    void recordFailure(Time now);

    /// Returns the time from the last check to the next one.
    Millis checkInterval() const;
    /// Returns how fresh the read of a check at @p now must be: cheap reads say nothing of the time since the last failure.
    ReadFreshness checkFreshness(Time now) const;
    /// A check got no answer until @p now.
    CheckVerdict recordFailedCheck(Time now);
    /// A check that began at @p began, while @p known was the daemon's revision, saw revision @p seen; @p current is the daemon's
    /// revision now.
    CheckVerdict recordCheck(Time began, ReadFreshness freshness, std::uint64_t seen, std::uint64_t known, std::uint64_t current);

    /// Whether the store answered anything asked after @p time.
    bool hasAnsweredSince(Time time) const;
    /// Returns for how long the store has not confirmed what the daemon knows.
    Millis age(Time now) const;

private:
    void confirm(Time time);

    mutable std::mutex mutex_;
    /// Whether a call that is not a proof is open.
    bool waiting_ = false;
    /// Whether a sign of silence came after the last answer to a call.
    bool doubted_ = true;
    /// The last sign that the store was silent or that its cheap reads are old.
    Time troubledAt_{};
    bool troubled_ = false;
    /// When the last call or check that was answered had begun.
    Time answeredAt_{};
    Time callBeganAt_{};
    Time confirmedAt_{};
    /// The revision at which a check found the daemon behind; zero if the last check did not.
    std::uint64_t behindAt_ = 0;
};

} // namespace Portpaddle
