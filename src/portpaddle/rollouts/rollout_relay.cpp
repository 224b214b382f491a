// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_relay.h"

#include "portpaddle/rollouts/rollout_digest.h"
#include "portpaddle/routing/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>

namespace Portpaddle {

namespace {

// A collector of this many daemons receives some 60 reports a second.
constexpr std::size_t daemonsPerGroup = 32;
// The others stand in when the first one is cut off from the store.
constexpr std::size_t maxControllers = 3;
// Reports come twice a second. The running requests of a process that was silent for longer are gone; its answers still count.
constexpr std::chrono::milliseconds maxReportAge{ 2'500 };
// Bounds what peers can make this daemon remember.
constexpr std::size_t maxSourcesPerOrder = 4'096;
constexpr std::size_t maxRoutes = 1'024;

} // namespace

RolloutRelay::RolloutRelay(std::string ownId, std::string ownRegion, std::uint64_t life, IsSilent isSilent)
    : ownId_(std::move(ownId)), ownRegion_(std::move(ownRegion)), life_(life), isSilent_(std::move(isSilent))
{
}

void RolloutRelay::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    std::set<std::uint64_t> open;
    for (const auto &[service, rollout] : view_->rollouts) {
        if (rollout.isOpen()) {
            open.insert(rollout.order->id);
        }
    }
    for (Sources *sources : { &members_, &collectors_ }) {
        std::erase_if(*sources, [&open](const auto &entry) { return !open.contains(entry.first); });
        for (const std::uint64_t order : open) {
            sources->try_emplace(order);
        }
    }
}

std::vector<const DaemonRecord *> RolloutRelay::firstInRank(const std::string &role, const std::string *region, std::size_t count,
                                                            SteadyTime now) const
{
    const std::uint64_t key = stableHash(role);
    std::vector<std::pair<double, const DaemonRecord *>> ranked;
    for (const DaemonRecord &daemon : view_->daemons) {
        const bool eligible = !daemon.leaving && (region == nullptr || daemon.region == *region)
            && (daemon.id == ownId_ || !isSilent_(daemon.id, now));
        if (eligible) {
            ranked.emplace_back(rendezvousScore(key, stableHash(daemon.id), 1), &daemon);
        }
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const DaemonRecord *> result;
    std::transform(ranked.begin(), end, std::back_inserter(result), [](const auto &entry) { return entry.second; });
    return result;
}

std::vector<const DaemonRecord *> RolloutRelay::controllers(SteadyTime now) const
{
    return firstInRank("rollout controller", nullptr, maxControllers, now);
}

const DaemonRecord *RolloutRelay::collector(SteadyTime now) const
{
    const auto inRegion = std::count_if(view_->daemons.begin(), view_->daemons.end(),
                                        [this](const DaemonRecord &daemon) { return daemon.region == ownRegion_; });
    const std::size_t groups = (static_cast<std::size_t>(inRegion) + daemonsPerGroup - 1) / daemonsPerGroup;
    const std::size_t group = stableHash(ownId_) % std::max<std::size_t>(1, groups);
    const std::vector<const DaemonRecord *> first = firstInRank(fmt::format("rollout collector {}", group), &ownRegion_, 1, now);
    return first.empty() ? nullptr : first.front();
}

std::optional<unsigned> RolloutRelay::controllerRank(SteadyTime now) const
{
    const std::vector<const DaemonRecord *> ranked = controllers(now);
    const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const DaemonRecord *each) { return each->id == ownId_; });
    return own == ranked.end() ? std::nullopt : std::optional(static_cast<unsigned>(own - ranked.begin()));
}

std::vector<OutgoingDigest> RolloutRelay::due(const Wire::LoadDigestT &header, const std::vector<RolloutReport> &own,
                                              SteadyTime now)
{
    std::vector<OutgoingDigest> out;
    Wire::LoadDigestT digest = header;
    digest.rollout_life = life_;
    const auto send = [&out, &digest](const DaemonRecord &to, Wire::DigestKind kind, const std::vector<RolloutReport> &reports) {
        for (Wire::LoadDigestT &part : encodeReports(digest, kind, reports)) {
            out.push_back({ { to.linkAddress }, std::move(part) });
        }
    };
    const DaemonRecord *to = collector(now);
    if (to != nullptr && to->id != ownId_) {
        send(*to, Wire::DigestKind::RolloutReport, own);
    } else {
        // Without any other daemon, this one collects for itself alone.
        for (const RolloutReport &report : own) {
            update(members_, life_, report, now);
        }
    }
    std::vector<RolloutReport> sums;
    for (const auto &[order, sources] : members_) {
        if (!sources.empty()) {
            sums.push_back(sum(members_, order, now));
        }
    }
    for (const DaemonRecord *controller : controllers(now)) {
        if (controller->id != ownId_) {
            send(*controller, Wire::DigestKind::RolloutSum, sums);
            continue;
        }
        for (const RolloutReport &report : sums) {
            update(collectors_, life_, report, now);
        }
    }
    return out;
}

bool RolloutRelay::isListed(const std::string &daemon) const
{
    return std::any_of(view_->daemons.begin(), view_->daemons.end(),
                       [&daemon](const DaemonRecord &record) { return record.id == daemon; });
}

void RolloutRelay::take(const Wire::LoadDigestT &digest, SteadyTime now)
{
    if (!view_ || !isListed(digest.daemon)) {
        return;
    }
    Sources &sources = digest.kind == Wire::DigestKind::RolloutSum ? collectors_ : members_;
    update(sources, digest.rollout_life, decodeReport(digest), now);
}

// Counts of one process only grow, and datagrams may overtake each other, so the larger count is the newer one.
void RolloutRelay::update(Sources &sources, std::uint64_t life, const RolloutReport &report, SteadyTime now)
{
    const auto open = sources.find(report.order);
    if (open == sources.end() || (open->second.size() >= maxSourcesPerOrder && !open->second.contains(life))) {
        return;
    }
    Source &source = open->second[life];
    source.heardAt = now;
    source.report.order = report.order;
    source.report.runningOlder = report.runningOlder;
    for (const auto &[route, counts] : report.counts) {
        if (source.report.counts.size() >= maxRoutes && !source.report.counts.contains(route)) {
            continue;
        }
        RouteCounts &known = source.report.counts[route];
        RouteCounts added = counts;
        added -= known;
        known += added;
    }
}

RolloutReport RolloutRelay::sum(const Sources &sources, std::uint64_t order, SteadyTime now)
{
    RolloutReport result;
    result.order = order;
    const auto found = sources.find(order);
    if (found == sources.end()) {
        return result;
    }
    for (const auto &[life, source] : found->second) {
        result.counts += source.report.counts;
        result.runningOlder += now - source.heardAt < maxReportAge ? source.report.runningOlder : 0;
    }
    return result;
}

RolloutReport RolloutRelay::total(std::uint64_t order, SteadyTime now) const
{
    return sum(collectors_, order, now);
}

} // namespace Portpaddle
