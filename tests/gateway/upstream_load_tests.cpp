// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Upstreams that report their load in their answers, before a daemon with its sockets.

#include "portpaddle/placement/upstream_shares.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <functional>
#include <mutex>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr const char *loadHeader = "X-Upstream-Load: 5,2,8,120\r\n";

/// One upstream whose answers the test sets, and a daemon.
class ReportingUpstreamFixture : public GatewaySite
{
public:
    ReportingUpstreamFixture()
    {
        addUpstream("u1", upstream.address());
    }

    /// Sets what the upstream sends before its answer and in its head.
    void answerWith(const std::string &headers, const std::string &before = {})
    {
        const std::lock_guard lock(mutex_);
        headers_ = headers;
        before_ = before;
    }

    /// Returns the newest report as of the start of the test, since it expires within a second on a slow machine.
    std::optional<LoadReportView> latest()
    {
        std::optional<LoadReportView> result;
        onLoop([this, &result](Gateway &gateway) { result = gateway.reportedLoads().latest("u1", begin); });
        return result;
    }

    /// Sends a request and returns the digests that @p collect finds after it; once more if its report has expired meanwhile.
    std::vector<Wire::LoadDigestT> askAndCollect(const std::function<std::vector<Wire::LoadDigestT>()> &collect)
    {
        constexpr unsigned maxTries = 20;
        std::vector<Wire::LoadDigestT> digests;
        for (unsigned count = 0; digests.empty() && count < maxTries; ++count) {
            CHECK(ask("/plain/a", "collected-" + std::to_string(count)).status == 200);
            digests = collect();
        }
        return digests;
    }

    void apply(const Wire::LoadDigestT &digest)
    {
        onLoop([&digest](Gateway &gateway) { gateway.applyDigest(digest); });
    }

    /// Returns the digests for the daemons of the own region at this turn that have reports.
    std::vector<Wire::LoadDigestT> digestsWithReports()
    {
        std::vector<Wire::LoadDigestT> result;
        onLoop([&result](Gateway &gateway) { result = gateway.digests(DigestReach::OwnRegion); });
        std::erase_if(result, [](const Wire::LoadDigestT &digest) { return digest.upstream_reports.empty(); });
        return result;
    }

    /// Returns the digests with reports that the daemon sends at turn @p turn in a fleet with aggregators.
    std::vector<Wire::LoadDigestT> fleetDigestsWithReports(std::size_t turn)
    {
        std::vector<Wire::LoadDigestT> result;
        onLoop([&result, turn](Gateway &gateway) {
            for (OutgoingDigest &outgoing : gateway.dueFleetDigests(turn)) {
                if (!outgoing.digest.upstream_reports.empty()) {
                    result.push_back(std::move(outgoing.digest));
                }
            }
        });
        return result;
    }

    /// Adds so many daemons of the own region that the fleet has aggregators.
    void addManyDaemons()
    {
        for (unsigned index = 0; index < 30; ++index) {
            addDaemon("other-" + std::to_string(index));
        }
    }

    static Wire::LoadDigestT digestOf(const std::string &region)
    {
        Wire::LoadDigestT digest;
        digest.daemon = "other";
        digest.region = region;
        digest.sequence = 1;
        digest.upstream_reports.emplace_back(upstreamKey("u1"), 6, 0, 8, 100, 50);
        return digest;
    }

    ScriptedUpstream upstream{ [this](const SeenRequest &request) {
        const std::lock_guard lock(mutex_);
        return ScriptedAnswer{ before_ + wholeAnswer(idOf(request), request.body, headers_) };
    } };

    const SteadyTime begin = BootClock::now();

private:
    std::mutex mutex_;
    std::string headers_ = loadHeader;
    std::string before_;
};

} // namespace

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, answer, is known with the load")
{
    CHECK_FALSE(latest());
    CHECK(ask("/plain/a", "id1").status == 200);
    const std::optional<LoadReportView> load = latest();
    REQUIRE(load);
    CHECK(load->running == 5);
    CHECK(load->waiting == 2);
    CHECK(load->slots == 8);
    CHECK(load->pace == 1.2);
    CHECK(load->sentSince == 0);
}

// Guards against a daemon that keeps a header of the upstream from callers, which get all others.
TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, answer, reaches the caller with the header")
{
    CHECK(ask("/plain/a", "id1").head.find(loadHeader) != std::string::npos);
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, later requests, are counted since the report")
{
    CHECK(ask("/plain/a", "id1").status == 200);
    answerWith({});
    CHECK(ask("/plain/a", "id2").status == 200);
    CHECK(ask("/plain/a", "id3").status == 200);
    REQUIRE(latest());
    CHECK(latest()->sentSince == 2);
}

// Guards against a report that is lost with a refusal, which an overloaded upstream gives most of the time.
TEST_CASE_FIXTURE(GatewaySite, "Upstream that reports its load, refusal, is known with the load")
{
    ScriptedUpstream refusing{ [](const SeenRequest &) {
        return ScriptedAnswer{ std::string("HTTP/1.1 503 Busy\r\nX-Request-Id: @id\r\nX-Not-Run: 1\r\n") + loadHeader
                               + "Content-Length: 0\r\n\r\n" };
    } };
    addUpstream("u1", refusing.address());
    const SteadyTime begin = BootClock::now();
    ask("/plain/a", "id1");
    onLoop([begin](Gateway &gateway) { CHECK(gateway.reportedLoads().latest("u1", begin)); });
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, malformed, stays unknown and serves")
{
    answerWith("X-Upstream-Load: many\r\n");
    CHECK(ask("/plain/a", "id1").status == 200);
    CHECK(ask("/plain/a", "id2").status == 200);
    CHECK_FALSE(latest());
}

// Guards against the load of any time ago: the answer to an abandoned request may have waited on the idle connection.
TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, late answer to an earlier request, is not known")
{
    answerWith({}, wholeAnswer("earlier", "", loadHeader));
    CHECK(ask("/plain/a", "id1").status == 200);
    CHECK_FALSE(latest());
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, header of a caller, is ignored")
{
    answerWith({});
    CHECK(ask("/plain/a", "id1", loadHeader).status == 200);
    CHECK_FALSE(latest());
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, next incarnation, has no report")
{
    CHECK(ask("/plain/a", "id1").status == 200);
    removeUpstream("u1");
    addUpstream("u1", upstream.address());
    CHECK_FALSE(latest());
}

// Guards against reports that reach only the daemon that read them: of thirty daemons each sees few answers of an upstream.
TEST_CASE("Upstream that reports its load, digests of the daemon, make it known to another daemon of the region")
{
    ReportingUpstreamFixture one;
    ReportingUpstreamFixture another;
    std::vector<Wire::LoadDigestT> digests = one.askAndCollect([&one] { return one.digestsWithReports(); });
    REQUIRE(digests.size() == 1);
    CHECK(one.digestsWithReports().empty());
    digests.front().daemon = "other";
    another.apply(digests.front());
    REQUIRE(another.latest());
    CHECK(another.latest()->running == 5);
    CHECK(another.digestsWithReports().empty());
}

// Guards against a round of several turns, each of which sends to other daemons, in which only the first turn has the report.
TEST_CASE_FIXTURE(ReportingUpstreamFixture,
                  "Upstream that reports its load, daemons served in three turns, is in the digests of each turn")
{
    onLoop([](Gateway &gateway) { gateway.setDigestInterval(300ms); });
    const std::vector<Wire::LoadDigestT> ofFiveTurns = askAndCollect([this] {
        std::vector<Wire::LoadDigestT> collected;
        for (unsigned turn = 0; turn < 5; ++turn) {
            for (Wire::LoadDigestT &digest : digestsWithReports()) {
                collected.push_back(std::move(digest));
            }
        }
        return collected;
    });
    CHECK(ofFiveTurns.size() == 3);
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, digest of a daemon of another region, is ignored")
{
    apply(digestOf("south"));
    CHECK_FALSE(latest());
    apply(digestOf("north"));
    REQUIRE(latest());
    CHECK(latest()->running == 6);
}

TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, digests for other regions, do not have it")
{
    CHECK(ask("/plain/a", "id1").status == 200);
    onLoop([](Gateway &gateway) {
        for (const Wire::LoadDigestT &digest : gateway.digests(DigestReach::OtherRegions)) {
            CHECK(digest.upstream_reports.empty());
        }
    });
}

// Guards against a daemon that reads reports and sends them to nobody once its fleet has aggregators.
TEST_CASE("Upstream that reports its load, fleet with aggregators, is in one digest of the daemon, which another daemon reads")
{
    ReportingUpstreamFixture one;
    ReportingUpstreamFixture another;
    one.addManyDaemons();
    std::vector<Wire::LoadDigestT> digests = one.askAndCollect([&one] { return one.fleetDigestsWithReports(1); });
    REQUIRE(digests.size() == 1);
    CHECK((digests.front().kind == Wire::DigestKind::Report || digests.front().kind == Wire::DigestKind::Sum));
    CHECK(digests.front().shard == shardOf(upstreamKey("u1")));
    CHECK(digests.front().sequence > 0);
    CHECK(one.fleetDigestsWithReports(2).empty());
    digests.front().daemon = "other-1";
    another.apply(digests.front());
    REQUIRE(another.latest());
    CHECK(another.latest()->running == 5);
}

// Guards against reports that are known and not shown to the choice.
TEST_CASE_FIXTURE(ReportingUpstreamFixture, "Upstream that reports its load, candidate for a request, has the report")
{
    CHECK(ask("/plain/a", "id1").status == 200);
    onLoop([this](Gateway &gateway) {
        const std::shared_ptr<const FleetView> view = gateway.view();
        const std::vector<UpstreamCandidate> candidates
            = gateway.describe({ &view->upstreams.at("u1") }, view->services->services.at("s"), {}, {}, begin);
        REQUIRE(candidates.size() == 1);
        REQUIRE(candidates.front().reported);
        CHECK(candidates.front().reported->running == 5);
        CHECK(candidates.front().reported->slots == 8);
    });
}
