// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests that crash upstreams: how they are distinguished from requests that ran there by chance, which daemons count crashes,
// how long requests are quarantined. crashing_requests_tests.py tests all of it with real processes.

#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_store.h"
#include "support/scripted_upstream.h"

#include "portpaddle/crashes/completed_requests.h"
#include "portpaddle/crashes/crash_digests.h"
#include "portpaddle/crashes/crash_ledger.h"
#include "portpaddle/crashes/crash_watch.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/crashes/quarantine_record.h"
#include "portpaddle/placement/load_digest.h"

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
const RequestFingerprint crashing{ 1, 2 };
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

class CrashDigestFixture : public GatewaySite
{
public:
    CrashDigestFixture() : upstream(echo)
    {
        addUpstream("u1", upstream.address());
        crashDigest.kind = Wire::DigestKind::Crashes;
        crashDigest.daemon = "e";
    }

    void applyCurrentDigest()
    {
        onLoop([this](Gateway &gateway) { gateway.applyDigest(crashDigest); });
    }

    /// Digest of another daemon about the request with the body "body" for "/plain/a".
    Wire::LoadDigestT crashDigest;
    Wire::RequestDigest request = toWire(fingerprintOf(requestWith("/plain/a", "body"), {}));
    ScriptedUpstream upstream;
};

class QuarantineFixture : public CrashDigestFixture
{
public:
    QuarantineFixture()
    {
        crashDigest.quarantined = { request };
        applyCurrentDigest();
    }
};

} // namespace

TEST_CASE("Fingerprint, same path, caller and body, is equal; any of them changed, differs")
{
    const RequestFingerprint one = fingerprintOf(requestWith("/a", "body"), "caller");
    CHECK(one == fingerprintOf(requestWith("/a", "body"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/b", "body"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/a", "another"), "caller"));
    CHECK(one != fingerprintOf(requestWith("/a", "body"), "another"));
    CHECK(one != fingerprintOf(requestWith("/ab", "ody"), "caller"));
    CHECK(fingerprintFromHex(one.hex()) == one);
}

TEST_CASE("Fingerprint, malformed text, is rejected")
{
    for (const std::string text : { "", "12", "g0000000000000000000000000000000", "000000000000000000000000000000000" }) {
        CHECK_FALSE(fingerprintFromHex(text));
    }
}

TEST_CASE("Crash watch, connection broke but upstream accepts the next one, suspects no request")
{
    CrashWatch watch;
    CHECK(watch.recordBreak("u1", crashing, start));
    CHECK_FALSE(watch.recordBreak("u1", other, start));
    watch.confirmAlive("u1");
    watch.confirmEnded("u1", start + 1s);
    CHECK(watch.takeSuspects("u1").empty());
}

TEST_CASE("Crash watch, upstream ended, suspects each request whose run broke before or shortly after once")
{
    CrashWatch watch;
    watch.recordBreak("u1", crashing, start);
    watch.recordBreak("u1", crashing, start);
    watch.confirmEnded("u1", start);
    CHECK(watch.takeSuspects("u1") == std::vector{ crashing });
    watch.recordBreak("u1", other, start + 1ms);
    CHECK(watch.hasEnded("u1"));
    CHECK(watch.takeSuspects("u1") == std::vector{ other });
    watch.expire(start + 1min);
    CHECK(watch.size() == 0);
}

TEST_CASE("Crash ledger, one upstream reported repeatedly, counts once")
{
    CrashLedger ledger;
    CHECK(ledger.add(crashing, 1, start) == 1);
    CHECK(ledger.add(crashing, 1, start) == 1);
    CHECK(ledger.add(crashing, 2, start) == 2);
    CHECK(ledger.count(other) == 0);
}

TEST_CASE("Crash ledger, many requests and crashes, stays bounded and keeps recurring requests")
{
    CrashLedger ledger;
    for (std::uint64_t index = 0; index < 100'000; ++index) {
        ledger.add({ index, index }, index, start);
        ledger.add(crashing, index, start);
    }
    CHECK(ledger.size() <= 20'000);
    CHECK(ledger.count(crashing) >= 3);
}

TEST_CASE("Crash ledger, request not seen for twenty minutes, is forgotten")
{
    CrashLedger ledger;
    ledger.add(crashing, 1, start);
    ledger.add(other, 1, start + 11min);
    ledger.add(other, 2, start + 22min);
    CHECK(ledger.count(crashing) == 0);
    CHECK(ledger.count(other) == 2);
}

TEST_CASE("Quarantine, more requests than its capacity, keeps those that still arrive")
{
    Quarantine quarantine;
    CHECK(quarantine.insert(crashing, start));
    for (std::uint64_t index = 0; index < 2 * maxQuarantined; ++index) {
        const SteadyTime now = start + std::chrono::milliseconds(index);
        quarantine.insert({ 100 + index, 0 }, now);
        CHECK(quarantine.isQuarantined(crashing, now));
    }
    CHECK_FALSE(quarantine.isQuarantined({ 100, 0 }, start + 1h));
}

TEST_CASE(
    "Quarantine, request not stored by the platform, is to be written; stored one, only if it arrives after half of its time")
{
    Quarantine quarantine;
    quarantine.insert(crashing, start);
    REQUIRE(quarantine.unwritten(start).size() == 1);
    quarantine.recordWriteRequest(crashing, start);
    CHECK(quarantine.unwritten(start + 1s).empty());
    CHECK(quarantine.unwritten(start + 6s).size() == 1);
    quarantine.setStored({ { crashing, start + 1s } }, start + 1s);
    CHECK(quarantine.unwritten(start + 9min).empty());
    CHECK(quarantine.isQuarantined(crashing, start + 9min));
    CHECK(quarantine.unwritten(start + 9min).size() == 1);
}

TEST_CASE("Quarantine, record removed from the platform, lets the request pass")
{
    Quarantine quarantine;
    quarantine.setStored({ { crashing, start } }, start);
    CHECK(quarantine.isQuarantined(crashing, start));
    quarantine.setStored({}, start + 1s);
    CHECK_FALSE(quarantine.isQuarantined(crashing, start + 1s));
}

TEST_CASE("Quarantine, request never stored and not seen again, expires after ten minutes")
{
    Quarantine quarantine;
    quarantine.insert(crashing, start);
    quarantine.expire(start + 9min);
    CHECK_FALSE(quarantine.empty());
    quarantine.expire(start + 10min);
    CHECK(quarantine.empty());
}

TEST_CASE("Completed requests, request just served, is known for two seconds")
{
    CompletedRequests completed;
    const CallerRequest request = requestWith("/a", "ping");
    completed.add(request, "caller", start);
    CHECK(completed.contains(request, "caller", start + 1s));
    CHECK_FALSE(completed.contains(request, "another", start + 1s));
    CHECK_FALSE(completed.contains(request, "caller", start + 2s));
}

TEST_CASE("Crash digests, several regions, go three times to the two daemons of each that count the request")
{
    const FleetView view = fleet(3, 4);
    CrashDigests crashDigests("d-0-0");
    crashDigests.recordCrash(crashing, 7);
    std::set<std::string> recipients;
    for (unsigned round = 0; round < 3; ++round) {
        for (const OutgoingDigest &outgoing : crashDigests.due(view, {})) {
            CHECK(outgoing.digest.kind == Wire::DigestKind::Crashes);
            REQUIRE(outgoing.digest.ended_under.size() == 1);
            CHECK(fromWire(outgoing.digest.ended_under.front().request()) == crashing);
            recipients.insert(outgoing.to.begin(), outgoing.to.end());
        }
    }
    CHECK(crashDigests.due(view, {}).empty());
    recipients.insert("d-0-0");
    CHECK(recipients.size() >= 6);
    CHECK(recipients.size() <= 7);
    // Another daemon chooses the same recipients.
    CrashDigests elsewhere("d-1-1");
    elsewhere.recordCrash(crashing, 8);
    for (const OutgoingDigest &outgoing : elsewhere.due(view, {})) {
        CHECK(recipients.contains(outgoing.to.front()));
    }
}

TEST_CASE("Crash digests, upstream with hundreds of requests ended, each fits a datagram and can be decoded")
{
    const FleetView view = fleet(1, 3);
    CrashDigests crashDigests("d-0-0");
    for (std::uint64_t index = 0; index < 500; ++index) {
        crashDigests.recordCrash({ index, index * index }, 7);
        crashDigests.recordQuarantined({ index, index });
    }
    Wire::LoadDigestT header;
    header.daemon = std::string(60, 'd');
    header.region = std::string(40, 'r');
    for (const OutgoingDigest &outgoing : crashDigests.due(view, header)) {
        const std::vector<std::uint8_t> bytes = encodeDigest(outgoing.digest);
        CHECK(bytes.size() <= maxLoadDatagramBytes);
        CHECK(isOk(decodeDigest(bytes)));
    }
}

TEST_CASE("Record writer, store unavailable at first, writes under a lease once it is available")
{
    ScriptedStore store;
    store.setFailing(true);
    RecordWriter writer(store);
    writer.start();
    const LeasedRecord record = quarantineRecord(crashing);
    CHECK(requestHeldBy(record.key) == crashing);
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

TEST_CASE_FIXTURE(QuarantineFixture, "Quarantined request, from a caller or another daemon, is refused unsent with a Retry-After")
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

TEST_CASE_FIXTURE(QuarantineFixture, "Quarantined request, same but for body, path or credentials, is served")
{
    CHECK(ask("/plain/a", "id1", {}, "another").status == 200);
    CHECK(ask("/plain/b", "id2", {}, "body").status == 200);
    CHECK(ask("/plain/a", "id3", "Authorization: Bearer k\r\n", "body").status == 200);
}

TEST_CASE_FIXTURE(CrashDigestFixture,
                  "Request that crashed one upstream, reported several times, is served; after a second upstream, refused")
{
    crashDigest.ended_under = { Wire::EndedUnder(request, 7), Wire::EndedUnder(request, 7) };
    applyCurrentDigest();
    applyCurrentDigest();
    CHECK(ask("/plain/a", "id1", {}, "body").status == 200);
    crashDigest.ended_under = { Wire::EndedUnder(request, 8) };
    applyCurrentDigest();
    CHECK(ask("/plain/a", "id2", {}, "body").status == 503);
}

TEST_CASE_FIXTURE(CrashDigestFixture, "Begun stream, quarantined while its rest is waited for, ends without a second answer")
{
    removeUpstream("u1");
    ScriptedUpstream ending([&ending](const SeenRequest &seen) {
        return ScriptedAnswer{ streamHead(idOf(seen)) + eventChunk(1, 2), ScriptedAnswer::Then::Close,
                               [&ending] { ending.refuseConnections(); } };
    });
    addUpstream("u2", ending.address());
    RawCaller caller(address());
    caller.send(GatewaySite::request("/resume/a", "id1", {}, "body"));
    // Counted within the turn of the loop in which the wait begins.
    REQUIRE(eventually([this] { return count(Counter::Resumes) == 1; }));
    crashDigest.quarantined = { toWire(fingerprintOf(requestWith("/resume/a", "body"), {})) };
    applyCurrentDigest();
    const std::string received = caller.rest();
    CHECK(received.find("HTTP/1.1") == received.rfind("HTTP/1.1"));
    CHECK(received.ends_with(eventChunk(1, 2)));
    CHECK(count(Counter::Refusals) == 0);
}
