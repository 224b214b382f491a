// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/relayed_store.h"

#include "portpaddle/base/log.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/net/bounded_body.h"
#include "portpaddle/net/bounded_client.h"
#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/state_exchange.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>

namespace Portpaddle {

namespace {

// Number of daemons of a region that follow the store itself. Any of them relays every change, so that two may fail at once.
constexpr std::size_t maxDirectFollowers = 3;
// Includes daemons ranked below the direct followers: when those fail, the next ones by rank follow the store themselves.
constexpr std::size_t maxSources = 6;
// Daemons of the own region are one or two network hops away.
constexpr Millis connectTimeout{ 400 };
// Added to the time for which an answer may wait: a small VM may stall for some hundred milliseconds.
constexpr Millis readTimeoutMargin{ 700 };
constexpr std::chrono::milliseconds avoidTime{ 1'000 };
// Limit for a waiting call to the store after all sources failed, so that recovered sources are tried again soon. A lost answer
// of the store shows only at this timeout.
constexpr Millis maxDirectWait{ 1'000 };
// Once sources that do not answer have taken this long, the store is asked before the remaining ones: their timeouts would add up
// beyond the time within which a change must take effect.
constexpr std::chrono::milliseconds maxSourceSearch{ 1'000 };
// Delay before the store is called again if it failed as well.
constexpr std::chrono::milliseconds storeRetryDelay{ 1'500 };

Error unavailable(std::string message)
{
    return Error{ ErrorCode::PlatformUnavailable, std::move(message), RunState::NotRun, {} };
}

} // namespace

FollowRole followRole(const FleetView &view, const std::string &id, const std::string &region)
{
    FollowRole role;
    if (!usesAggregators(view)) {
        return role;
    }
    const std::vector<const DaemonRecord *> ranked = rankForRole(view, region, "store");
    const std::size_t direct = std::min(maxDirectFollowers, ranked.size());
    role.direct = std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(direct),
                              [&id](const DaemonRecord *daemon) { return daemon->id == id; });
    for (const DaemonRecord *daemon : ranked) {
        if (daemon->id != id && role.sources.size() < maxSources) {
            role.sources.push_back(daemon->linkAddress);
        }
    }
    role.direct = role.direct || role.sources.empty();
    return role;
}

FollowRole followRoleAmong(const std::vector<KeyValue> &records, const std::string &id, const std::string &region)
{
    FleetView view;
    for (const KeyValue &item : records) {
        const Result<DaemonRecord> daemon = decodeDaemonRecord(item.value);
        if (isOk(daemon)) {
            view.daemons.push_back(valueOf(daemon));
        }
    }
    return followRole(view, id, region);
}

RelayedStore::RelayedStore(WatchedStore &store, std::function<FollowRole()> role, RoleAmong roleAmong)
    : store_(store), role_(std::move(role)), roleAmong_(std::move(roleAmong))
{
}

RelayedStore::~RelayedStore() = default;

std::vector<std::string> RelayedStore::usableSources(const FollowRole &role, Time now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(sources_, [&role](const auto &item) {
        return std::find(role.sources.begin(), role.sources.end(), item.first) == role.sources.end();
    });
    std::vector<std::string> usable;
    for (const std::string &address : role.sources) {
        if (sources_[address].avoidedUntil <= now) {
            usable.push_back(address);
        }
    }
    // The first sources are rotated, so that one that stalls or is partitioned delays a change by one request at most.
    const std::size_t first = std::min(usable.size(), maxDirectFollowers);
    if (first > 0) {
        std::rotate(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(rotation_++ % first),
                    usable.begin() + static_cast<std::ptrdiff_t>(first));
    }
    return usable;
}

bool RelayedStore::prefersStore(Time searchBegin) const
{
    const Time now = BootClock::now();
    return now - searchBegin > maxSourceSearch && now >= storeRetryAt_;
}

/// What silenced one open connection may have silenced all of them: the sources and the store are called over new ones.
void RelayedStore::dropConnections()
{
    {
        const std::lock_guard lock(mutex_);
        for (auto &[address, source] : sources_) {
            source.client.reset();
        }
    }
    store_.interrupt();
}

Result<std::string> RelayedStore::request(const std::string &address, const std::string &target)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return unavailable("a daemon has an invalid link address");
    }
    std::shared_ptr<BoundedClient> client;
    {
        const std::lock_guard lock(mutex_);
        Source &source = sources_[address];
        if (!source.client) {
            source.client = std::make_shared<BoundedClient>(endpoint->address().to_string(), endpoint->port());
            source.client->set_keep_alive(true);
            source.client->set_connection_timeout(connectTimeout);
            source.client->set_read_timeout(maxFeedWait + readTimeoutMargin);
        }
        client = source.client;
        activeClient_ = client;
    }
    const Time begin = BootClock::now();
    BoundedBody body(PeerBounds::stateBytes, begin + maxFeedWait + PeerBounds::stateTime);
    const httplib::Result result
        = client->Get(target, [&body](const char *data, std::size_t size) { return body.append(data, size); });
    if (!result && BootClock::now() - begin >= maxFeedWait + readTimeoutMargin) {
        dropConnections();
    }
    const std::lock_guard lock(mutex_);
    activeClient_.reset();
    if (!result || result->status != 200) {
        sources_[address].client.reset();
        return unavailable("the daemon at " + address + " does not relay the store's contents");
    }
    return body.bytes();
}

FollowRole RelayedStore::currentRole()
{
    FollowRole role = role_();
    if (role.direct != direct_) {
        direct_ = role.direct;
        logEvent(LogEvent::FollowRoleChanged, { { "follows", direct_ ? "platform" : "daemons" } });
    }
    return role;
}

void RelayedStore::avoidSource(const std::string &address, const Error &why)
{
    logEvent(LogEvent::FollowSourceLeft, { { "source", address }, { "reason", why.message } });
    const std::lock_guard lock(mutex_);
    sources_[address].avoidedUntil = BootClock::now() + avoidTime;
}

Result<FeedUpdate> RelayedStore::requestConfirmed(const std::string &address, const std::string &target)
{
    const Result<std::string> body = request(address, target);
    if (!isOk(body)) {
        return errorOf(body);
    }
    const auto now = BootClock::now();
    Result<FeedUpdate> update = decodeChanges(valueOf(body), now);
    if (isOk(update) && !isConfirmed(valueOf(update), now)) {
        return unavailable("the daemon at " + address + " has no contact with the store");
    }
    return update;
}

Result<KeyChanges> RelayedStore::followPeer(const std::string &address, std::uint64_t revision)
{
    Result<FeedUpdate> update = requestConfirmed(address, fmt::format("{}?after={}", changesPath, revision));
    if (!isOk(update)) {
        return errorOf(update);
    }
    if (valueOf(update).incomplete && valueOf(update).revision <= revision) {
        return unavailable("the daemon at " + address + " has no newer contents than this one");
    }
    if (valueOf(update).incomplete) {
        // The next listing must not come from a daemon that missed the same changes as this one.
        highestRevision_ = valueOf(update).revision;
        return Error{
            ErrorCode::HistoryCompacted, "the daemon at " + address + " no longer has these changes", RunState::NotRun, {}
        };
    }
    KeyChanges changes;
    changes.changes = std::move(valueOf(update).changes);
    // A source that is behind must not lower the revision that is already known here.
    changes.revision = std::max(revision, valueOf(update).revision);
    changes.confirmedAt = valueOf(update).confirmedAt;
    changes.relayed = true;
    return changes;
}

Result<KeyListing> RelayedStore::listPeer(const std::string &address)
{
    Result<FeedUpdate> update = requestConfirmed(address, statePath);
    if (!isOk(update)) {
        return errorOf(update);
    }
    if (valueOf(update).revision < highestRevision_) {
        return unavailable("the daemon at " + address + " has older contents than this one");
    }
    KeyListing listing;
    for (KeyChange &change : valueOf(update).changes) {
        listing.items.push_back(std::move(change.item));
    }
    listing.relayed = true;
    listing.revision = valueOf(update).revision;
    listing.confirmedAt = valueOf(update).confirmedAt;
    return listing;
}

// A daemon that has just started knows no others. In a large fleet the records of the daemons are a small part of the store's
// contents, and the link of the store would need a minute to send all of them to each of a thousand daemons.
FollowRole RelayedStore::roleAmongRegistered()
{
    const Result<KeyListing> listing = store_.listAll(daemonRecordPrefix, ReadFreshness::MayBeStale);
    return isOk(listing) ? roleAmong_(valueOf(listing).items) : FollowRole{};
}

Result<KeyListing> RelayedStore::listAll(const std::string &prefix, ReadFreshness freshness)
{
    FollowRole role = currentRole();
    if (role.direct && highestRevision_ == 0) {
        role = roleAmongRegistered();
    }
    if (!role.direct) {
        const SteadyTime begin = BootClock::now();
        for (const std::string &address : usableSources(role, begin)) {
            if (prefersStore(begin)) {
                break;
            }
            Result<KeyListing> listing = listPeer(address);
            if (isOk(listing)) {
                highestRevision_ = valueOf(listing).revision;
                return listing;
            }
            avoidSource(address, errorOf(listing));
        }
    }
    Result<KeyListing> listing = store_.listAll(prefix, freshness);
    if (isOk(listing)) {
        highestRevision_ = std::max(highestRevision_, valueOf(listing).revision);
    }
    return listing;
}

Result<KeyChanges> RelayedStore::follow(const std::string &prefix, std::uint64_t revision, Millis timeout)
{
    highestRevision_ = std::max(highestRevision_, revision);
    const FollowRole role = currentRole();
    if (role.direct) {
        return store_.follow(prefix, revision, timeout);
    }
    const SteadyTime begin = BootClock::now();
    for (const std::string &address : usableSources(role, begin)) {
        if (prefersStore(begin)) {
            break;
        }
        Result<KeyChanges> changes = followPeer(address, revision);
        // A newer source that no longer has the changes takes precedence over others that may have missed the same changes.
        if (isOk(changes) || errorOf(changes).code == ErrorCode::HistoryCompacted) {
            return changes;
        }
        avoidSource(address, errorOf(changes));
    }
    if (BootClock::now() < storeRetryAt_) {
        return unavailable("no daemon relays the store's changes, and the last call to the store failed");
    }
    Result<KeyChanges> changes = store_.follow(prefix, revision, std::min(timeout, maxDirectWait));
    if (!isOk(changes) && errorOf(changes).code != ErrorCode::HistoryCompacted) {
        storeRetryAt_ = BootClock::now() + storeRetryDelay;
    }
    return changes;
}

Result<std::uint64_t> RelayedStore::newestRevision(ReadFreshness freshness)
{
    return store_.newestRevision(freshness);
}

void RelayedStore::interrupt()
{
    store_.interrupt();
    const std::lock_guard lock(mutex_);
    if (activeClient_) {
        activeClient_->stop();
    }
}

} // namespace Portpaddle
