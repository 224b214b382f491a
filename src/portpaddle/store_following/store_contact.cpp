// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/store_contact.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Two rounds of the check detect a lost answer well within the few seconds in which a configuration must take effect. Each round
// costs a tenth of a watch call.
constexpr Millis usualCheckInterval{ 1'200 };
// The return of the store must be noticed within a second.
constexpr Millis doubtedCheckInterval{ 400 };
// Cheap reads may be some seconds old. For this long after trouble the checks are counted reads.
constexpr Millis troubleTime{ 10'000 };

} // namespace

CallKind StoreContact::beginCall(Time now)
{
    const std::lock_guard lock(mutex_);
    callBeganAt_ = now;
    waiting_ = !doubted_;
    return doubted_ ? CallKind::Proof : CallKind::Waiting;
}

void StoreContact::recordAnswer(Time confirmedAt)
{
    const std::lock_guard lock(mutex_);
    // A check that failed while a waiting call was open says that the connection may have been silent since: that call's answer
    // does not tell whether the next one will come.
    doubted_ = doubted_ && waiting_;
    waiting_ = false;
    answeredAt_ = std::max(answeredAt_, callBeganAt_);
    confirm(confirmedAt);
}

void StoreContact::recordFailure(Time now)
{
    const std::lock_guard lock(mutex_);
    waiting_ = false;
    doubted_ = true;
    troubled_ = true;
    troubledAt_ = now;
}

Millis StoreContact::checkInterval() const
{
    const std::lock_guard lock(mutex_);
    return doubted_ ? doubtedCheckInterval : usualCheckInterval;
}

ReadFreshness StoreContact::checkFreshness(Time now) const
{
    const std::lock_guard lock(mutex_);
    // While the store is doubted, the check only looks for a sign of life: the call that follows is a counted one.
    const bool isTroubled = troubled_ && now - troubledAt_ < troubleTime;
    return isTroubled && !doubted_ ? ReadFreshness::Newest : ReadFreshness::MayBeStale;
}

CheckVerdict StoreContact::recordFailedCheck(Time now)
{
    const std::lock_guard lock(mutex_);
    doubted_ = true;
    troubled_ = true;
    troubledAt_ = now;
    behindAt_ = 0;
    return waiting_ ? CheckVerdict::Lost : CheckVerdict::Void;
}

CheckVerdict StoreContact::recordCheck(Time began, ReadFreshness freshness, std::uint64_t seen, std::uint64_t known,
                                       std::uint64_t current)
{
    const std::lock_guard lock(mutex_);
    answeredAt_ = std::max(answeredAt_, began);
    if (seen < known) {
        troubled_ = true;
        troubledAt_ = began;
        return CheckVerdict::Void;
    }
    const bool isBehind = seen > current;
    // Behind at the same revision in two checks in a row: a single one may have been made while changes were on their way.
    if (isBehind && behindAt_ == known) {
        behindAt_ = 0;
        doubted_ = true;
        return waiting_ ? CheckVerdict::Lost : CheckVerdict::Void;
    }
    behindAt_ = isBehind ? known : 0;
    const bool isOld = freshness == ReadFreshness::MayBeStale && troubled_ && began - troubledAt_ < troubleTime;
    if (isBehind || isOld || doubted_) {
        return CheckVerdict::Void;
    }
    confirm(began);
    return CheckVerdict::Sound;
}

bool StoreContact::hasAnsweredSince(Time time) const
{
    const std::lock_guard lock(mutex_);
    return answeredAt_ > time;
}

Millis StoreContact::age(Time now) const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<Millis>(now - confirmedAt_);
}

void StoreContact::confirm(Time time)
{
    confirmedAt_ = std::max(confirmedAt_, time);
}

} // namespace Portpaddle
