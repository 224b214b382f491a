// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The software version that began the stream of an exchange: found out for a stream that a caller takes up, and told to other
// daemons.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/net/beast_text.h"

namespace Portpaddle {

bool Exchange::takesUpStream() const
{
    return route_->kind == RouteKind::Stream
        && (!request_.resumes.empty() || !viewOf(request_.message[gateway_.names_.lastEventId]).empty());
}

StreamKey Exchange::streamKey() const
{
    return streamKeyOf(service_, request_.host, callerName(), request_.resumes.empty() ? request_.id : request_.resumes);
}

// What two versions write doesn't fit together, so a stream goes on only where it is certain which version began it.
Task<bool> Exchange::findStreamVersion()
{
    const bool named = request_.streamVersion || continuation_;
    if (!takesUpStream() || named || versionService_ == service_) {
        co_return true;
    }
    versionService_ = service_;
    const std::optional<VersionKey> sole = co_await gateway_.provenSoleVersion(*route_, service_);
    progress_.version
        = request_.resumes.empty() ? sole : co_await gateway_.streamVersions_.find(streamKey(), serviceKey(service_), sole);
    if (progress_.version) {
        gateway_.metrics_.count(Counter::StreamsTakenUp);
        co_return true;
    }
    gateway_.metrics_.count(Counter::StreamsOfUnknownVersion);
    co_await refuse(ErrorCode::NoUpstream, "no daemon knows which software version began the stream", suggestedRetryAfter());
    co_return false;
}

Task<bool> Exchange::findRouteAgain()
{
    const bool found = co_await findRoute();
    if (!found) {
        co_return false;
    }
    const bool versionKnown = co_await findStreamVersion();
    co_return versionKnown;
}

void Exchange::announceStream(SteadyTime now)
{
    const bool isResumable = route_ != nullptr && route_->kind == RouteKind::Stream && route_->resumable;
    if (isAnnounced_ || request_.relayed || !progress_.begun || !progress_.version || !isResumable) {
        return;
    }
    if (gateway_.soleVersion(*route_, service_, now)) {
        return;
    }
    isAnnounced_ = true;
    gateway_.streamVersions_.announce(streamKey(), *progress_.version, now);
    gateway_.metrics_.count(Counter::StreamsAnnounced);
}

} // namespace Portpaddle
