// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Records that another writer left in the store and that no upstream would write: the daemon goes on, and takes all others.

#include "ctl/admin_client.h"
#include "platform/base64.h"
#include "platform/engine_orders.h"
#include "platform/fleet_listener.h"
#include "platform/operator_config.h"
#include "platform/region_filter.h"
#include "platform/rollout_orders.h"
#include "platform/store_client.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/entry/chat_request.h"
#include "portpaddle/platform/http_platform.h"
#include "portpaddle/rollouts/rollout_record.h"
#include "portpaddle/settings/settings_log.h"
#include "portpaddle/settings/tree.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/store_watcher.h"
#include "portpaddle/stream_versions/version_sets.h"
#include "portpaddle/upstream_limits/limit_record.h"
#include "support/eventually.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace Portpaddle;

namespace {

// Deep enough to overflow the stack of a thread with a frame of ten bytes for each level.
constexpr std::size_t depth = 60'000;

const std::map<std::string, std::string> regionOfDataCentre{ { "north-1", "north" }, { "south-1", "south" } };

std::string repeated(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

const std::string deepArray = repeated("[", depth) + repeated("]", depth);
const std::string deepObject = repeated(R"({"a":)", depth) + "0" + repeated("}", depth);

const std::vector<std::string> deepValues{ deepArray, deepObject, repeated("[", depth), repeated(R"({"a":)", depth),
                                           repeated(R"([{"a":)", depth) + "0" + repeated("}]", depth) };
const std::vector<std::string> tooLargeNumbers{ "1e400",
                                                "-1e400",
                                                "1e308",
                                                "1e39",
                                                "-1",
                                                "18446744073709551616",
                                                "9223372036854775808",
                                                "18446744073709551615",
                                                "4294967297",
                                                "9" + repeated("9", 5'000) };
const std::vector<std::string> badPorts{ "127.0.0.1:65536",
                                         "127.0.0.1:70000",
                                         "127.0.0.1:-1",
                                         "127.0.0.1:4294967376",
                                         "127.0.0.1:",
                                         "127.0.0.1",
                                         "127.0.0.1:99999999999999999999999",
                                         "127.0.0.1:+80",
                                         "127.0.0.1:80x",
                                         "127.0.0.1:0" };

/// Returns a sound record, with @p value in the place of that of @p field, and @p more at its end.
std::string recordWith(const std::string &field = {}, const std::string &value = {}, const std::string &more = {})
{
    std::map<std::string, std::string> fields{ { "service", R"("m")" },    { "address", R"("127.0.0.1:80")" },
                                               { "zone", R"("north-1")" }, { "version", R"("v1")" },
                                               { "slots", "8" },           { "state", R"("ready")" },
                                               { "coldRemainingMs", "0" }, { "sequence", "1" } };
    if (!field.empty()) {
        fields[field] = value;
    }
    std::string text;
    for (const auto &[name, written] : fields) {
        text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, written);
    }
    return text + more + "}";
}

/// Records that are none.
std::vector<std::string> oddRecords()
{
    std::vector<std::string> records = deepValues;
    for (const char *field :
         { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence", "remainingMs", "born" }) {
        for (const std::string &deep : deepValues) {
            records.push_back(recordWith(field, deep));
        }
    }
    for (const char *field : { "slots", "coldRemainingMs", "remainingMs" }) {
        for (const std::string &number : tooLargeNumbers) {
            records.push_back(recordWith(field, number));
        }
    }
    for (const char *field : { "sequence", "born" }) {
        records.push_back(recordWith(field, "1e400"));
    }
    for (const std::string &address : badPorts) {
        records.push_back(recordWith("address", '"' + address + '"'));
    }
    return records;
}

/// Runs @p work with the stack of a daemon's threads.
void onThread(const std::function<void()> &work)
{
    Thread thread("records", work);
    thread.join();
}

/// Follows a store; keeps the records of region "north".
class OddRecordFixture
{
public:
    OddRecordFixture()
    {
        watcher.setFilter(&filter);
        watcher.setCoalescingDelay(Millis(0));
        store.set("servers/a", recordWith());
    }

    ~OddRecordFixture()
    {
        watcher.stop();
    }

    bool knows(const std::string &id) const
    {
        return view.read()->upstreams.find(id) != view.read()->upstreams.end();
    }

    ScriptedStore store;
    RcuCell<FleetView> view;
    FleetRegistry registry{ view, [] {} };
    FleetListener listener{ registry, regionOfDataCentre };
    RegionFilter filter{ "north", regionOfDataCentre };
    StoreWatcher watcher{ "", store, listener };
};

/// A store whose listing has one odd record among sound ones.
ScriptedUpstream storeThatLists(const std::string &odd)
{
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, value] : std::map<std::string, std::string>{
             { "servers/a", recordWith() }, { "servers/b", odd }, { "servers/c", recordWith() } }) {
        items.push_back({ { "privateKey", key }, { "value", encodeBase64(value) }, { "revision", 3 } });
    }
    const std::string body = nlohmann::json{ { "storeRevision", 3 }, { "items", items }, { "morePages", false } }.dump();
    const std::string bytes = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    return ScriptedUpstream([bytes](const SeenRequest &) { return ScriptedAnswer{ bytes, ScriptedAnswer::Then::Close }; });
}

} // namespace

TEST_CASE("Upstream record, odd, is rejected without an end of the process")
{
    for (const std::string &odd : oddRecords()) {
        CAPTURE(odd.substr(0, 200));
        bool taken = true;
        onThread([&] { taken = isOk(parseUpstreamRecord("b", odd, regionOfDataCentre, BootClock::now())); });
        CHECK_FALSE(taken);
    }
}

TEST_CASE("Upstream record, sound but for a field that no daemon reads, is taken or rejected without an end of the process")
{
    for (const std::string &deep : deepValues) {
        onThread([&] {
            (void)parseUpstreamRecord("b", recordWith({}, {}, ",\"more\":" + deep), regionOfDataCentre, BootClock::now());
        });
    }
    for (const std::string &number : tooLargeNumbers) {
        for (const char *field : { "sequence", "born", "more" }) {
            (void)parseUpstreamRecord("b", recordWith(field, number), regionOfDataCentre, BootClock::now());
        }
    }
}

TEST_CASE("Store watcher, odd record among those it lists, takes the others and follows on")
{
    for (const std::string &odd : oddRecords()) {
        CAPTURE(odd.substr(0, 200));
        OddRecordFixture daemon;
        daemon.store.set("servers/b", odd);
        daemon.store.set("servers/c", recordWith());
        daemon.watcher.start();
        REQUIRE(eventually([&] { return daemon.knows("c"); }));
        CHECK(daemon.knows("a"));
        CHECK_FALSE(daemon.knows("b"));
        daemon.store.set("servers/d", recordWith());
        CHECK(eventually([&] { return daemon.knows("d"); }));
    }
}

TEST_CASE("Store watcher, odd record that another writer adds, drops that upstream and follows on")
{
    OddRecordFixture daemon;
    daemon.watcher.start();
    REQUIRE(eventually([&] { return daemon.knows("a"); }));
    unsigned number = 0;
    for (const std::string &odd : oddRecords()) {
        CAPTURE(odd.substr(0, 200));
        daemon.store.set("servers/b", recordWith());
        REQUIRE(eventually([&] { return daemon.knows("b"); }));
        daemon.store.set("servers/b", odd);
        const std::string next = fmt::format("n{}", ++number);
        daemon.store.set("servers/" + next, recordWith());
        REQUIRE(eventually([&] { return daemon.knows(next); }));
        CHECK_FALSE(daemon.knows("b"));
        CHECK(daemon.knows("a"));
    }
}

TEST_CASE("Store client, odd record in a listing, brings all records of the listing")
{
    for (const std::string &odd : oddRecords()) {
        CAPTURE(odd.substr(0, 200));
        const ScriptedUpstream store = storeThatLists(odd);
        StoreClient client(valueOf(parseSocketAddress(store.address())));
        std::size_t items = 0;
        onThread([&] {
            const Result<KeyListing> listing = client.listAll("", ReadFreshness::Newest);
            items = isOk(listing) ? valueOf(listing).items.size() : 0;
        });
        CHECK(items == 3);
    }
}

TEST_CASE("Record of any other kind, very deeply nested, is rejected without an end of the process")
{
    for (const std::string &deep : deepValues) {
        CAPTURE(deep.substr(0, 8));
        for (const char *form :
             { "{}", R"({{"version":1,"routes":[],"services":[],"tenants":{}}})",
               R"({{"version":1,"routes":[],"services":[],"limits":{}}})", R"({{"version":1,"routes":[{}],"services":[]}})",
               R"({{"version":1,"routes":[],"services":[{}]}})", R"({{"targetVersion":{},"durationS":1}})",
               R"({{"open":{},"announced":[],"complete":true}})", R"({{"perSecond":{}}})", R"({{"stage":{},"order":1}})",
               R"({{"id":"d","region":{}}})" }) {
            CAPTURE(form);
            const std::string text = fmt::format(fmt::runtime(form), deep);
            onThread([&] {
                CHECK_FALSE(isOk(parseOperatorConfig(text)));
                CHECK_FALSE(isOk(parseRolloutOrder("s", { "k", text, 3 })));
                CHECK_FALSE(decodeVersionSet(text, 3).has_value());
                CHECK_FALSE(decodeRolloutRecord("s", text, 3).has_value());
                CHECK_FALSE(isOk(decodeDaemonRecord(text)));
                CHECK_FALSE(readLimitRecord("portpaddle/limits/7", text).has_value());
            });
        }
    }
}

TEST_CASE("Answer to an order, whose handle is very deeply nested, names no memory and does not end the process")
{
    for (const std::string &deep : deepValues) {
        CAPTURE(deep.substr(0, 8));
        onThread([&] { CHECK_FALSE(EngineOrders().memoryIn(200, "{\"handle\":" + deep + "}").has_value()); });
    }
}

TEST_CASE("Store's answer, very deeply nested, is an unavailable store and does not end the process")
{
    for (const std::string &deep : deepValues) {
        CAPTURE(deep.substr(0, 8));
        for (const std::string &body :
             { deep, "{\"storeRevision\":" + deep + "}", "{\"storeRevision\":1,\"items\":[" + deep + "]}" }) {
            const std::string bytes = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
            const ScriptedUpstream store([&bytes](const SeenRequest &) {
                return ScriptedAnswer{ bytes, ScriptedAnswer::Then::Close };
            });
            StoreClient client(valueOf(parseSocketAddress(store.address())));
            onThread([&] { CHECK_FALSE(isOk(client.listAll("", ReadFreshness::Newest))); });
        }
    }
}

namespace {

const std::vector<std::string> oddIds{ "odd\r\nX-Injected: 1",
                                       "odd\nX-Injected: 1",
                                       "odd\rX-Injected: 1",
                                       std::string("a\0b", 3),
                                       "\x01",
                                       "a\x7f",
                                       "a\x1b[0m",
                                       " a",
                                       "a ",
                                       "a\t",
                                       "\r\n" };
const std::vector<std::string> unusualIds{ "a b", "a\tb", "a/b", "a\xc3\xa4", "a;b&c%d#e?f", "a\xff", std::string(200, 'x') };

/// The answers of a platform of the stand-alone daemon, of a daemon to an operator, or of a store.
ScriptedUpstream peerThatSends(const std::string &body)
{
    const std::string bytes = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    return ScriptedUpstream([bytes](const SeenRequest &) { return ScriptedAnswer{ bytes, ScriptedAnswer::Then::Close }; });
}

} // namespace

TEST_CASE("Upstream record, under a key that can't be the value of a header, is rejected")
{
    for (const std::string &id : oddIds) {
        CAPTURE(id);
        CHECK_FALSE(isOk(parseUpstreamRecord(id, recordWith(), regionOfDataCentre, BootClock::now())));
    }
    for (const std::string &id : unusualIds) {
        CAPTURE(id);
        CHECK(isOk(parseUpstreamRecord(id, recordWith(), regionOfDataCentre, BootClock::now())));
    }
}

TEST_CASE("Upstream record, with a text that can't be the value of a header, is rejected")
{
    for (const char *field : { "service", "address", "zone", "version" }) {
        for (const char *text :
             { R"("m\r\nX: 1")", R"("m\n")", R"("m\u0000")", R"("127.0.0.1\u0000:80")", R"("\u0001")", R"("m\u007f")" }) {
            CAPTURE(field);
            CAPTURE(text);
            CHECK_FALSE(isOk(parseUpstreamRecord("a", recordWith(field, text), regionOfDataCentre, BootClock::now())));
        }
    }
}

TEST_CASE("Store watcher, record under a key that can't be the value of a header, takes the others and follows on")
{
    for (const std::string &id : oddIds) {
        CAPTURE(id);
        OddRecordFixture daemon;
        daemon.store.set("servers/" + id, recordWith());
        daemon.watcher.start();
        REQUIRE(eventually([&] { return daemon.knows("a"); }));
        CHECK_FALSE(daemon.knows(id));
        daemon.store.set("servers/" + id, recordWith("slots", "9"));
        daemon.store.set("servers/d", recordWith());
        CHECK(eventually([&] { return daemon.knows("d"); }));
        CHECK_FALSE(daemon.knows(id));
    }
}

TEST_CASE("Text of a header, from any other record or from an answer to an order, that can't be its value, is rejected")
{
    for (const std::string &text : oddIds) {
        CAPTURE(text);
        DaemonRecord daemon;
        daemon.id = text;
        CHECK_FALSE(isOk(decodeDaemonRecord(encodeDaemonRecord(daemon))));
        const nlohmann::json configuration = { { "version", 1 },
                                               { "routes", nlohmann::json::array() },
                                               { "services", nlohmann::json::array() },
                                               { "tenants", { { { "name", text } } } } };
        CHECK_FALSE(isOk(parseOperatorConfig(configuration.dump())));
        CHECK_FALSE(EngineOrders().memoryIn(200, nlohmann::json{ { "handle", text } }.dump()).has_value());
    }
    CHECK_FALSE(EngineOrders().memoryIn(200, R"({"handle":"h 7"})").has_value());
    CHECK_FALSE(EngineOrders().memoryIn(200, R"({"handle":""})").has_value());
    CHECK(EngineOrders().memoryIn(200, R"({"handle":"h7"})").has_value());
    CHECK(EngineOrders().memoryIn(200, R"({"handle":7})").has_value());
}

TEST_CASE("Store client, page that ends with an odd key, asks for the next page after that key")
{
    std::vector<std::string> keys = oddIds;
    keys.insert(keys.end(), unusualIds.begin(), unusualIds.end() - 2);
    for (const std::string &key : keys) {
        CAPTURE(key);
        const nlohmann::json item{ { "privateKey", key }, { "value", "" }, { "revision", 3 } };
        const std::string first = nlohmann::json{ { "storeRevision", 3 }, { "items", { item } }, { "morePages", true } }.dump();
        const std::string last = R"({"storeRevision":3,"items":[],"morePages":false})";
        const ScriptedUpstream store([&](const SeenRequest &request) {
            const std::string &body = request.requestLine.find("after=") == std::string::npos ? first : last;
            return ScriptedAnswer{ fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body) };
        });
        StoreClient client(valueOf(parseSocketAddress(store.address())));
        CHECK(isOk(client.listAll("servers/", ReadFreshness::Newest)));
        REQUIRE(store.seen().size() == 2);
        const std::string line = store.seen().back().requestLine;
        const std::size_t begin = line.find('?') + 1;
        httplib::Params query;
        httplib::detail::parse_query_text(line.substr(begin, line.rfind(' ') - begin), query);
        CHECK(query.find("after")->second == key);
        CHECK(std::count(line.begin(), line.end(), ' ') == 2);
    }
}

TEST_CASE("Text that the stand-alone daemon or the CLI reads, very deeply nested, does not end the process")
{
    for (const std::string &deep : deepValues) {
        CAPTURE(deep.substr(0, 8));
        for (const std::string &text :
             { deep, "{\"values\":" + deep + "}", "{\"error\":" + deep + "}", R"({"version":1,"patch":{},"before":)" + deep + "}",
               R"({"model":"m","messages":)" + deep + "}" }) {
            const ScriptedUpstream peer = peerThatSends(text);
            const SocketAddress address = valueOf(parseSocketAddress(peer.address()));
            onThread([&] {
                CHECK_FALSE(isOk(HttpPlatform(address, Millis(20'000)).list("p", {}, 10)));
                CHECK_FALSE(isOk(AdminClient(address, "key").get("/members", {})));
                CHECK_FALSE(isOk(changeFromText(text)));
                CHECK_FALSE(isOk(parseChatRequest(text)));
                CHECK_FALSE(isOk(SettingsTree::fromSnapshot(text)));
            });
        }
    }
}
