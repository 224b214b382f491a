// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Which versions the records in the store name while upstreams of several versions come and go, in virtual time.

#include "portpaddle/stream_versions/version_set_recorder.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

/// A store whose records come back at once, and the recorder of one daemon.
class RecorderFixture
{
public:
    RecorderFixture()
    {
        auto services = std::make_shared<ServiceMap>();
        Route route;
        route.name = "r";
        route.kind = RouteKind::Stream;
        route.resumable = true;
        route.services = { { "s", 1 } };
        services->routes = { route };
        view.services = services;
        view.storeReachable = true;
        restart(true);
    }

    void restart(bool isFirstStart)
    {
        recorder = std::make_unique<VersionSetRecorder>("north");
        recorder->setTerms({ Millis(3'000), isFirstStart, { "north" } });
        recorder->setWriter([this](const VersionSetPlace &place, const VersionSet &set) {
            CHECK(set.revision == (record() == nullptr ? 0 : record()->revision));
            VersionSet stored = set;
            stored.revision = ++revision;
            view.versionSets[place.service][place.region] = stored;
            publish();
        });
        publish();
    }

    void publish()
    {
        recorder->setView(std::make_shared<const FleetView>(view), now);
    }

    void setVersions(const std::set<std::string> &versions)
    {
        view.upstreams = {};
        for (const std::string &version : versions) {
            UpstreamRecord upstream;
            upstream.id = version;
            upstream.service = "s";
            upstream.region = "north";
            upstream.version = version;
            view.upstreams[version] = upstream;
        }
        publish();
    }

    void pass(Millis time)
    {
        for (const SteadyTime until = now + time; now < until; now += std::chrono::milliseconds(100)) {
            recorder->tick(
                false, [](const std::string &) { return std::optional<std::size_t>(0); }, now);
        }
    }

    const VersionSet *record() const
    {
        return findVersionSet(view.versionSets, "s", "north");
    }

    std::optional<VersionKey> sole() const
    {
        return soleVersion(view.versionSets, "s", { "north" });
    }

    bool mayBegin(const std::string &version) const
    {
        return recorder->mayBegin("s", version, now);
    }

    FleetView view;
    SteadyTime now = BootClock::now();
    std::uint64_t revision = 0;
    std::unique_ptr<VersionSetRecorder> recorder;
};

} // namespace

TEST_CASE_FIXTURE(RecorderFixture, "Version set, first start with one version, is the proof of it at once")
{
    setVersions({ "v1" });
    pass(std::chrono::seconds(1));
    CHECK(sole() == versionKeyOf("v1"));
    CHECK(mayBegin("v1"));
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, a new version, is announced before a stream begins there")
{
    setVersions({ "v1" });
    pass(std::chrono::seconds(1));
    setVersions({ "v1", "v2" });
    CHECK(sole() == versionKeyOf("v1"));
    CHECK_FALSE(mayBegin("v2"));
    pass(std::chrono::milliseconds(100));
    CHECK(record()->announced == std::set<std::string>{ "v2" });
    CHECK_FALSE(sole());
    CHECK(mayBegin("v2"));
    pass(std::chrono::seconds(5));
    CHECK(mayBegin("v2"));
    CHECK(record()->open == std::set<std::string>{ "v1", "v2" });
}

// All upstreams of a service were replaced within a few seconds, and no stream could begin.
TEST_CASE_FIXTURE(RecorderFixture, "Version set, the only version replaced at once, streams begin as soon as it is announced")
{
    setVersions({ "v1" });
    pass(std::chrono::seconds(1));
    for (const char *version : { "v2", "v3", "v4" }) {
        setVersions({ version });
        pass(std::chrono::milliseconds(100));
        CHECK(mayBegin(version));
        CHECK_FALSE(sole());
    }
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, a new version that cannot be announced, begins no stream")
{
    setVersions({ "v1" });
    pass(std::chrono::seconds(1));
    recorder->setWriter([](const VersionSetPlace &, const VersionSet &) {});
    setVersions({ "v2" });
    pass(std::chrono::seconds(20));
    CHECK_FALSE(mayBegin("v2"));
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, a version gone, is kept for as long as its streams may be taken up")
{
    setVersions({ "v1", "v2" });
    pass(std::chrono::seconds(1));
    setVersions({ "v2" });
    pass(std::chrono::seconds(55));
    CHECK_FALSE(sole());
    pass(std::chrono::seconds(10));
    CHECK(sole() == versionKeyOf("v2"));
}

TEST_CASE_FIXTURE(RecorderFixture,
                  "Version set, a version gone while daemons restart or lose the store, is kept until watched for long")
{
    setVersions({ "v1", "v2" });
    pass(std::chrono::seconds(1));
    setVersions({ "v2" });
    pass(std::chrono::seconds(50));
    SUBCASE("the daemon restarts")
    {
        restart(false);
    }
    SUBCASE("the store is lost for a moment")
    {
        view.storeReachable = false;
        publish();
        pass(std::chrono::seconds(1));
        view.storeReachable = true;
        publish();
    }
    pass(std::chrono::seconds(50));
    CHECK_FALSE(sole());
    pass(std::chrono::seconds(15));
    CHECK(sole() == versionKeyOf("v2"));
}

TEST_CASE_FIXTURE(RecorderFixture,
                  "Version set, written first by a fleet that has run before, proves nothing until watched for long")
{
    restart(false);
    setVersions({ "v1" });
    pass(std::chrono::seconds(50));
    CHECK_FALSE(sole());
    CHECK(mayBegin("v1"));
    pass(std::chrono::seconds(75));
    CHECK(sole() == versionKeyOf("v1"));
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, all upstreams gone for long, still has their version when they come back")
{
    setVersions({ "v1" });
    pass(std::chrono::seconds(1));
    setVersions({});
    pass(std::chrono::seconds(100));
    setVersions({ "v1" });
    CHECK(mayBegin("v1"));
    CHECK(sole() == versionKeyOf("v1"));
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, the only version of another region comes here, is opened at once")
{
    view.versionSets["s"]["south"] = { { "v1" }, {}, true, 1 };
    recorder->setTerms({ Millis(3'000), true, { "north", "south" } });
    setVersions({});
    pass(std::chrono::seconds(1));
    setVersions({ "v1" });
    CHECK(mayBegin("v1"));
    pass(std::chrono::seconds(3));
    CHECK(record()->open == std::set<std::string>{ "v1" });
    CHECK(soleVersion(view.versionSets, "s", { "north", "south" }) == versionKeyOf("v1"));
}

TEST_CASE_FIXTURE(RecorderFixture, "Version set, encoded and decoded, is the same; malformed text is not read")
{
    const VersionSet set{ { "v1", "v2" }, { "v3" }, true, 4 };
    const std::optional<VersionSet> decoded = decodeVersionSet(encodeVersionSet(set), 4);
    REQUIRE(decoded);
    CHECK(decoded->open == set.open);
    CHECK(decoded->announced == set.announced);
    CHECK(decoded->complete);
    CHECK_FALSE(decodeVersionSet("{\"open\":7}", 4));
    const auto place = placeOfVersionSetKey(versionSetKey({ "a/b", "north" }));
    REQUIRE(place);
    CHECK(place->service == "a/b");
    CHECK(place->region == "north");
}
