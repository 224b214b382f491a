// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_reports/reported_loads.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/placement/upstream_shares.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

constexpr std::chrono::seconds unreadableLogInterval{ 1 };
// A report that was passed on seems newer than it is by its transit time. The same load that seems newer by less than this is
// taken for the same report: an aggregator sends a daemon's own report back to it, and this must not hide requests sent
// meanwhile.
constexpr std::chrono::milliseconds maxTransitTime{ 50 };

/// Rounds up, so that no report becomes newer on its way.
std::uint16_t ageInMs(SteadyTime at, SteadyTime now)
{
    return static_cast<std::uint16_t>(std::chrono::ceil<std::chrono::milliseconds>(now - at).count());
}

ReportedLoad fromWire(const Wire::UpstreamReport &report)
{
    return { report.running(), report.waiting(), report.slots(), report.pace_percent() };
}

Wire::UpstreamReport toWire(std::uint32_t key, const ReportedLoad &load, std::uint16_t ageMs)
{
    return { key, load.running, load.waiting, load.slots, static_cast<std::uint16_t>(load.pacePercent), ageMs };
}

} // namespace

ReportedLoads::ReportedLoads(std::string ownRegion, Metrics &metrics) : ownRegion_(std::move(ownRegion)), metrics_(metrics)
{
}

void ReportedLoads::setView(const FleetView &view, const FleetView &earlier)
{
    view.upstreams.forEachChangedShard(earlier.upstreams, [this](const auto &shard, const auto &earlierShard) {
        for (const auto &[id, upstream] : earlierShard) {
            if (!shard.contains(id)) {
                listed_.erase(upstreamKey(id));
                entries_.erase(upstreamKey(id));
            }
        }
        for (const auto &[id, upstream] : shard) {
            if (upstream.region == ownRegion_) {
                listed_.insert(upstreamKey(id));
            }
        }
    });
}

void ReportedLoads::answered(const std::string &upstream, const LoadReading &reading, SteadyTime now)
{
    const std::uint32_t key = upstreamKey(upstream);
    if (reading.kind == LoadReadingKind::Absent || !listed_.contains(key)) {
        return;
    }
    if (reading.kind == LoadReadingKind::Unreadable) {
        noteUnreadable(upstream, now);
        return;
    }
    metrics_.count(Counter::LoadReportsReceived);
    put(key, { reading.load, now, Origin::Answer, {}, 0 }, now);
}

void ReportedLoads::noteUnreadable(const std::string &upstream, SteadyTime now)
{
    metrics_.count(Counter::LoadReportsUnreadable);
    std::optional<SteadyTime> &loggedAt = entries_[upstreamKey(upstream)].unreadableAt;
    if (!loggedAt || now - *loggedAt >= unreadableLogInterval) {
        loggedAt = now;
        logEvent(LogEvent::UpstreamLoadUnreadable, { { "upstream", upstream } });
    }
}

void ReportedLoads::put(std::uint32_t key, Report report, SteadyTime now)
{
    Entry &entry = entries_[key];
    entry.report = std::move(report);
    entry.sentTurns = 0;
    lastReportAt_ = now;
}

void ReportedLoads::sent(const std::string &upstream, SteadyTime now)
{
    const std::uint32_t key = upstreamKey(upstream);
    if (!listed_.contains(key)) {
        return;
    }
    std::vector<SteadyTime> &sends = entries_[key].sends;
    std::erase_if(sends, [now](SteadyTime at) { return now - at > maxReportAge; });
    if (sends.size() == maxCountedSends) {
        sends.erase(sends.begin());
    }
    sends.push_back(now);
}

std::optional<LoadReportView> ReportedLoads::latest(const std::string &upstream, SteadyTime now) const
{
    // Each routing decision calls this for many upstreams, and in many fleets none of them reports its load.
    if (!lastReportAt_ || now - *lastReportAt_ > maxReportAge) {
        return std::nullopt;
    }
    const auto found = entries_.find(upstreamKey(upstream));
    if (found == entries_.end() || !found->second.report || now - found->second.report->at > maxReportAge) {
        return std::nullopt;
    }
    const Report &report = *found->second.report;
    const std::vector<SteadyTime> &sends = found->second.sends;
    LoadReportView view;
    view.running = report.load.running;
    view.waiting = report.load.waiting;
    view.slots = report.load.slots;
    view.pace = static_cast<double>(report.load.pacePercent) / usualPacePercent;
    view.ageMs = std::max(0.0, std::chrono::duration<double, std::milli>(now - report.at).count());
    view.sentSince = static_cast<double>(sends.end() - std::upper_bound(sends.begin(), sends.end(), report.at));
    return view;
}

// The digests of one daemon may overtake each other, and then the later one makes an older report seem newer.
bool ReportedLoads::isNews(const Entry &entry, const Report &report)
{
    if (!entry.report) {
        return true;
    }
    const Report &known = *entry.report;
    const bool overtaken = known.sender == report.sender && report.sequence <= known.sequence;
    const auto margin = known.load == report.load ? SteadyTime::duration(maxTransitTime) : SteadyTime::duration::zero();
    return !overtaken && report.at > known.at + margin;
}

void ReportedLoads::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    if (digest.region != ownRegion_) {
        return;
    }
    const Origin origin = digest.kind == Wire::DigestKind::Report ? Origin::Collected : Origin::PassedOn;
    for (const Wire::UpstreamReport &passedOn : digest.upstream_reports) {
        const std::chrono::milliseconds age(passedOn.age_ms());
        Report report{ fromWire(passedOn), now - age, origin, digest.daemon, digest.sequence };
        if (age > maxReportAge || !isPlausible(report.load) || !listed_.contains(passedOn.key())) {
            continue;
        }
        if (isNews(entries_[passedOn.key()], report)) {
            metrics_.count(Counter::LoadReportsFromDaemons);
            put(passedOn.key(), std::move(report), now);
        }
    }
}

bool ReportedLoads::isDue(std::uint32_t key, const Entry &entry, const ReportScope &scope, SteadyTime now)
{
    if (!entry.report || entry.sentTurns >= scope.turns || now - entry.report->at > maxReportAge) {
        return false;
    }
    const bool inShard = !scope.shard || shardOf(key) == *scope.shard;
    const Origin origin = entry.report->origin;
    return inShard && (origin == Origin::Answer || (origin == Origin::Collected && scope.includesCollected));
}

std::vector<Wire::UpstreamReport> ReportedLoads::takeDue(const ReportScope &scope, SteadyTime now)
{
    std::vector<std::pair<std::uint32_t, Entry *>> due;
    for (auto &[key, entry] : entries_) {
        if (isDue(key, entry, scope, now)) {
            due.emplace_back(key, &entry);
        }
    }
    if (due.size() > scope.maxCount) {
        const auto kept = due.begin() + static_cast<std::ptrdiff_t>(scope.maxCount);
        std::nth_element(due.begin(), kept, due.end(), [](const auto &one, const auto &other) {
            return std::pair(one.second->passedOnAt, one.first) < std::pair(other.second->passedOnAt, other.first);
        });
        due.erase(kept, due.end());
    }
    std::vector<Wire::UpstreamReport> reports;
    reports.reserve(due.size());
    for (const auto &[key, entry] : due) {
        ++entry->sentTurns;
        entry->passedOnAt = now;
        reports.push_back(toWire(key, entry->report->load, ageInMs(entry->report->at, now)));
    }
    return reports;
}

bool ReportedLoads::isExpired(const Entry &entry, SteadyTime now)
{
    const bool reported = entry.report && now - entry.report->at <= maxReportAge;
    const bool used = !entry.sends.empty() && now - entry.sends.back() <= maxReportAge;
    const bool logged = entry.unreadableAt && now - *entry.unreadableAt <= unreadableLogInterval;
    return !reported && !used && !logged;
}

void ReportedLoads::tick(SteadyTime now)
{
    std::erase_if(entries_, [now](const auto &item) { return isExpired(item.second, now); });
}

std::size_t ReportedLoads::size() const
{
    return entries_.size();
}

} // namespace Portpaddle
