// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Places of a request at upstreams that fall over when they reject too many requests.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"
#include "portpaddle/net/elapsed.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

// A request whose time ended in the upstream's queue is turned away like one for which there is no room.
constexpr Millis queueTimeoutMargin{ 50 };

std::optional<unsigned> roomIn(const LoadReading &reading)
{
    const bool isReported = reading.kind == LoadReadingKind::Reported;
    return isReported ? std::optional<unsigned>(reading.load.running + reading.load.waiting) : std::nullopt;
}

} // namespace

// A moved run has its memory at the upstream, which admits it before all others.
Task<bool> Exchange::takePlace(const Target &target, std::optional<HeldPlace> &place)
{
    const std::optional<double> borne = gateway_.brittleServices_.borne(service_, BootClock::now());
    if (!target.upstream || !borne || !memoryFrom_.empty()) {
        co_return true;
    }
    place = co_await gateway_.places_.take(target.upstream->id, *borne);
    if (!place) {
        gateway_.metrics_.count(Counter::PlacesDenied);
        co_return false;
    }
    if (interruption_ != Interruption::None) {
        givePlaceBack(place, PlaceEnd::Unknown);
        co_return false;
    }
    co_return true;
}

void Exchange::givePlaceBack(std::optional<HeldPlace> &place, PlaceEnd end)
{
    if (place) {
        gateway_.places_.release(*place, end);
        place.reset();
    }
}

void Exchange::noteRejection(Attempt &attempt, const AnswerNotice &notice)
{
    const UpstreamRecord &upstream = *attempt.target.upstream;
    const std::optional<double> borne = gateway_.brittleServices_.borne(service_, BootClock::now());
    const bool fromAsked = notice.incarnation.empty() || notice.incarnation == upstream.registeredName;
    if (!borne || !notice.full || !fromAsked || timeLeft() < queueTimeoutMargin) {
        return;
    }
    gateway_.metrics_.count(Counter::BrittleRejections);
    logEvent(LogEvent::UpstreamRejected,
             { { "upstream", upstream.id },
               { "rejections_borne", fmt::format("{:.3f}", *borne) },
               { "own_running", std::to_string(gateway_.loads_.running(upstream.id)) } });
    const Rejection rejection{ roomIn(notice.load), elapsedSince(attempt.ticket.sentAt) };
    if (attempt.place) {
        gateway_.places_.reject(*attempt.place, rejection);
        attempt.place.reset();
    } else {
        gateway_.places_.rejectedWithoutPlace(upstream.id, *borne, rejection);
    }
}

} // namespace Portpaddle
