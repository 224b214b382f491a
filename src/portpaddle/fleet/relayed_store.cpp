// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/relayed_store.h"

#include "portpaddle/base/log.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/net/endpoint.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>

namespace Portpaddle {

namespace {

// So many daemons of a region follow the store. Each change reaches the others through any of them; two may be lost at once.
constexpr std::size_t directFollowers = 3;
// Those that are asked after them, when they are lost: they then follow the store themselves.
constexpr std::size_t maxSources = 6;
// Daemons of the own region are one or two hops away.
constexpr Millis connectTimeout{ 400 };
// Beyond the time for which an answer waits: a small VM may stand still for some hundred milliseconds.
constexpr Millis answerSlack{ 700 };
constexpr std::chrono::milliseconds avoidTime{ 1'000 };
// How long a waiting call to the store takes where all sources failed: they may be back. Its answer may be lost, which shows only
// when the call times out some seconds later; with 5 s here a configuration was missed for 5.7 s after the store had lost
// answers.
constexpr Millis directWait{ 1'000 };
// Between two calls to a store that failed too.
constexpr std::chrono::milliseconds betweenStoreCalls{ 1'500 };

Error unavailable(std::string message)
{
    return Error{ ErrorCode::PlatformUnavailable, std::move(message), RunState::NotRun, {} };
}

/// Whether what a source knows is news of the store at all.
bool isConfirmed(const FeedUpdate &news, SteadyTime now)
{
    return news.reachable && news.revision > 0 && now - news.confirmedAt < oldestConfirmation;
}

} // namespace

FollowRole followRole(const FleetView &view, const std::string &id, const std::string &region)
{
    FollowRole role;
    if (!usesAggregators(view)) {
        return role;
    }
    const std::vector<const DaemonRecord *> ranked = rankForRole(view, region, "store");
    const std::size_t direct = std::min(directFollowers, ranked.size());
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

RelayedStore::RelayedStore(WatchedStore &store, std::function<FollowRole()> role) : store_(store), role_(std::move(role))
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
    // In turns: one that stands still or is cut off delays a change by one question at most.
    const std::size_t first = std::min(usable.size(), directFollowers);
    if (first > 0) {
        std::rotate(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(turn_++ % first),
                    usable.begin() + static_cast<std::ptrdiff_t>(first));
    }
    return usable;
}

Result<std::string> RelayedStore::ask(const std::string &address, const std::string &target)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return unavailable("a daemon's link address is broken");
    }
    std::shared_ptr<httplib::Client> client;
    {
        const std::lock_guard lock(mutex_);
        Source &source = sources_[address];
        if (!source.client) {
            source.client = std::make_shared<httplib::Client>(endpoint->address().to_string(), endpoint->port());
            source.client->set_keep_alive(true);
            source.client->set_connection_timeout(connectTimeout);
            source.client->set_read_timeout(longestFeedWait + answerSlack);
        }
        client = source.client;
        asked_ = client;
    }
    std::string body;
    const httplib::Result result = client->Get(target, [&body](const char *data, std::size_t size) {
        body.append(data, size);
        return body.size() <= largestStateBytes;
    });
    const std::lock_guard lock(mutex_);
    asked_.reset();
    if (!result || result->status != 200) {
        sources_[address].client.reset();
        return unavailable("the daemon at " + address + " does not hand on the store's changes");
    }
    return body;
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

void RelayedStore::avoid(const std::string &address, const Error &why)
{
    logEvent(LogEvent::FollowSourceLeft, { { "source", address }, { "reason", why.message } });
    const std::lock_guard lock(mutex_);
    sources_[address].avoidedUntil = BootClock::now() + avoidTime;
}

Result<FeedUpdate> RelayedStore::askConfirmed(const std::string &address, const std::string &target)
{
    const Result<std::string> body = ask(address, target);
    if (!isOk(body)) {
        return errorOf(body);
    }
    const auto now = BootClock::now();
    Result<FeedUpdate> news = decodeChanges(valueOf(body), now);
    if (isOk(news) && !isConfirmed(valueOf(news), now)) {
        return unavailable("the daemon at " + address + " has no contact with the store");
    }
    return news;
}

Result<KeyChanges> RelayedStore::followPeer(const std::string &address, std::uint64_t revision)
{
    Result<FeedUpdate> news = askConfirmed(address, fmt::format("{}?after={}", changesPath, revision));
    if (!isOk(news)) {
        return errorOf(news);
    }
    if (valueOf(news).incomplete && valueOf(news).revision <= revision) {
        return unavailable("the daemon at " + address + " knows less than this one");
    }
    if (valueOf(news).incomplete) {
        // The listing that follows must not come from a daemon that missed the same changes as this one.
        highestRevision_ = valueOf(news).revision;
        return Error{ ErrorCode::HistoryCompacted, "the daemon at " + address + " forgot these changes", RunState::NotRun, {} };
    }
    KeyChanges changes;
    changes.changes = std::move(valueOf(news).changes);
    // One that is behind says nothing about what is known here already.
    changes.revision = std::max(revision, valueOf(news).revision);
    changes.confirmedAt = valueOf(news).confirmedAt;
    changes.relayed = true;
    return changes;
}

Result<KeyListing> RelayedStore::listPeer(const std::string &address)
{
    Result<FeedUpdate> news = askConfirmed(address, statePath);
    if (!isOk(news)) {
        return errorOf(news);
    }
    if (valueOf(news).revision < highestRevision_) {
        return unavailable("the daemon at " + address + " knows less than this one");
    }
    KeyListing listing;
    for (KeyChange &change : valueOf(news).changes) {
        listing.items.push_back(std::move(change.item));
    }
    listing.revision = valueOf(news).revision;
    listing.confirmedAt = valueOf(news).confirmedAt;
    return listing;
}

Result<KeyListing> RelayedStore::listAll(const std::string &prefix, ReadFreshness freshness)
{
    const FollowRole role = currentRole();
    if (!role.direct) {
        for (const std::string &address : usableSources(role, BootClock::now())) {
            Result<KeyListing> listing = listPeer(address);
            if (isOk(listing)) {
                highestRevision_ = valueOf(listing).revision;
                return listing;
            }
            avoid(address, errorOf(listing));
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
    for (const std::string &address : usableSources(role, BootClock::now())) {
        Result<KeyChanges> changes = followPeer(address, revision);
        // A source that is ahead and has forgotten goes before others that may have missed the same changes.
        if (isOk(changes) || errorOf(changes).code == ErrorCode::HistoryCompacted) {
            return changes;
        }
        avoid(address, errorOf(changes));
    }
    if (BootClock::now() < storeCallsFrom_) {
        return unavailable("no daemon hands on the store's changes, and the store failed just now");
    }
    Result<KeyChanges> changes = store_.follow(prefix, revision, std::min(timeout, directWait));
    if (!isOk(changes) && errorOf(changes).code != ErrorCode::HistoryCompacted) {
        storeCallsFrom_ = BootClock::now() + betweenStoreCalls;
    }
    return changes;
}

Result<std::uint64_t> RelayedStore::newestRevision()
{
    return store_.newestRevision();
}

void RelayedStore::interrupt()
{
    store_.interrupt();
    const std::lock_guard lock(mutex_);
    if (asked_) {
        asked_->stop();
    }
}

} // namespace Portpaddle
