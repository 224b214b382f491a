// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/version_set_recorder.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

namespace {

// Records that are written this soon after the first start hold all versions: the daemons of a fleet start together.
constexpr Millis firstRecordTime{ 6'000 };
// Daemons write one after the other until one of them has written; the changed record comes back within a second.
constexpr Millis writeStagger{ 1'000 };
constexpr Millis rewriteInterval{ 2'000 };
constexpr std::size_t maxWriters = 6;

/// Returns the services whose streams can be taken up.
std::set<std::string> resumableServices(const ServiceMap &services)
{
    std::set<std::string> result;
    for (const Route &route : services.routes) {
        if (route.kind != RouteKind::Stream || !route.resumable) {
            continue;
        }
        for (const WeightedService &entry : route.services) {
            result.insert(entry.service);
        }
    }
    return result;
}

} // namespace

VersionSetRecorder::VersionSetRecorder(std::string ownRegion) : ownRegion_(std::move(ownRegion)), startedAt_(BootClock::now())
{
}

void VersionSetRecorder::setTerms(const VersionSetTerms &terms)
{
    terms_ = terms;
}

void VersionSetRecorder::setWriter(WriteRecord write)
{
    write_ = std::move(write);
}

void VersionSetRecorder::setView(std::shared_ptr<const FleetView> view, SteadyTime now)
{
    const std::shared_ptr<const FleetView> earlier = std::exchange(view_, std::move(view));
    if (!view_->services) {
        return;
    }
    const bool isChanged
        = !earlier || earlier->services != view_->services || !view_->upstreams.sharesAllWith(earlier->upstreams);
    if (isChanged) {
        collectPresent();
    }
    for (auto &[service, state] : states_) {
        observeRecord(service, state, now);
    }
}

void VersionSetRecorder::collectPresent()
{
    const std::set<std::string> services = resumableServices(*view_->services);
    std::erase_if(states_, [&services](const auto &entry) { return !services.contains(entry.first); });
    for (const std::string &service : services) {
        states_[service].present.clear();
    }
    for (const auto &[id, upstream] : view_->upstreams) {
        const auto state = states_.find(upstream.service);
        if (upstream.region == ownRegion_ && state != states_.end()) {
            state->second.present.insert(upstream.version);
        }
    }
}

const VersionSet *VersionSetRecorder::stored(const std::string &service) const
{
    return view_ ? findVersionSet(view_->versionSets, service, ownRegion_) : nullptr;
}

bool VersionSetRecorder::isSole(const std::string &service, const std::string &version) const
{
    return view_ && soleVersion(view_->versionSets, service, terms_.regions) == versionKeyOf(version);
}

void VersionSetRecorder::observeRecord(const std::string &service, State &state, SteadyTime now) const
{
    const VersionSet *set = stored(service);
    std::erase_if(state.announcedSince,
                  [set](const auto &entry) { return set == nullptr || !set->announced.contains(entry.first); });
    if (set == nullptr) {
        return;
    }
    for (const std::string &version : set->announced) {
        state.announcedSince.try_emplace(version, now);
    }
    if (set->complete) {
        state.incompleteSince.reset();
    } else if (!state.incompleteSince) {
        state.incompleteSince = now;
    }
}

bool VersionSetRecorder::hasWatchedLong(SteadyTime now) const
{
    return watchedSince_ && now - *watchedSince_ >= streamRetention;
}

bool VersionSetRecorder::isAnnouncedLong(const State &state, const std::string &version, SteadyTime now) const
{
    const auto since = state.announcedSince.find(version);
    return since != state.announcedSince.end() && now - since->second >= terms_.settling;
}

bool VersionSetRecorder::mayBegin(const std::string &service, const std::string &version, SteadyTime now) const
{
    const VersionSet *set = stored(service);
    if (set == nullptr) {
        // The first records may still be on their way.
        return !terms_.isFirstStart || now - startedAt_ >= firstRecordTime + terms_.settling;
    }
    return mayBeginStream(set, version) || isSole(service, version);
}

VersionSet VersionSetRecorder::firstRecord(const State &state, SteadyTime now) const
{
    VersionSet set;
    for (const auto &[version, at] : state.lastSeen) {
        set.open.insert(version);
    }
    set.complete = terms_.isFirstStart && now - startedAt_ < firstRecordTime;
    return set;
}

// A new version is announced before a stream begins there: a daemon that does not know it yet still takes the other version for
// the only one, but a read of the store that begins after the stream holds the announcement. A version is removed when no stream
// that it began can be in progress any more; the last one stays, since its upstreams may come back.
std::optional<VersionSet> VersionSetRecorder::wanted(const std::string &service, const State &state, SteadyTime now) const
{
    const VersionSet *present = stored(service);
    if (present == nullptr) {
        return firstRecord(state, now);
    }
    VersionSet set = *present;
    for (const std::string &version : state.present) {
        if (!set.open.contains(version) && !set.announced.contains(version)) {
            const bool isExpected = !set.complete || isSole(service, version);
            (isExpected ? set.open : set.announced).insert(version);
        }
    }
    for (const auto &[version, since] : state.announcedSince) {
        if (isAnnouncedLong(state, version, now)) {
            set.announced.erase(version);
            set.open.insert(version);
        }
    }
    if (hasWatchedLong(now)) {
        std::erase_if(set.open, [&, hasOthers = !state.present.empty()](const std::string &version) {
            const auto seen = state.lastSeen.find(version);
            return hasOthers && (seen == state.lastSeen.end() || now - seen->second >= streamRetention);
        });
        set.complete = set.complete || (state.incompleteSince && now - *state.incompleteSince >= streamRetention);
    }
    const bool isRight = set.open == present->open && set.announced == present->announced && set.complete == present->complete;
    return isRight ? std::nullopt : std::optional(set);
}

// A write is repeated if the record that it replaces has not changed for a while; the next change need not wait for that.
bool VersionSetRecorder::awaitsWrite(const State &state, const VersionSet &set, SteadyTime now)
{
    return state.writtenAt && state.replacedRevision == set.revision && now - *state.writtenAt < rewriteInterval;
}

void VersionSetRecorder::tick(bool stalled, const OwnRank &ownRank, SteadyTime now)
{
    if (!view_ || !view_->storeReachable || stalled) {
        watchedSince_.reset();
        return;
    }
    watchedSince_ = watchedSince_.value_or(now);
    for (auto &[service, state] : states_) {
        for (const std::string &version : state.present) {
            state.lastSeen[version] = now;
        }
        std::erase_if(state.lastSeen, [now](const auto &entry) { return now - entry.second >= streamRetention; });
        const std::optional<VersionSet> set = wanted(service, state, now);
        if (!set) {
            state.dueSince.reset();
            continue;
        }
        state.dueSince = state.dueSince.value_or(now);
        const std::optional<std::size_t> rank = ownRank(service);
        const bool isTurn = rank && *rank < maxWriters && now - *state.dueSince >= writeStagger * static_cast<int>(*rank);
        if (isTurn && !awaitsWrite(state, *set, now)) {
            state.writtenAt = now;
            state.replacedRevision = set->revision;
            write_({ service, ownRegion_ }, *set);
        }
    }
}

} // namespace Portpaddle
