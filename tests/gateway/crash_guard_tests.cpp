// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests that end the upstreams that run them: how they are told from those that were there by chance, who counts, how long
// they are held. crashing_requests_tests.py shows the whole with real processes.

#include "support/gateway_site.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"

#include "portpaddle/crashes/completed_requests.h"
#include "portpaddle/crashes/crash_digests.h"
#include "portpaddle/crashes/crash_ledger.h"
#include "portpaddle/crashes/crash_watch.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/crashes/quarantine_record.h"
#include "portpaddle/gateway/load_digest.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <thread>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };
const RequestFingerprint bad{ 1, 2 };
const RequestFingerprint other{ 3, 4 };

CallerRequest requestWith(const std::string &path, const std::string &body)
{
    CallerRequest request;
    request.host = "h";
    request.message.target(path);
    request.message.body() = body;
    return request;
}

FleetView fleet(unsigned regions, unsigned daemonsEach)
{
    FleetView view;
    for (unsigned region = 0; region < regions; ++region) {
        for (unsigned index = 0; index < daemonsEach; ++index) {
            DaemonRecord daemon;
            daemon.id = fmt::format("d-{}-{}", region, index);
            daemon.region = fmt::format("r{}", region);
            daemon.linkAddress = daemon.id;
            view.daemons.push_back(daemon);
        }
    }
    return view;
}

class NewsSite : public GatewaySite
{
public:
    NewsSite() : upstream(echo)
    {
        addUpstream("u1", upstream.address());
        news.kind = Wire::DigestKind::Crashes;
        news.daemon = "e";
    }

    void takeNews()
    {
        onLoop([this](Gateway &gateway) { gateway.applyDigest(news); });
    }

    /// What another daemon tells of the request "body" at "/plain/a".
    Wire::LoadDigestT news;
    Wire::RequestDigest request = toWire(fingerprintOf(requestWith("/plain/a", "body"), {}));
    ScriptedUpstream upstream;
};

class HeldSite : public NewsSite
{
public:
    HeldSite()
    {
        news.quarantined = { request };
        takeNews();
    }
};

} // namespace

TEST_CASE("Fingerprint, the same path, caller and body, is the same; any of them changed, is another")
{
    const RequestFingerprint one = fingerprintOf(requestWith("/a", "body"), "caller");
    CHECK(one == fingerprintOf(requestWith("/a", "body"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/b", "body"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/a", "another"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/a", "body"), "another"));
    CHECK(one != fingerprintOf(requestWith("/ab", "ody"), "caller"));
    CHECK(fingerprintFromHex(one.hex()) == one);
}

TEST_CASE("Fingerprint, text that is none, is refused")
{
    for (const std::string text : { "", "12", "g0000000000000000000000000000000", "000000000000000000000000000000000" }) {
        CHECK_FALSE(fingerprintFromHex(text));
    }
}

TEST_CASE("Crash watch, connection broke and upstream takes the next, accuses nobody")
{
    CrashWatch watch;
    CHECK(watch.recordBreak("u1", bad, start));
    CHECK_FALSE(watch.recordBreak("u1", other, start));
    watch.confirmAlive("u1");
    watch.confirmEnded("u1", start + 1s);
    CHECK(watch.takeSuspects("u1").empty());
}

TEST_CASE("Crash watch, upstream ended, accuses those whose runs broke before and shortly after, each once")
{
    CrashWatch watch;
    watch.recordBreak("u1", bad, start);
    watch.recordBreak("u1", bad, start);
    watch.confirmEnded("u1", start);
    CHECK(watch.takeSuspects("u1") == std::vector{ bad });
    watch.recordBreak("u1", other, start + 1ms);
    CHECK(watch.hasEnded("u1"));
    CHECK(watch.takeSuspects("u1") == std::vector{ other });
    watch.expire(start + 1min);
    CHECK(watch.size() == 0);
}

TEST_CASE("Crash ledger, one upstream told of many times, counts once")
{
    CrashLedger ledger;
    CHECK(ledger.add(bad, 1, start) == 1);
    CHECK(ledger.add(bad, 1, start) == 1);
    CHECK(ledger.add(bad, 2, start) == 2);
    CHECK(ledger.count(other) == 0);
}

TEST_CASE("Crash ledger, any number of requests and ends, stays bounded and keeps what comes again")
{
    CrashLedger ledger;
    for (std::uint64_t index = 0; index < 100'000; ++index) {
        ledger.add({ index, index }, index, start);
        ledger.add(bad, index, start);
    }
    CHECK(ledger.size() <= 20'000);
    CHECK(ledger.count(bad) >= 3);
}

TEST_CASE("Crash ledger, request that did not come for twenty minutes, is forgotten")
{
    CrashLedger ledger;
    ledger.add(bad, 1, start);
    ledger.add(other, 1, start + 11min);
    ledger.add(other, 2, start + 22min);
    CHECK(ledger.count(bad) == 0);
    CHECK(ledger.count(other) == 2);
}

TEST_CASE("Quarantine, more requests than it holds, keeps those that still come")
{
    Quarantine quarantine;
    CHECK(quarantine.insert(bad, start));
    for (std::uint64_t index = 0; index < 2 * maxQuarantined; ++index) {
        const SteadyTime now = start + std::chrono::milliseconds(index);
        quarantine.insert({ 100 + index, 0 }, now);
        CHECK(quarantine.isQuarantined(bad, now));
    }
    CHECK_FALSE(quarantine.isQuarantined({ 100, 0 }, start + 1h));
}

TEST_CASE("Quarantine, platform does not have it, is to be written; once it has, only when half of its time is over and it comes")
{
    Quarantine quarantine;
    quarantine.insert(bad, start);
    REQUIRE(quarantine.unwritten(start).size() == 1);
    quarantine.recordWriteRequest(bad, start);
    CHECK(quarantine.unwritten(start + 1s).empty());
    CHECK(quarantine.unwritten(start + 6s).size() == 1);
    quarantine.setStored({ { bad, start + 1s } }, start + 1s);
    CHECK(quarantine.unwritten(start + 9min).empty());
    CHECK(quarantine.isQuarantined(bad, start + 9min));
    CHECK(quarantine.unwritten(start + 9min).size() == 1);
}

TEST_CASE("Quarantine, record taken away from the platform, lets the request pass")
{
    Quarantine quarantine;
    quarantine.setStored({ { bad, start } }, start);
    CHECK(quarantine.isQuarantined(bad, start));
    quarantine.setStored({}, start + 1s);
    CHECK_FALSE(quarantine.isQuarantined(bad, start + 1s));
}

TEST_CASE("Quarantine, platform never took it and it comes no more, is over after ten minutes")
{
    Quarantine quarantine;
    quarantine.insert(bad, start);
    quarantine.expire(start + 9min);
    CHECK_FALSE(quarantine.empty());
    quarantine.expire(start + 10min);
    CHECK(quarantine.empty());
}

TEST_CASE("Survivors, request served a moment ago, is known for two seconds")
{
    CompletedRequests survivors;
    const CallerRequest request = requestWith("/a", "ping");
    survivors.add(request, "caller", start);
    CHECK(survivors.contains(request, "caller", start + 1s));
    CHECK_FALSE(survivors.contains(request, "another", start + 1s));
    CHECK_FALSE(survivors.contains(request, "caller", start + 2s));
}

TEST_CASE("Crash news, several regions, go three times to two daemons of each that count for the request")
{
    const FleetView view = fleet(3, 4);
    CrashDigests news("d-0-0");
    news.recordCrash(bad, 7);
    std::set<std::string> told;
    for (unsigned turn = 0; turn < 3; ++turn) {
        for (const OutgoingDigest &outgoing : news.due(view, {})) {
            CHECK(outgoing.digest.kind == Wire::DigestKind::Crashes);
            REQUIRE(outgoing.digest.ended_under.size() == 1);
            CHECK(fromWire(outgoing.digest.ended_under.front().request()) == bad);
            told.insert(outgoing.to.begin(), outgoing.to.end());
        }
    }
    CHECK(news.due(view, {}).empty());
    told.insert("d-0-0");
    CHECK(told.size() >= 6);
    CHECK(told.size() <= 7);
    // Another daemon names the same ones.
    CrashDigests elsewhere("d-1-1");
    elsewhere.recordCrash(bad, 8);
    for (const OutgoingDigest &outgoing : elsewhere.due(view, {})) {
        CHECK(told.contains(outgoing.to.front()));
    }
}

TEST_CASE("Crash news, an upstream with hundreds of requests ended, each digest fits a datagram and is taken")
{
    const FleetView view = fleet(1, 3);
    CrashDigests news("d-0-0");
    for (std::uint64_t index = 0; index < 500; ++index) {
        news.recordCrash({ index, index * index }, 7);
        news.recordQuarantined({ index, index });
    }
    Wire::LoadDigestT header;
    header.daemon = std::string(60, 'd');
    header.region = std::string(40, 'r');
    for (const OutgoingDigest &outgoing : news.due(view, header)) {
        const std::vector<std::uint8_t> bytes = encodeDigest(outgoing.digest);
        CHECK(bytes.size() <= maxLoadDatagramBytes);
        CHECK(isOk(decodeDigest(bytes)));
    }
}

TEST_CASE("Record writer, store away at first, writes under a lease when it is back")
{
    ScriptedStore store;
    store.setFailing(true);
    RecordWriter writer(store);
    writer.start();
    const LeasedRecord record = quarantineRecord(bad);
    CHECK(requestHeldBy(record.key) == bad);
    writer.write(record);
    while (store.calls() == 0) {
        std::this_thread::yield();
    }
    store.setFailing(false);
    while (!store.has(record.key)) {
        std::this_thread::yield();
    }
    store.endAllLeases();
    CHECK_FALSE(store.has(record.key));
}

TEST_CASE_FIXTURE(HeldSite, "Request that is held, of a caller or another daemon, is refused unsent with a time to return")
{
    const SeenAnswer answer = ask("/plain/a", "id1", {}, "body");
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After: 600") != std::string::npos);
    CHECK(answer.body.starts_with("ends_upstreams"));
    const SeenAnswer relayed = askAsDaemon("/plain/a", "id2", {}, "body");
    CHECK(relayed.status == 503);
    CHECK(relayed.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(HeldSite, "Request that is held, another body, path or credentials, is served")
{
    CHECK(ask("/plain/a", "id1", {}, "another").status == 200);
    CHECK(ask("/plain/b", "id2", {}, "body").status == 200);
    CHECK(ask("/plain/a", "id3", "Authorization: Bearer k\r\n", "body").status == 200);
}

TEST_CASE_FIXTURE(NewsSite,
                  "Request under which one upstream ended, told of several times, is served; after another one, refused")
{
    news.ended_under = { Wire::EndedUnder(request, 7), Wire::EndedUnder(request, 7) };
    takeNews();
    takeNews();
    CHECK(ask("/plain/a", "id1", {}, "body").status == 200);
    news.ended_under = { Wire::EndedUnder(request, 8) };
    takeNews();
    CHECK(ask("/plain/a", "id2", {}, "body").status == 503);
}
