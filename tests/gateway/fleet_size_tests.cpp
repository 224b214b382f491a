// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What a daemon of a large fleet holds, considers and serves to others does not grow with the fleet.

#include "platform/region_filter.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/placement/upstream_selection.h"
#include "portpaddle/store_following/fleet_registry.h"
#include "portpaddle/store_following/state_exchange.h"
#include "portpaddle/store_following/store_watcher.h"
#include "support/eventually.h"
#include "support/scripted_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>

using namespace Portpaddle;

namespace {

UpstreamRecord upstream(unsigned index)
{
    UpstreamRecord record;
    record.registeredName = fmt::format("u{}", index);
    record.id = record.registeredName;
    record.service = "s";
    record.region = "north";
    record.dataCentre = index % 2 == 0 ? "north-1" : "north-2";
    return record;
}

std::vector<UpstreamRecord> upstreams(unsigned count)
{
    std::vector<UpstreamRecord> result;
    for (unsigned index = 0; index < count; ++index) {
        result.push_back(upstream(index));
    }
    return result;
}

std::vector<const UpstreamRecord *> pointersTo(const std::vector<UpstreamRecord> &records)
{
    std::vector<const UpstreamRecord *> result;
    for (const UpstreamRecord &record : records) {
        result.push_back(&record);
    }
    return result;
}

std::size_t changedShards(const FleetView &view, const FleetView &earlier)
{
    std::size_t count = 0;
    view.upstreams.forEachChangedShard(earlier.upstreams, [&count](const auto &, const auto &) { ++count; });
    return count;
}

PromptFacts promptWithPart(std::uint64_t hash)
{
    PromptFacts prompt;
    prompt.parts = { { hash, 5'000 }, { hash + 1, 1'000 } };
    prompt.promptTokens = 6'000;
    return prompt;
}

/// Returns what @p server answers to a request for @p target.
WholeAnswer ask(boost::asio::io_context &loop, FeedServer &server, const std::string &target)
{
    WholeAnswer answer;
    spawnTask(loop.get_executor(), "question", [&]() -> Task<void> { answer = co_await server.answer(target); });
    loop.restart();
    loop.poll();
    return answer;
}

/// Remembers what a watcher reported.
class KnowingListener : public WatchListener
{
public:
    void listed(const std::vector<KeyValue> &items) override
    {
        const std::lock_guard lock(mutex_);
        for (const KeyValue &item : items) {
            keys_.insert(item.key);
        }
    }
    void changed(const std::vector<KeyChange> &changes) override
    {
        const std::lock_guard lock(mutex_);
        for (const KeyChange &change : changes) {
            ++reported_;
            if (change.removed) {
                keys_.erase(change.item.key);
            } else {
                keys_.insert(change.item.key);
            }
        }
    }
    void onStoreUnavailable(const Error &) override
    {
    }
    void onStoreAvailable() override
    {
    }
    void receivedFromPeer(const std::vector<KeyChange> &, bool) override
    {
    }
    bool knows(const std::string &key) const
    {
        const std::lock_guard lock(mutex_);
        return keys_.contains(key);
    }
    std::size_t reported() const
    {
        const std::lock_guard lock(mutex_);
        return reported_;
    }

private:
    mutable std::mutex mutex_;
    std::set<std::string> keys_;
    std::size_t reported_ = 0;
};

std::string recordIn(const std::string &dataCentre)
{
    return fmt::format(R"({{"zone":"{}"}})", dataCentre);
}

} // namespace

TEST_CASE("Fleet view, one upstream of thousands changes, shares all other records with the view before")
{
    RcuCell<FleetView> cell;
    FleetRegistry registry(cell, [] {});
    registry.listUpstreams(upstreams(4'000), SteadyTime{});
    DaemonRecord daemon;
    daemon.id = "d";
    registry.changeDaemon(daemon);
    const std::shared_ptr<const FleetView> before = cell.read();
    UpstreamRecord changed = upstream(7);
    changed.leaving = true;
    registry.changeUpstream(changed);
    const std::shared_ptr<const FleetView> after = cell.read();
    CHECK(changedShards(*after, *before) == 1);
    CHECK(after->daemons.sharesWith(before->daemons));
    CHECK(after->upstreams.size() == 4'000);
    CHECK(after->upstreams.at("u7").leaving);
    CHECK_FALSE(before->upstreams.at("u7").leaving);

    registry.changeDaemon(daemon);
    CHECK(changedShards(*cell.read(), *after) == 0);
    CHECK_FALSE(cell.read()->daemons.sharesWith(after->daemons));
}

TEST_CASE("Copy-on-write map, random changes, equals a plain map and leaves its copies unchanged")
{
    CopyOnWriteMap<int> map;
    std::map<std::string, int> plain;
    std::vector<std::pair<CopyOnWriteMap<int>, std::map<std::string, int>>> copies;
    std::uint64_t state = 1;
    for (int step = 0; step < 5'000; ++step) {
        state = state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        const std::string key = std::to_string((state >> 33) % 700);
        if ((state >> 20) % 3 == 0) {
            CHECK(map.erase(key) == (plain.erase(key) > 0));
        } else {
            map[key] = step;
            plain[key] = step;
        }
        if (step % 500 == 0) {
            copies.emplace_back(map, plain);
        }
    }
    copies.emplace_back(map, plain);
    for (const auto &[copy, expected] : copies) {
        std::map<std::string, int> seen;
        for (const auto &[key, value] : copy) {
            seen[key] = value;
        }
        CHECK(seen == expected);
        CHECK(copy.size() == expected.size());
    }
}

TEST_CASE("Upstream selection, small region, considers all upstreams")
{
    const std::vector<UpstreamRecord> records = upstreams(UpstreamSelection::maxConsidered);
    const UpstreamSelection selection(pointersTo(records), "d", "north-1");
    CHECK(selection.isWhole());
    CHECK(selection.considered(promptWithPart(5)).size() == records.size());
    CHECK(selection.homes(promptWithPart(5)).empty());
}

TEST_CASE("Upstream selection, regions of any size, considers a bounded number, mostly of the own data centre")
{
    for (const unsigned count : { 1'000U, 4'000U, 8'000U }) {
        const std::vector<UpstreamRecord> records = upstreams(count);
        const UpstreamSelection selection(pointersTo(records), "d", "north-1");
        const auto considered = selection.considered(promptWithPart(5));
        CHECK(considered.size() <= 64);
        CHECK(selection.sample().size() <= UpstreamSelection::maxConsidered);
        const auto own = std::count_if(considered.begin(), considered.end(),
                                       [](const UpstreamRecord *record) { return record->dataCentre == "north-1"; });
        CHECK(own > 30);
        CHECK(static_cast<std::size_t>(own) < considered.size());
    }
}

TEST_CASE("Upstream selection, many daemons, spreads them evenly and gives all the same homes of a prompt")
{
    const std::vector<UpstreamRecord> records = upstreams(4'000);
    std::map<const UpstreamRecord *, unsigned> daemonsOf;
    std::set<std::vector<const UpstreamRecord *>> homes;
    for (unsigned daemon = 0; daemon < 350; ++daemon) {
        const UpstreamSelection selection(pointersTo(records), fmt::format("d{}", daemon),
                                          daemon % 2 == 0 ? "north-1" : "north-2");
        for (const UpstreamRecord *record : selection.considered({})) {
            ++daemonsOf[record];
        }
        homes.insert(selection.homes(promptWithPart(99)));
    }
    CHECK(homes.size() == 1);
    unsigned most = 0;
    for (const auto &[record, count] : daemonsOf) {
        most = std::max(most, count);
    }
    // Four on average, with the spread of random choices.
    CHECK(daemonsOf.size() > 3'900);
    CHECK(most <= 16);
}

TEST_CASE("Upstream selection, one upstream goes, changes at most one place of the subset")
{
    std::vector<UpstreamRecord> records = upstreams(2'000);
    const UpstreamSelection before(pointersTo(records), "d", "north-1");
    const std::string gone = before.considered({}).front()->id;
    std::set<std::string> kept;
    for (const UpstreamRecord *record : before.considered({})) {
        kept.insert(record->id);
    }
    std::erase_if(records, [&gone](const UpstreamRecord &record) { return record.id == gone; });
    const UpstreamSelection after(pointersTo(records), "d", "north-1");
    std::size_t added = 0;
    for (const UpstreamRecord *record : after.considered({})) {
        added += kept.contains(record->id) ? 0 : 1;
    }
    CHECK(added == 1);
}

TEST_CASE("Region filter, records of other regions, are dropped; unreadable ones and other keys are kept")
{
    const RegionFilter filter("north", { { "north-1", "north" }, { "south-1", "south" } });
    CHECK(filter.keeps({ "servers/a", recordIn("north-1"), 1 }));
    CHECK_FALSE(filter.keeps({ "servers/a", recordIn("south-1"), 1 }));
    CHECK(filter.keeps({ "servers/a", recordIn("unknown"), 1 }));
    CHECK(filter.keeps({ "servers/a", "\xff{", 1 }));
    CHECK(filter.keeps({ "servers/a", R"({"zone":5})", 1 }));
    CHECK(filter.keeps({ "op/config", recordIn("south-1"), 1 }));
}

TEST_CASE("Store watcher, upstream of another region, is not reported; one that moves there is reported as removed")
{
    const RegionFilter filter("north", { { "north-1", "north" }, { "south-1", "south" } });
    ScriptedStore store;
    KnowingListener listener;
    store.set("servers/here", recordIn("north-1"));
    StoreWatcher watcher("", store, listener);
    watcher.setFilter(&filter);
    watcher.start();
    REQUIRE(eventually([&] { return listener.knows("servers/here"); }));
    store.set("servers/there", recordIn("south-1"));
    store.remove("servers/there");
    store.set("servers/here", recordIn("south-1"));
    CHECK(eventually([&] { return !listener.knows("servers/here"); }));
    CHECK(listener.reported() == 1);
    watcher.stop();
}

TEST_CASE("Feed server, many requests for the whole state, are answered with the same compressed bytes")
{
    boost::asio::io_context loop{ 1 };
    ChangeFeed feed([] {});
    feed.restart(5, BootClock::now());
    feed.setReachable(true);
    std::vector<KeyValue> items;
    for (unsigned index = 0; index < 2'000; ++index) {
        items.push_back({ fmt::format("servers/u{}", index), std::string(200, 'x') + std::to_string(index), 5 });
    }
    unsigned listings = 0;
    FeedServer server(loop.get_executor(), "d", feed, [&] {
        ++listings;
        return StoreState{ items, 5, {} };
    });
    const WholeAnswer first = ask(loop, server, statePath);
    const WholeAnswer second = ask(loop, server, statePath);
    CHECK(listings == 1);
    REQUIRE(first.sharedBody);
    CHECK(first.sharedBody == second.sharedBody);
    CHECK(first.fields[boost::beast::http::field::content_encoding] == "gzip");
    CHECK(first.sharedBody->size() < 2'000 * 100);

    feed.add({ { { "k", "v", 6 }, false } }, 6, BootClock::now());
    CHECK(ask(loop, server, statePath).sharedBody != first.sharedBody);
    const WholeAnswer changes = ask(loop, server, fmt::format("{}?after=5", changesPath));
    REQUIRE(changes.sharedBody);
    const Result<FeedUpdate> update = decodeChanges(*changes.sharedBody, BootClock::now());
    REQUIRE(isOk(update));
    CHECK(valueOf(update).changes.size() == 1);
}
