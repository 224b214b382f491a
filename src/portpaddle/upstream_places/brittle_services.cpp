// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_places/brittle_services.h"

#include "portpaddle/base/log.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// While a service is rolled out, only some of its upstreams may be brittle: the service is, until none has said so for this time.
constexpr std::chrono::seconds quietTime{ 2 };
// Without any answer, a service that was brittle is taken to be so for this time.
constexpr std::chrono::seconds maxUnheardTime{ 60 };
constexpr std::chrono::seconds writeInterval{ 3 };
// The daemons try to write a record one after the other, until one of them has written it.
constexpr std::chrono::milliseconds writeStagger{ 1'500 };
constexpr std::int64_t maxAgeMs = 3'600'000;

std::uint64_t keyOf(const std::string &service)
{
    return stableHash("brittle service " + service);
}

} // namespace

BrittleServices::BrittleServices(std::string region, const StableOwner &owners) : region_(std::move(region)), owners_(owners)
{
}

void BrittleServices::setWriteRecord(WriteRecord write)
{
    write_ = std::move(write);
}

void BrittleServices::setView(std::shared_ptr<const FleetView> view, SteadyTime now)
{
    view_ = std::move(view);
    if (view_->services && view_->services != services_) {
        services_ = view_->services;
        names_.clear();
        for (const auto &[name, spec] : services_->services) {
            names_.emplace(keyOf(name), name);
        }
    }
    forgetLapsed();
    for (const auto &[key, perSecond] : view_->upstreamLimits) {
        if (names_.contains(key)) {
            changed(key, table_.stored(key, perSecond, now), now);
        }
    }
}

/// Drops services that are no longer configured, and those known only from a record that has expired.
void BrittleServices::forgetLapsed()
{
    std::vector<std::uint64_t> lapsed;
    for (const auto &[key, limit] : table_.all()) {
        if (!names_.contains(key) || (limit.onlyStored && !view_->upstreamLimits.contains(key))) {
            lapsed.push_back(key);
        }
    }
    for (const std::uint64_t key : lapsed) {
        table_.forget(key);
        announcer_.forget(key);
        writtenAt_.erase(key);
    }
}

bool BrittleServices::answered(const std::string &service, const LimitReading &reading, bool fromUpstream, SteadyTime sentAt,
                               SteadyTime now)
{
    const bool isAbsent = reading.kind == LimitKind::Absent && fromUpstream;
    if (reading.kind != LimitKind::Named && (!isAbsent || !any())) {
        return false;
    }
    const std::uint64_t key = keyOf(service);
    if (!names_.contains(key)) {
        return false;
    }
    if (reading.kind == LimitKind::Named) {
        return changed(key, table_.named(key, reading.perSecond, now), now);
    }
    const KnownLimit *known = table_.find(key);
    const bool isOver = known != nullptr && (known->onlyStored || now - known->answeredAt >= quietTime);
    return isOver && changed(key, table_.answeredWithout(key, sentAt, now), now);
}

bool BrittleServices::changed(std::uint64_t key, LimitChange change, SteadyTime now)
{
    if (change == LimitChange::None) {
        return false;
    }
    const KnownLimit &limit = *table_.find(key);
    if (!limit.onlyStored) {
        announcer_.changed(key, now);
    }
    logEvent(limit.ended ? LogEvent::ServiceBrittleEnded : LogEvent::ServiceBrittle,
             { { "service", names_.at(key) },
               { "rejections_borne", fmt::format("{:.3f}", limit.perSecond) },
               { "heard_from", limit.source } });
    return true;
}

std::optional<double> BrittleServices::borne(const std::string &service, SteadyTime now) const
{
    // Each request asks this, and usually no service is brittle.
    if (!any()) {
        return std::nullopt;
    }
    const KnownLimit *limit = table_.find(keyOf(service));
    if (limit == nullptr || limit->ended) {
        return std::nullopt;
    }
    const bool isHeard = limit->onlyStored || now - limit->answeredAt <= maxUnheardTime;
    return isHeard ? std::optional(limit->perSecond) : std::nullopt;
}

bool BrittleServices::any() const
{
    return !table_.all().empty();
}

void BrittleServices::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::UpstreamLimit &announced : digest.brittle_services) {
        const std::uint64_t key = announced.upstream();
        KnownLimit limit;
        limit.perSecond = boundedRate(announced.per_second());
        if (digest.region != region_ || !names_.contains(key) || std::isnan(limit.perSecond)) {
            continue;
        }
        limit.ended = announced.ended();
        limit.answeredAt = now - std::chrono::milliseconds(announced.age_ms());
        limit.source = digest.daemon;
        changed(key, table_.reported(key, limit, now), now);
        const KnownLimit *known = table_.find(key);
        if (known != nullptr && isSameLimit(*known, limit)) {
            announcer_.receivedSame(key, now);
        } else if (known != nullptr) {
            // The sender has missed the newer state that this daemon knows.
            announcer_.changed(key, now);
        }
    }
}

void BrittleServices::addDue(Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const auto &[key, limit] : table_.all()) {
        if (limit.onlyStored || digest.brittle_services.size() == maxDigestUpstreamLimits) {
            continue;
        }
        const bool announces
            = limit.ended ? announcer_.dueOnce(key) : announcer_.due(key, { owners_.rank(key), owners_.members() }, now);
        if (announces) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.answeredAt).count();
            const auto bounded = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, maxAgeMs));
            digest.brittle_services.emplace_back(key, static_cast<float>(limit.perSecond), bounded, limit.ended);
        }
    }
}

bool BrittleServices::isStored(std::uint64_t key, const KnownLimit &limit) const
{
    const auto stored = view_->upstreamLimits.find(key);
    const double storedRate = stored == view_->upstreamLimits.end() ? 0 : stored->second;
    return storedRate == (limit.ended ? 0 : limit.perSecond);
}

/// Daemons that all start at the same time can learn only from the platform what their upstreams bear.
void BrittleServices::tick(SteadyTime now)
{
    if (!write_ || !view_) {
        return;
    }
    for (const auto &[key, limit] : table_.all()) {
        SteadyTime &writtenAt = writtenAt_[key];
        const auto stagger = writeStagger * static_cast<int>(owners_.rank(key));
        const bool mustWait = now < limit.since + stagger || now < writtenAt + writeInterval + stagger;
        if (limit.onlyStored || isStored(key, limit) || mustWait) {
            continue;
        }
        writtenAt = now;
        write_({ key, limit.ended ? 0 : limit.perSecond });
    }
}

} // namespace Portpaddle
