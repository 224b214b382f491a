// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/fleet_registry.h"

namespace Portpaddle {

namespace {

// Upstreams whose lease expired during an outage of the store register again within about two seconds after the store has
// returned.
constexpr std::chrono::milliseconds expiryGrace{ 2'300 };

} // namespace

FleetRegistry::FleetRegistry(RcuCell<FleetView> &cell, std::function<void()> published)
    : cell_(cell), published_(std::move(published))
{
}

void FleetRegistry::beginBatch()
{
    const std::lock_guard lock(mutex_);
    inBatch_ = true;
}

void FleetRegistry::endBatch()
{
    const std::lock_guard lock(mutex_);
    inBatch_ = false;
    if (publishPending_) {
        publish();
    }
}

bool FleetRegistry::takeConfiguration(std::shared_ptr<const ServiceMap> services)
{
    const std::lock_guard lock(mutex_);
    if (services_ && services->version <= services_->version) {
        return false;
    }
    services_ = std::move(services);
    publish();
    return true;
}

std::optional<SteadyTime> FleetRegistry::graceFor(SteadyTime now) const
{
    if (!storeReachable_) {
        return now + expiryGrace;
    }
    return now < graceUntil_ ? std::optional(graceUntil_) : std::nullopt;
}

void FleetRegistry::storeUpstream(UpstreamRecord record)
{
    UpstreamEntry &entry = upstreamEntries_[record.registeredName];
    const auto known = upstreams_.find(entry.id);
    if (entry.id == record.id && known != upstreams_.end()) {
        // Leaving is final for one incarnation: an older record that arrives late must not undo it.
        record.leaving = record.leaving || known->second.leaving;
        // The first announcement counts: a repeated one would move the end into the future.
        record.goneAt = known->second.goneAt ? known->second.goneAt : record.goneAt;
        record.leavingSince = known->second.leavingSince;
    } else {
        upstreams_.erase(entry.id);
    }
    if (record.leaving && !record.leavingSince) {
        record.leavingSince = BootClock::now();
    }
    entry = { record.id, std::nullopt };
    upstreams_[entry.id] = std::move(record);
}

void FleetRegistry::storeDaemon(DaemonRecord record)
{
    const std::string id = record.id;
    daemonEntries_[id] = { std::move(record), std::nullopt };
    daemonsChanged_ = true;
}

void FleetRegistry::erase(std::unordered_map<std::string, UpstreamEntry> &entries, const std::string &name)
{
    upstreams_.erase(entries.at(name).id);
    entries.erase(name);
}

void FleetRegistry::erase(std::map<std::string, DaemonEntry> &entries, const std::string &id)
{
    entries.erase(id);
    daemonsChanged_ = true;
}

template<typename Entries>
bool FleetRegistry::drop(Entries &entries, const std::string &key, SteadyTime now)
{
    const auto found = entries.find(key);
    if (found == entries.end()) {
        return false;
    }
    const std::optional<SteadyTime> grace = graceFor(now);
    if (grace) {
        found->second.expiresAt = found->second.expiresAt.value_or(*grace);
        return false;
    }
    erase(entries, key);
    return true;
}

template<typename Entries>
bool FleetRegistry::dropExpired(Entries &entries, SteadyTime now)
{
    std::vector<std::string> expired;
    for (const auto &[key, entry] : entries) {
        if (entry.expiresAt && *entry.expiresAt <= now) {
            expired.push_back(key);
        }
    }
    for (const std::string &key : expired) {
        erase(entries, key);
    }
    return !expired.empty();
}

template<typename Entries>
void FleetRegistry::dropUnlisted(Entries &entries, const std::set<std::string> &listed, SteadyTime now)
{
    std::vector<std::string> missing;
    for (const auto &[key, entry] : entries) {
        if (!listed.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        drop(entries, key, now);
    }
}

void FleetRegistry::listUpstreams(std::vector<UpstreamRecord> records, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    std::set<std::string> listed;
    for (UpstreamRecord &record : records) {
        listed.insert(record.registeredName);
        storeUpstream(std::move(record));
    }
    dropUnlisted(upstreamEntries_, listed, now);
    publish();
}

void FleetRegistry::changeUpstream(UpstreamRecord record)
{
    const std::lock_guard lock(mutex_);
    storeUpstream(std::move(record));
    publish();
}

void FleetRegistry::removeUpstream(const std::string &name, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (drop(upstreamEntries_, name, now)) {
        publish();
    }
}

void FleetRegistry::rejectUpstream(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (upstreamEntries_.contains(name)) {
        erase(upstreamEntries_, name);
        publish();
    }
}

void FleetRegistry::listEvacuations(std::set<std::string> dataCentres)
{
    const std::lock_guard lock(mutex_);
    evacuated_ = std::move(dataCentres);
    publish();
}

void FleetRegistry::changeEvacuation(const std::string &dataCentre, bool evacuated)
{
    const std::lock_guard lock(mutex_);
    if (evacuated) {
        evacuated_.insert(dataCentre);
    } else {
        evacuated_.erase(dataCentre);
    }
    publish();
}

void FleetRegistry::listDaemons(std::vector<DaemonRecord> daemons, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    std::set<std::string> listed;
    for (DaemonRecord &daemon : daemons) {
        listed.insert(daemon.id);
        storeDaemon(std::move(daemon));
    }
    dropUnlisted(daemonEntries_, listed, now);
    publish();
}

void FleetRegistry::changeDaemon(DaemonRecord daemon)
{
    const std::lock_guard lock(mutex_);
    storeDaemon(std::move(daemon));
    publish();
}

void FleetRegistry::removeDaemon(const std::string &id, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (drop(daemonEntries_, id, now)) {
        publish();
    }
}

void FleetRegistry::listQuarantine(const std::set<RequestFingerprint> &requests, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(quarantined_, [&requests](const auto &item) { return !requests.contains(item.first); });
    for (const RequestFingerprint &request : requests) {
        // A listing does not contain the age of a record. The record is assumed to be at half of its lifetime, so that it is
        // renewed when the request is received again.
        quarantined_.emplace(request, now - quarantineTime / 2);
    }
    publish();
}

void FleetRegistry::changeQuarantine(const RequestFingerprint &request, bool isQuarantined, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (isQuarantined) {
        quarantined_[request] = now;
    } else {
        quarantined_.erase(request);
    }
    publish();
}

void FleetRegistry::listUpstreamLimits(StoredLimits limits)
{
    const std::lock_guard lock(mutex_);
    upstreamLimits_ = std::move(limits);
    publish();
}

void FleetRegistry::changeUpstreamLimit(std::uint64_t upstream, const std::optional<StoredLimit> &limit)
{
    const std::lock_guard lock(mutex_);
    if (limit) {
        upstreamLimits_[upstream] = limit->perSecond;
    } else {
        upstreamLimits_.erase(upstream);
    }
    publish();
}

void FleetRegistry::listRollouts(Rollouts rollouts)
{
    const std::lock_guard lock(mutex_);
    rollouts_ = std::move(rollouts);
    publish();
}

void FleetRegistry::changeRolloutOrder(const std::string &service, std::optional<RolloutOrder> order)
{
    const std::lock_guard lock(mutex_);
    rollouts_[service].order = std::move(order);
    publish();
}

void FleetRegistry::changeRolloutRecord(const std::string &service, std::optional<RolloutRecord> record)
{
    const std::lock_guard lock(mutex_);
    rollouts_[service].record = std::move(record);
    publish();
}

void FleetRegistry::listVersionSets(VersionSets sets)
{
    const std::lock_guard lock(mutex_);
    versionSets_ = std::move(sets);
    publish();
}

void FleetRegistry::changeVersionSet(const VersionSetPlace &place, const std::optional<VersionSet> &set)
{
    const std::lock_guard lock(mutex_);
    if (set) {
        versionSets_[place.service][place.region] = *set;
    } else {
        versionSets_[place.service].erase(place.region);
    }
    publish();
}

void FleetRegistry::onStoreUnavailable(SteadyTime)
{
    const std::lock_guard lock(mutex_);
    if (storeReachable_) {
        storeReachable_ = false;
        publish();
    }
}

void FleetRegistry::onStoreAvailable(SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (storeReachable_) {
        return;
    }
    // At the first contact no grace is needed: this daemon has not known any record whose lease could have expired in an outage.
    graceUntil_ = everReachable_ ? now + expiryGrace : now;
    storeReachable_ = true;
    everReachable_ = true;
    publish();
}

void FleetRegistry::tick(SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (!storeReachable_) {
        return;
    }
    const bool upstreams = dropExpired(upstreamEntries_, now);
    const bool daemons = dropExpired(daemonEntries_, now);
    if (upstreams || daemons) {
        publish();
    }
}

void FleetRegistry::dropExpiredUpstreams(SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (dropExpired(upstreamEntries_, now)) {
        publish();
    }
}

bool FleetRegistry::knowsDaemon(const std::string &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = daemonEntries_.find(id);
    return found != daemonEntries_.end() && !found->second.expiresAt;
}

// Changes are published in batches, because a restart of half of the daemons would otherwise create one view per daemon.
void FleetRegistry::publish()
{
    publishPending_ = inBatch_;
    if (inBatch_) {
        return;
    }
    if (daemonsChanged_) {
        daemonsChanged_ = false;
        std::vector<DaemonRecord> daemons;
        daemons.reserve(daemonEntries_.size());
        for (const auto &[id, entry] : daemonEntries_) {
            daemons.push_back(entry.record);
        }
        daemons_ = SharedList<DaemonRecord>(std::move(daemons));
    }
    auto view = std::make_shared<FleetView>();
    view->services = services_;
    view->upstreams = upstreams_;
    view->daemons = daemons_;
    view->evacuated = evacuated_;
    view->quarantined = quarantined_;
    view->upstreamLimits = upstreamLimits_;
    view->rollouts = rollouts_;
    view->versionSets = versionSets_;
    view->storeReachable = storeReachable_;
    cell_.publish(std::move(view));
    published_();
}

} // namespace Portpaddle
