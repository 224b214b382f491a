// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// How many requests the daemons of a region may have at one brittle upstream: one that falls over when it rejects too many.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Portpaddle {

/// Identifies the place of one request at an upstream; chosen by the daemon that sends the request.
using PlaceToken = std::uint64_t;

/// How a request that had a place and was not rejected ended.
enum class PlaceEnd { Answered, Unknown };

/// What a rejection tells of its upstream.
struct Rejection
{
    /// Requests that the upstream reported to have; no value if it reports none.
    std::optional<unsigned> room;
    /// Time from the request to the rejection.
    std::chrono::milliseconds delay{ 0 };
};

/// Hands out places at one incarnation of an upstream. All daemons of the region take their places here, so that the number of
/// requests at the upstream is known. Belongs to one event loop.
class UpstreamRoom
{
public:
    /// Sets the number of rejections that the upstream bears in a second.
    void setBorne(double perSecond);
    /// Takes a place for a request that is sent next; returns false if the upstream might reject one request too many. Repeating
    /// the call for a token changes nothing.
    bool take(PlaceToken token, SteadyTime now);
    /// Records that the request of @p token is still at the upstream, also where its place was not taken here.
    void confirm(PlaceToken token, SteadyTime now);
    /// Frees the place of a request that was not rejected.
    void release(PlaceToken token, PlaceEnd end, SteadyTime now);
    /// Frees the place of a request that the upstream rejected for want of room, also where it had none.
    void reject(PlaceToken token, const Rejection &rejection, SteadyTime now);
    /// Frees places that nobody has confirmed for a while. Call a few times a second.
    void dropLapsed(SteadyTime now);
    /// Returns the number of places taken.
    std::size_t occupied() const;
    /// Returns the number of requests for which the upstream is known to have room.
    std::size_t proven() const;

private:
    struct Place
    {
        SteadyTime takenAt;
        SteadyTime confirmedAt;
        /// Number of places taken, with this one, when it was taken.
        std::size_t level = 0;
        /// Taken beyond the proven room.
        bool isTrial = false;
        /// The request may still be rejected.
        bool isOpen = false;
    };

    /// Counts requests as accepted that were not rejected in time, and forgets old rejections.
    void settle(SteadyTime now);
    void accept(Place &place, SteadyTime now);
    void closeVerdict(Place &place);
    void lowerRoom(const Place *place, std::optional<unsigned> reported, SteadyTime now);
    /// Returns the time after which a request that was not rejected counts as accepted.
    SteadyTime::duration verdictTime(bool isCautious) const;
    bool mayTry(SteadyTime now) const;
    std::size_t borneInWindow() const;
    SteadyTime::duration window() const;

    double borne_ = 1;
    std::unordered_map<PlaceToken, Place> places_;
    /// Places by the time at which their requests count as accepted; those that are no longer open are skipped.
    std::multimap<SteadyTime, PlaceToken> open_;
    std::size_t openCount_ = 0;
    std::size_t openTrials_ = 0;
    std::size_t proven_ = 1;
    std::deque<SteadyTime> rejections_;
    /// Rejections since a request that was sent after the last one was accepted.
    unsigned failures_ = 0;
    SteadyTime reducedAt_{};
    SteadyTime nextTrialAt_{};
    SteadyTime cautiousUntil_{};
    /// How long rejections took lately.
    std::chrono::milliseconds rejectionDelay_{ 0 };
    SteadyTime::duration trialPause_{};
};

} // namespace Portpaddle
