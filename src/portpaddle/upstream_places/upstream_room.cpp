// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_places/upstream_room.h"

#include <algorithm>
#include <iterator>

namespace Portpaddle {

namespace {

// An upstream rejects a request at once. This covers the way there and back, through another daemon.
constexpr std::chrono::milliseconds minVerdictTime{ 20 };
// The same for an upstream or a VM that is slow, where nothing says yet that there is room.
constexpr std::chrono::milliseconds minCautiousVerdictTime{ 50 };
constexpr std::chrono::milliseconds maxVerdictTime{ 500 };
// Verdict times in multiples of the time that rejections took lately.
constexpr int verdictMargin = 2;
constexpr int cautiousVerdictMargin = 3;
// After the room has become smaller, no request is taken to be accepted early for this time.
constexpr std::chrono::milliseconds cautiousTime{ 300 };
// Part of the proven room, and of the rejections borne, that is tried beyond it at once.
constexpr std::size_t trialDivisor = 4;
// Daemons confirm their places ten times a second.
constexpr std::chrono::milliseconds lapseTime{ 1'000 };
// Rejections count a little longer than the second of the upstream, whose clock counts arrivals.
constexpr std::chrono::milliseconds rejectionWindow{ 1'150 };
// Pause between two attempts to find more room, doubled each time that there is none.
constexpr std::chrono::milliseconds minTrialPause{ 1'000 };
constexpr std::chrono::milliseconds maxTrialPause{ 16'000 };
// Pause after requests within the proven room were rejected, which has become smaller.
constexpr std::chrono::milliseconds pauseAfterLoss{ 200 };
// Part of the requests at the upstream that is left as its room after repeated rejections.
constexpr double remainingShare = 0.5;
// Places beyond this number are not handed out.
constexpr std::size_t maxPlaces = 4'096;

} // namespace

void UpstreamRoom::setBorne(double perSecond)
{
    borne_ = perSecond;
}

std::size_t UpstreamRoom::borneInWindow() const
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::min(borne_, double(maxPlaces))));
}

// An upstream that bears less than one rejection a second bears one in a longer time.
SteadyTime::duration UpstreamRoom::window() const
{
    const double stretch = std::max(1.0, 1 / borne_);
    return std::chrono::duration_cast<SteadyTime::duration>(rejectionWindow * stretch);
}

void UpstreamRoom::settle(SteadyTime now)
{
    while (!rejections_.empty() && rejections_.front() + window() < now) {
        rejections_.pop_front();
    }
    while (!open_.empty() && open_.begin()->first <= now) {
        const auto place = places_.find(open_.begin()->second);
        if (place != places_.end() && place->second.isOpen) {
            accept(place->second, now);
        }
        open_.erase(open_.begin());
    }
}

void UpstreamRoom::closeVerdict(Place &place)
{
    openCount_ -= place.isOpen ? 1 : 0;
    openTrials_ -= place.isOpen && place.isTrial ? 1 : 0;
    place.isOpen = false;
}

void UpstreamRoom::accept(Place &place, SteadyTime now)
{
    closeVerdict(place);
    if (place.takenAt > reducedAt_) {
        failures_ = 0;
        proven_ = std::max(proven_, place.level);
    }
    if (place.isTrial && place.takenAt > reducedAt_) {
        trialPause_ = minTrialPause;
        nextTrialAt_ = std::min(nextTrialAt_, now);
    }
}

bool UpstreamRoom::mayTry(SteadyTime now) const
{
    const std::size_t atOnce = std::max<std::size_t>(1, std::min(proven_, borneInWindow()) / trialDivisor);
    return 2 * rejections_.size() < borneInWindow() && openTrials_ < atOnce && now >= nextTrialAt_;
}

// All requests whose verdict is open could be rejected. With those that were, they stay within what the upstream bears.
bool UpstreamRoom::take(PlaceToken token, SteadyTime now)
{
    settle(now);
    if (places_.contains(token)) {
        return true;
    }
    if (rejections_.size() + openCount_ >= borneInWindow() || places_.size() >= maxPlaces) {
        return false;
    }
    const bool isTrial = places_.size() >= proven_;
    if (isTrial && !mayTry(now)) {
        return false;
    }
    places_.emplace(token, Place{ now, now, places_.size() + 1, isTrial, true });
    const bool isCautious = isTrial || now < cautiousUntil_;
    open_.emplace(now + verdictTime(isCautious), token);
    ++openCount_;
    openTrials_ += isTrial ? 1 : 0;
    return true;
}

void UpstreamRoom::confirm(PlaceToken token, SteadyTime now)
{
    settle(now);
    const auto known = places_.find(token);
    if (known != places_.end()) {
        known->second.confirmedAt = now;
        return;
    }
    if (places_.size() >= maxPlaces) {
        return;
    }
    places_.emplace(token, Place{ now, now, places_.size() + 1, false, false });
    if (rejections_.empty()) {
        proven_ = std::max(proven_, places_.size());
    }
}

void UpstreamRoom::release(PlaceToken token, PlaceEnd end, SteadyTime now)
{
    settle(now);
    const auto found = places_.find(token);
    if (found == places_.end()) {
        return;
    }
    if (end == PlaceEnd::Answered && found->second.isOpen) {
        accept(found->second, now);
    }
    closeVerdict(found->second);
    places_.erase(found);
}

void UpstreamRoom::reject(PlaceToken token, const Rejection &rejection, SteadyTime now)
{
    settle(now);
    rejections_.push_back(now);
    if (rejections_.size() > 2 * borneInWindow()) {
        rejections_.pop_front();
    }
    rejectionDelay_ = std::max(rejection.delay, rejectionDelay_ / 2);
    const auto found = places_.find(token);
    lowerRoom(found == places_.end() ? nullptr : &found->second, rejection.room, now);
    if (found != places_.end()) {
        closeVerdict(found->second);
        places_.erase(found);
    }
}

SteadyTime::duration UpstreamRoom::verdictTime(bool isCautious) const
{
    const auto shortest = isCautious ? minCautiousVerdictTime : minVerdictTime;
    const auto expected = (isCautious ? cautiousVerdictMargin : verdictMargin) * rejectionDelay_;
    return std::clamp(expected, shortest, maxVerdictTime);
}

// A rejection beyond the proven room confirms it. One within it says that there is less: the first one lowers the proven room by
// little, each further one by a part. Requests that were sent before the last reduction tell nothing new.
void UpstreamRoom::lowerRoom(const Place *place, std::optional<unsigned> reported, SteadyTime now)
{
    if (place != nullptr && place->takenAt < reducedAt_) {
        return;
    }
    reducedAt_ = now;
    const std::size_t others = place == nullptr ? places_.size() : place->level - 1;
    if (place != nullptr && place->isTrial) {
        proven_ = std::max<std::size_t>(1, std::min(proven_, others));
        trialPause_ = std::clamp<SteadyTime::duration>(2 * trialPause_, minTrialPause, maxTrialPause);
        nextTrialAt_ = now + trialPause_;
        return;
    }
    ++failures_;
    const auto part = static_cast<std::size_t>(static_cast<double>(others) * remainingShare);
    const std::size_t left = reported ? std::min<std::size_t>(others, *reported) : failures_ == 1 ? others : part;
    proven_ = std::max<std::size_t>(1, std::min(proven_, left));
    trialPause_ = minTrialPause;
    nextTrialAt_ = now + pauseAfterLoss;
    cautiousUntil_ = now + cautiousTime;
}

void UpstreamRoom::dropLapsed(SteadyTime now)
{
    settle(now);
    for (auto place = places_.begin(); place != places_.end();) {
        const bool lapsed = place->second.confirmedAt + lapseTime < now;
        if (lapsed) {
            closeVerdict(place->second);
        }
        place = lapsed ? places_.erase(place) : std::next(place);
    }
}

std::size_t UpstreamRoom::occupied() const
{
    return places_.size();
}

std::size_t UpstreamRoom::proven() const
{
    return proven_;
}

} // namespace Portpaddle
