// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Streams of a service whose upstreams run several software versions: a stream goes on only at the version that began it.

#include "portpaddle/gateway/version_filter.h"
#include "portpaddle/stream_versions/stream_key.h"

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

#include <array>
#include <future>
#include <memory>
#include <optional>
#include <set>

using namespace Portpaddle;

namespace {

using Then = ScriptedAnswer::Then;

/// Two upstreams of different versions that break each new stream off and complete each resumed one.
class TwoVersionsFixture : public GatewaySite
{
public:
    TwoVersionsFixture()
    {
        const auto script = [](const SeenRequest &request) {
            const auto from = request.headers.find("last-event-id");
            if (from == request.headers.end()) {
                return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(1, 3), Then::Close };
            }
            return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(unsigned(std::stoi(from->second)) + 1, 6) + lastChunk };
        };
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            upstreams[index] = std::make_unique<ScriptedUpstream>(script);
            addUpstream("u" + std::to_string(index), upstreams[index]->address(), "v" + std::to_string(index));
        }
    }

    /// Takes the stream of @p first up as the try @p id; returns the number of the upstream that served it, or no value.
    std::optional<std::size_t> takeUp(const std::string &first, const std::string &id, const std::string &headers = {})
    {
        const std::array<std::size_t, 2> before{ upstreams[0]->seen().size(), upstreams[1]->seen().size() };
        const SeenAnswer answer = ask("/resume/a", id, "Last-Event-ID: 3\r\nX-Resumes: " + first + "\r\n" + headers);
        if (answer.status != 200 || answer.body != events(4, 6)) {
            return std::nullopt;
        }
        return upstreams[0]->seen().size() > before[0] ? 0 : 1;
    }

    std::size_t requestsSeen() const
    {
        return upstreams[0]->seen().size() + upstreams[1]->seen().size();
    }

    std::array<std::unique_ptr<ScriptedUpstream>, 2> upstreams;
};

/// A daemon that knows one version, beside a store that may know more.
class OldKnowledgeFixture : public TwoVersionsFixture
{
public:
    OldKnowledgeFixture()
    {
        setVersionSet({ { "v1" }, {}, true, 1 });
        addDaemonBeside("e", "127.0.0.1:1");
        onLoop([this](Gateway &gateway) {
            gateway.setDigestSender([this](const OutgoingDigest &outgoing) { told.set_value(outgoing.digest); });
        });
    }

    /// The store has @p set from now on; without one it does not say.
    void setStored(const std::optional<VersionSet> &set)
    {
        std::optional<VersionSets> sets;
        if (set) {
            sets.emplace();
            (*sets)["s"]["north"] = *set;
        }
        onLoop([&sets](Gateway &gateway) {
            gateway.setVersionSetReader([sets](const VersionSetReader::Receive &receive) { receive(sets); });
        });
    }

    /// Returns what the daemon answers to one that asks for the version of a stream; no value if it says that it knows none.
    std::optional<VersionKey> versionTold()
    {
        told = {};
        std::future<Wire::LoadDigestT> answered = told.get_future();
        Wire::LoadDigestT question;
        question.daemon = "e";
        question.kind = Wire::DigestKind::StreamVersions;
        question.stream_queries.emplace_back(Wire::RequestDigest{ 1, ++asked }, serviceKey("s"));
        onLoop([&question](Gateway &gateway) { gateway.applyDigest(question); });
        const Wire::LoadDigestT answer = answered.get();
        REQUIRE(answer.begun_streams.size() + answer.unknown_streams.size() == 1);
        return answer.begun_streams.empty() ? std::nullopt : std::optional(answer.begun_streams.front().version());
    }

    std::promise<Wire::LoadDigestT> told;
    std::uint64_t asked = 0;
};

/// Returns the header by which daemons name the version of a stream.
std::string versionHeader(const std::string &version)
{
    return std::string(streamVersionHeader) + ": " + encodeVersionKey(versionKeyOf(version)) + "\r\n";
}

/// A daemon of another region breaks off the stream that its upstream of version "v0" began; the own region can go on.
class BrokenRelayFixture : public GatewaySite
{
public:
    explicit BrokenRelayFixture(const std::string &namedVersion = versionHeader("v0"))
        : upstream(
            [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(4, 6) + lastChunk }; })
        , daemon([namedVersion](const SeenRequest &request) {
            std::string head = streamHead(idOf(request));
            head.insert(head.find("\r\n") + 2, namedVersion);
            return ScriptedAnswer{ head + eventChunk(1, 3), Then::Close };
        })
    {
        addRemoteDaemon("e1", "east", daemon.address(), keptElsewhere);
    }

    SeenAnswer askBesideVersion(const std::string &version)
    {
        addUpstream("u1", upstream.address(), version);
        return ask("/resume/a", "id1", keptElsewhere);
    }

    ScriptedUpstream upstream;
    ScriptedUpstream daemon;
};

class UnnamedVersionFixture : public BrokenRelayFixture
{
public:
    UnnamedVersionFixture() : BrokenRelayFixture(std::string())
    {
    }
};

} // namespace

TEST_CASE_FIXTURE(TwoVersionsFixture, "Stream, breaks off beside an upstream of another version only, does not go on there")
{
    const SeenAnswer answer = ask("/resume/a", "id1");
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == events(1, 3));
    CHECK(requestsSeen() == 1);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Resumed stream, no daemon knows the version that began it, is refused as not run")
{
    const SeenAnswer answer = ask("/resume/a", "id2", "Last-Event-ID: 3\r\nX-Resumes: id1\r\n");
    CHECK(answer.status == 503);
    CHECK(requestsSeen() == 0);
}

TEST_CASE("Stream, its version ended a rollout without a share, has no upstream to go on at")
{
    UpstreamRecord record;
    record.version = "v1";
    std::vector<UpstreamCandidate> candidates(1);
    const VersionRule completed{ "v2", 1, true };
    keepToVersion(versionKeyOf("v1"), completed, candidates, { &record });
    CHECK(candidates[0].exclusionReason == ExclusionReason::VersionAbsent);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Stream, relayed for another daemon, tells that daemon its version")
{
    removeUpstream("u1");
    CHECK(askAsDaemon("/resume/a", "id1").head.find(versionHeader("v0")) != std::string::npos);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Stream, taken up for another daemon that names its version, goes on at that version")
{
    for (std::size_t version = 0; version < upstreams.size(); ++version) {
        const std::string headers = "Last-Event-ID: 3\r\n" + versionHeader("v" + std::to_string(version));
        const SeenAnswer answer = askAsDaemon("/resume/a", "id" + std::to_string(version), headers);
        CHECK(answer.body == events(4, 6));
        CHECK(upstreams.at(version)->seen().size() == 1);
    }
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Stream, taken up for another daemon, no upstream of its version, is refused as not run")
{
    const SeenAnswer answer = askAsDaemon("/resume/a", "id1", "Last-Event-ID: 3\r\n" + versionHeader("v7"));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(requestsSeen() == 0);
}

TEST_CASE_FIXTURE(BrokenRelayFixture, "Stream, relay breaks off, goes on at an upstream of the version that began it")
{
    CHECK(askBesideVersion("v0").body == events(1, 6));
}

TEST_CASE_FIXTURE(BrokenRelayFixture, "Stream, relay breaks off, does not go on at an upstream of another version")
{
    CHECK(askBesideVersion("v1").body == events(1, 3));
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(UnnamedVersionFixture, "Stream, relay breaks off that did not name the version, does not go on")
{
    CHECK(askBesideVersion("v0").body == events(1, 3));
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Taken up stream, begun through this daemon, goes on at the version that began it")
{
    std::set<std::size_t> used;
    for (int stream = 0; stream < 12; ++stream) {
        const std::string id = "id" + std::to_string(stream);
        const std::size_t before = upstreams[0]->seen().size();
        CHECK(ask("/resume/a", id).body == events(1, 3));
        const std::size_t began = upstreams[0]->seen().size() > before ? 0 : 1;
        used.insert(began);
        CHECK(takeUp(id, id + "-second") == began);
        CHECK(takeUp(id, id + "-third") == began);
    }
    CHECK(used.size() == 2);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Taken up stream, begun by another caller under the same id, is refused")
{
    ask("/resume/a", "id1");
    CHECK_FALSE(takeUp("id1", "id2", "Authorization: Bearer other\r\n"));
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Taken up stream, its id begun at two versions, is refused")
{
    for (int use = 0; use < 12; ++use) {
        ask("/resume/a", "id1");
    }
    CHECK_FALSE(upstreams[0]->seen().empty());
    CHECK_FALSE(upstreams[1]->seen().empty());
    CHECK_FALSE(takeUp("id1", "id2"));
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Taken up stream, one version ever in use, goes on there")
{
    const std::string version = "v1";
    setVersionSet({ { version }, {}, true, 1 });
    CHECK(takeUp("unknown", "id2") == 1);
    CHECK(ask("/resume/a", "id3", "Last-Event-ID: 3\r\n").body == events(4, 6));
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Taken up stream, one version in use but that is not certain, is refused")
{
    SUBCASE("another version is announced")
    {
        setVersionSet({ { "v1" }, { "v0" }, true, 1 });
    }
    SUBCASE("an earlier version may be in use")
    {
        setVersionSet({ { "v1" }, {}, false, 1 });
    }
    SUBCASE("the store is lost")
    {
        setVersionSet({ { "v1" }, {}, true, 1 });
        loseStore();
    }
    SUBCASE("another region has no record")
    {
        terms.regions = { "north", "south" };
        setOptions();
        setVersionSet({ { "v1" }, {}, true, 1 });
    }
    SUBCASE("this process did not run for a while")
    {
        setVersionSet({ { "v1" }, {}, true, 1 });
        terms.stallBound = std::chrono::milliseconds(0);
        setOptions();
    }
    CHECK_FALSE(takeUp("unknown", "id2"));
    CHECK(requestsSeen() == 0);
}

TEST_CASE_FIXTURE(OldKnowledgeFixture, "Taken up stream, the store names a version that this daemon does not know, is refused")
{
    setStored(VersionSet{ { "v1" }, { "v0" }, true, 2 });
    CHECK_FALSE(takeUp("unknown", "id2"));
    CHECK(ask("/resume/a", "id3", "Last-Event-ID: 3\r\n").status == 503);
    CHECK(requestsSeen() == 0);
}

TEST_CASE_FIXTURE(OldKnowledgeFixture, "Taken up stream, the store does not say which versions are in use, is refused")
{
    SUBCASE("it fails")
    {
        setStored(std::nullopt);
    }
    SUBCASE("it does not answer")
    {
        onLoop([](Gateway &gateway) { gateway.setVersionSetReader([](const VersionSetReader::Receive &) {}); });
    }
    CHECK_FALSE(takeUp("unknown", "id2"));
    CHECK(requestsSeen() == 0);
}

TEST_CASE_FIXTURE(OldKnowledgeFixture, "Stream of which another daemon asks, only the store's word vouches for its version")
{
    CHECK(versionTold() == versionKeyOf("v1"));
    setStored(VersionSet{ { "v1" }, { "v0" }, true, 2 });
    CHECK_FALSE(versionTold());
    setStored(std::nullopt);
    CHECK_FALSE(versionTold());
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "New stream, a version that is not on record, does not begin there")
{
    setVersionSet({ { "v0" }, {}, true, 1 });
    for (int stream = 0; stream < 12; ++stream) {
        ask("/resume/a", "id" + std::to_string(stream));
    }
    CHECK_FALSE(upstreams[0]->seen().empty());
    CHECK(upstreams[1]->seen().empty());
}

// For seconds after each release no stream could begin at the only version that was left.
TEST_CASE_FIXTURE(TwoVersionsFixture, "New stream, a version that is only announced, begins there, and goes on there alone")
{
    setVersionSet({ { "v0" }, { "v1" }, true, 1 });
    std::set<std::size_t> used;
    for (int stream = 0; stream < 12; ++stream) {
        const std::string id = "id" + std::to_string(stream);
        const std::size_t before = upstreams[1]->seen().size();
        CHECK(ask("/resume/a", id).body == events(1, 3));
        const std::size_t began = upstreams[1]->seen().size() > before ? 1 : 0;
        used.insert(began);
        CHECK(takeUp(id, id + "-second") == began);
    }
    CHECK(used.size() == 2);
    CHECK_FALSE(takeUp("unknown", "id-unknown"));
}

TEST_CASE_FIXTURE(BrokenRelayFixture, "Stream, taken up through a daemon that does not name its version, does not go on there")
{
    setVersionSet({ { "v0" }, {}, true, 1 });
    ScriptedUpstream silent(
        [](const SeenRequest &request) { return ScriptedAnswer{ streamHead(idOf(request)) + eventChunk(4, 6) + lastChunk }; });
    removeDaemon("e1");
    addRemoteDaemon("e2", "east", silent.address(), keptElsewhere);
    CHECK(ask("/resume/a", "id2", std::string("Last-Event-ID: 3\r\n") + keptElsewhere).body.find("id: 4") == std::string::npos);
    CHECK(silent.seen().size() == 1);
}

TEST_CASE_FIXTURE(TwoVersionsFixture, "Streams taken up again, all daemons ended beside two versions, are not joined from them")
{
    ask("/resume/a", "id1");
    const std::size_t begun = requestsSeen();
    GatewaySite restarted;
    restarted.setVersionSet({ { "v0", "v1" }, {}, true, 1 });
    restarted.addUpstream("u1", upstreams[1]->address(), "v1");
    SUBCASE("both versions are in service")
    {
        restarted.addUpstream("u0", upstreams[0]->address(), "v0");
    }
    SUBCASE("the upstreams of one have left")
    {
    }
    const SeenAnswer answer = restarted.ask("/resume/a", "id2", "Last-Event-ID: 3\r\nX-Resumes: id1\r\n");
    CHECK(answer.status == 503);
    CHECK(requestsSeen() == begun);
}
