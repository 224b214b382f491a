// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_limits/upstream_limits.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Portpaddle {

namespace {

// In requests a second. The callers of one daemon seldom use up a smaller share, and each holder of a share can add one request
// at once to a window.
constexpr double minShare = 1;
// After the end of a limit the rate doubles each second until this time has passed: the upstream looks idle, and requests from
// all daemons at once would overload it again.
constexpr std::chrono::seconds recoveryTime{ 5 };
// Time between two writes of an upstream's record. The platform collects changes for half a second before other daemons get them.
constexpr std::chrono::seconds writeInterval{ 3 };
// The daemons try to write a record one after the other, until one of them has written it.
constexpr std::chrono::milliseconds writeStagger{ 1'500 };
// Relative to the rate. A record that differs by less is not written again, since starting daemons soon receive the newest rate.
constexpr double storedPrecision = 0.1;
constexpr std::chrono::seconds unreadableLogInterval{ 10 };
// Upper bound of the age of a limit in digests.
constexpr std::int64_t maxAgeMs = 3'600'000;

std::int64_t millisOf(SteadyTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Returns the requests a second that may be sent to an upstream with @p limit.
double rateAt(const KnownLimit &limit, SteadyTime now)
{
    return limit.ended ? limit.perSecond * std::exp2(inSeconds(now - limit.since)) : limit.perSecond;
}

Wire::UpstreamLimit toWire(std::uint64_t key, const KnownLimit &limit, SteadyTime now)
{
    const std::int64_t age = std::clamp<std::int64_t>(millisOf(now - limit.answeredAt), 0, maxAgeMs);
    return { key, static_cast<float>(limit.perSecond), static_cast<std::uint32_t>(age), limit.ended };
}

} // namespace

unsigned holdersOf(double perSecond, std::size_t members)
{
    const double shares = std::floor(perSecond / minShare);
    return static_cast<unsigned>(std::clamp(shares, 1.0, std::max(1.0, static_cast<double>(members))));
}

UpstreamLimits::UpstreamLimits(LimitScope scope, StableOwner &owners, Metrics &metrics)
    : scope_(std::move(scope)), owners_(owners), metrics_(metrics)
{
}

void UpstreamLimits::setWriteRecord(WriteRecord write)
{
    write_ = std::move(write);
}

void UpstreamLimits::setView(std::shared_ptr<const FleetView> view, SteadyTime now)
{
    const std::shared_ptr<const FleetView> earlier = view_ ? std::exchange(view_, view) : std::make_shared<const FleetView>();
    view_ = std::move(view);
    view_->upstreams.forEachChangedShard(earlier->upstreams, [this](const auto &shard, const auto &earlierShard) {
        for (const auto &[id, upstream] : earlierShard) {
            if (!shard.contains(id)) {
                upstreamIds_.erase(stableHash(id));
            }
        }
        for (const auto &[id, upstream] : shard) {
            if (upstream.region == scope_.region) {
                upstreamIds_.try_emplace(stableHash(id), id);
            }
        }
    });
    if (!view_->daemons.sharesWith(earlier->daemons)) {
        linkAddresses_.clear();
        for (const DaemonRecord &daemon : view_->daemons) {
            if (daemon.region == scope_.region && daemon.id != scope_.daemon) {
                linkAddresses_.push_back(daemon.linkAddress);
            }
        }
    }
    forgetRemoved();
    for (const auto &[key, perSecond] : view_->upstreamLimits) {
        if (upstreamIds_.contains(key)) {
            applyChange(key, table_.stored(key, perSecond, now), now);
        }
    }
}

/// Drops the limits of upstreams that are no longer listed, since a later incarnation has not named any, and limits that were
/// known only from a record that has expired.
void UpstreamLimits::forgetRemoved()
{
    std::vector<std::uint64_t> removed;
    for (const auto &[key, limit] : table_.all()) {
        const bool lapsed = limit.onlyStored && !view_->upstreamLimits.contains(key);
        if (!upstreamIds_.contains(key) || lapsed) {
            removed.push_back(key);
        }
    }
    for (const std::uint64_t key : removed) {
        table_.forget(key);
        announcer_.forget(key);
        paces_.erase(key);
        writtenAt_.erase(key);
    }
    std::erase_if(unreadableAt_, [this](const auto &item) { return !upstreamIds_.contains(item.first); });
}

void UpstreamLimits::answered(const std::string &upstream, const LimitReading &reading, bool fromUpstream, SteadyTime sentAt,
                              SteadyTime now)
{
    const std::uint64_t key = stableHash(upstream);
    if (!upstreamIds_.contains(key)) {
        return;
    }
    LimitChange change = LimitChange::None;
    switch (reading.kind) {
    case LimitKind::Named:
        change = table_.named(key, reading.perSecond, now);
        break;
    case LimitKind::Absent:
        change = fromUpstream ? table_.answeredWithout(key, sentAt, now) : LimitChange::None;
        break;
    case LimitKind::Unreadable: {
        metrics_.count(Counter::LimitsUnreadable);
        const auto [last, first] = unreadableAt_.try_emplace(key, now);
        if (first || now - last->second >= unreadableLogInterval) {
            last->second = now;
            logEvent(LogEvent::UpstreamLimitUnreadable, { { "upstream", upstream } });
        }
        break;
    }
    }
    if (change != LimitChange::None) {
        announcer_.changed(key, now);
    }
    applyChange(key, change, now);
}

void UpstreamLimits::applyChange(std::uint64_t key, LimitChange change, SteadyTime now)
{
    if (change == LimitChange::None) {
        return;
    }
    const KnownLimit &limit = *table_.find(key);
    const bool ended = change == LimitChange::Ended;
    metrics_.count(ended ? Counter::LimitsEnded : Counter::LimitsNamed);
    const double share = paceAt(key, limit, now).perSecond();
    logEvent(ended ? LogEvent::UpstreamLimitEnded : LogEvent::UpstreamLimitNamed,
             { { "upstream", upstreamIds_.at(key) },
               { "per_second", fmt::format("{:.3f}", limit.perSecond) },
               { "own_share", fmt::format("{:.3f}", share) },
               { "heard_from", limit.source },
               { "said_ms_ago", limit.onlyStored ? std::string() : std::to_string(millisOf(now - limit.answeredAt)) } });
}

std::optional<UpstreamLimits::Limited> UpstreamLimits::inForce(const std::string &upstream, SteadyTime now) const
{
    // Each routing decision calls this for many upstreams, and usually none of them has a limit.
    if (table_.all().empty()) {
        return std::nullopt;
    }
    const std::uint64_t key = stableHash(upstream);
    const KnownLimit *limit = table_.find(key);
    const bool isOver = limit == nullptr || (limit->ended && now - limit->since >= recoveryTime);
    return isOver ? std::nullopt : std::optional<Limited>({ key, *limit });
}

// The rate of the whole region is divided among so few of its daemons that each can use its share: with equal parts for all
// daemons as many requests as there are daemons could arrive at once, however small the rate is. Which daemons hold a share
// follows from the list of daemons alone; a starting daemon holds none until the others have it on their lists.
LimitPace &UpstreamLimits::paceAt(std::uint64_t key, const KnownLimit &limit, SteadyTime now)
{
    const double rate = rateAt(limit, now);
    const unsigned holders = holdersOf(rate, owners_.members());
    const bool holds = owners_.isAmong(key, holders, now);
    LimitPace &pace = paces_.try_emplace(key, now).first->second;
    pace.setRate(holds ? rate / holders : 0, now);
    return pace;
}

bool UpstreamLimits::isLimited(const std::string &upstream, SteadyTime now) const
{
    return inForce(upstream, now).has_value();
}

bool UpstreamLimits::allows(const std::string &upstream, SteadyTime now)
{
    const std::optional<Limited> limited = inForce(upstream, now);
    return !limited || paceAt(limited->key, limited->limit, now).ready();
}

void UpstreamLimits::take(const std::string &upstream, SteadyTime now)
{
    if (const std::optional<Limited> limited = inForce(upstream, now)) {
        paceAt(limited->key, limited->limit, now).take();
    }
}

std::optional<SteadyTime::duration> UpstreamLimits::nextSendDelay(std::span<const std::string *const> upstreams,
                                                                  std::size_t ahead, SteadyTime now)
{
    double perSecond = 0;
    SteadyTime::duration shortestWait = SteadyTime::duration::max();
    for (const std::string *upstream : upstreams) {
        if (const std::optional<Limited> limited = inForce(*upstream, now)) {
            const LimitPace &pace = paceAt(limited->key, limited->limit, now);
            perSecond += pace.perSecond();
            shortestWait = std::min(shortestWait, pace.wait());
        }
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> waitForOthers(static_cast<double>(ahead) / perSecond);
    return shortestWait + std::chrono::duration_cast<SteadyTime::duration>(waitForOthers);
}

std::optional<SteadyTime::duration> UpstreamLimits::interval(std::span<const std::string *const> upstreams, SteadyTime now) const
{
    double perSecond = 0;
    for (const std::string *upstream : upstreams) {
        const std::optional<Limited> limited = inForce(*upstream, now);
        perSecond += limited ? rateAt(limited->limit, now) : 0;
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
}

void UpstreamLimits::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    // Upstreams accept connections only from their own region, so another region has no knowledge of its own about them.
    if (digest.region != scope_.region) {
        return;
    }
    for (const Wire::UpstreamLimit &announced : digest.upstream_limits) {
        const std::uint64_t key = announced.upstream();
        KnownLimit limit;
        limit.perSecond = boundedRate(announced.per_second());
        if (!upstreamIds_.contains(key) || std::isnan(limit.perSecond)) {
            continue;
        }
        limit.ended = announced.ended();
        limit.answeredAt = now - std::chrono::milliseconds(announced.age_ms());
        limit.source = digest.daemon;
        applyChange(key, table_.reported(key, limit, now), now);
        const KnownLimit *known = table_.find(key);
        if (known != nullptr && isSameLimit(*known, limit)) {
            announcer_.receivedSame(key, now);
        } else if (known != nullptr) {
            // The sender has missed the newer state that this daemon knows.
            announcer_.changed(key, now);
        }
    }
}

std::vector<OutgoingDigest> UpstreamLimits::dueDigests(const Wire::LoadDigestT &header, SteadyTime now)
{
    std::vector<OutgoingDigest> out;
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::UpstreamLimits;
    const auto send = [&] {
        if (!digest.upstream_limits.empty() && !linkAddresses_.empty()) {
            out.push_back({ linkAddresses_, digest });
        }
        digest.upstream_limits.clear();
    };
    for (const auto &[key, limit] : table_.all()) {
        if (limit.onlyStored) {
            // All other daemons get the platform's record as well.
            continue;
        }
        // The end of a limit is announced when it ends and to daemons that missed it, but not repeated.
        const bool announces
            = limit.ended ? announcer_.dueOnce(key) : announcer_.due(key, { owners_.rank(key), owners_.members() }, now);
        if (!announces) {
            continue;
        }
        digest.upstream_limits.push_back(toWire(key, limit, now));
        if (digest.upstream_limits.size() == maxDigestUpstreamLimits) {
            send();
        }
    }
    send();
    return out;
}

void UpstreamLimits::tick(SteadyTime now)
{
    if (!table_.all().empty()) {
        writeDue(now);
    }
}

bool UpstreamLimits::isStored(std::uint64_t key, const KnownLimit &limit) const
{
    const auto stored = view_->upstreamLimits.find(key);
    const double storedRate = stored == view_->upstreamLimits.end() ? 0 : stored->second;
    const double expected = limit.ended ? 0 : limit.perSecond;
    return std::abs(storedRate - expected) <= storedPrecision * std::max(storedRate, expected);
}

/// Writes the limits to the platform that it does not have yet: daemons that all start at the same time can learn them only
/// there.
void UpstreamLimits::writeDue(SteadyTime now)
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
