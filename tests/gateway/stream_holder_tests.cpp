// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What daemons tell each other of the versions that began streams, also where daemons end, datagrams are lost, or the fleet is
// large.

#include "portpaddle/net/spawn.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/stream_versions/stream_versions.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <set>

using namespace Portpaddle;

namespace {

constexpr std::size_t regionCount = 3;
constexpr std::uint64_t service = 5;

/// Daemons in three regions on one event loop; digests arrive at once, unless they are lost.
class HolderFleet
{
public:
    explicit HolderFleet(std::size_t size)
    {
        std::vector<DaemonRecord> records;
        for (std::size_t index = 0; index < size; ++index) {
            DaemonRecord record;
            record.id = fmt::format("d{}", index);
            record.region = fmt::format("r{}", index % regionCount);
            record.linkAddress = record.id;
            records.push_back(record);
        }
        const SharedList<DaemonRecord> list(records);
        for (const DaemonRecord &record : records) {
            StreamVersions &daemon
                = *daemons.emplace(record.id, std::make_unique<StreamVersions>(loop.get_executor(), record.id, record.region))
                       .first->second;
            daemon.setDaemons(list);
            daemon.setSend([this](const OutgoingDigest &digest) { deliver(digest); });
        }
    }

    void deliver(const OutgoingDigest &digest)
    {
        for (const std::string &to : digest.to) {
            ++datagrams;
            bytes += encodeDigest(digest.digest).size();
            if (ended.contains(to) || ended.contains(digest.digest.daemon) || (lossEvery > 0 && datagrams % lossEvery == 0)) {
                continue;
            }
            boost::asio::post(loop, [this, to, copy = digest.digest] { daemons.at(to)->take(copy, BootClock::now()); });
        }
    }

    void announce(std::size_t daemon, const StreamKey &stream, VersionKey version)
    {
        daemons.at(fmt::format("d{}", daemon))->announce(stream, version, BootClock::now());
        run();
    }

    std::optional<VersionKey> find(std::size_t daemon, const StreamKey &stream, std::optional<VersionKey> sole = {})
    {
        std::optional<VersionKey> result;
        spawnTask(loop.get_executor(), "find",
                  [&]() -> Task<void> { result = co_await daemons.at(fmt::format("d{}", daemon))->find(stream, service, sole); });
        run();
        return result;
    }

    boost::asio::io_context loop{ 1 };
    std::map<std::string, std::unique_ptr<StreamVersions>> daemons;
    std::set<std::string> ended;
    std::size_t lossEvery = 0;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;

private:
    void run()
    {
        loop.restart();
        loop.run();
    }
};

StreamKey streamOf(std::size_t number)
{
    return streamKeyOf("s", "h", "caller", std::to_string(number));
}

constexpr VersionKey began = 7;
constexpr VersionKey other = 9;

} // namespace

TEST_CASE("Stream holders, fleets of any size, know a stream wherever it is taken up, at the same cost")
{
    constexpr std::size_t streams = 40;
    for (const std::size_t size : { 8U, 61U, 300U, 985U }) {
        HolderFleet fleet(size);
        for (std::size_t stream = 0; stream < streams; ++stream) {
            fleet.announce(stream % size, streamOf(stream), began);
        }
        CHECK(fleet.datagrams <= streams * 2 * regionCount);
        CHECK(fleet.bytes <= fleet.datagrams * 200);
        for (std::size_t stream = 0; stream < streams; ++stream) {
            CHECK(fleet.find((stream * 5 + 1) % size, streamOf(stream)) == began);
        }
    }
}

TEST_CASE("Stream holders, the daemon that began a stream and one holder of each region ended, still know it")
{
    HolderFleet fleet(61);
    std::size_t found = 0;
    for (std::size_t stream = 0; stream < 40; ++stream) {
        fleet.announce(3, streamOf(stream), began);
    }
    for (std::size_t daemon = 0; daemon < 20; ++daemon) {
        fleet.ended.insert(fmt::format("d{}", daemon));
    }
    for (std::size_t stream = 0; stream < 40; ++stream) {
        found += fleet.find(20 + stream, streamOf(stream)) == began ? 1 : 0;
    }
    CHECK(found >= 38);
}

TEST_CASE("Stream holders, every third datagram lost, know nearly all streams")
{
    HolderFleet fleet(61);
    fleet.lossEvery = 3;
    std::size_t found = 0;
    for (std::size_t stream = 0; stream < 40; ++stream) {
        fleet.announce(3, streamOf(stream), began);
    }
    for (std::size_t stream = 0; stream < 40; ++stream) {
        found += fleet.find(20 + stream, streamOf(stream)) == began ? 1 : 0;
    }
    CHECK(found >= 38);
}

TEST_CASE("Stream holders, nobody knows a stream, answer soon and name no version")
{
    HolderFleet fleet(8);
    CHECK_FALSE(fleet.find(0, streamOf(1)));
    fleet.ended = { "d1", "d2", "d3", "d4", "d5", "d6", "d7" };
    const SteadyTime before = BootClock::now();
    CHECK_FALSE(fleet.find(0, streamOf(1)));
    CHECK(BootClock::now() - before < std::chrono::seconds(5));
}

TEST_CASE("Stream holders, the asking daemon believes in one version, correct it")
{
    HolderFleet fleet(8);
    CHECK(fleet.find(0, streamOf(1), other) == other);
    fleet.announce(3, streamOf(1), began);
    CHECK(fleet.find(0, streamOf(1), other) == began);
}

TEST_CASE("Begun streams, more than there is room for, forget the oldest")
{
    BegunStreams streams(10);
    const SteadyTime now = BootClock::now();
    for (std::size_t stream = 0; stream < 25; ++stream) {
        streams.record(streamOf(stream), began, now);
    }
    CHECK(streams.size() <= 10);
    CHECK_FALSE(streams.find(streamOf(0), now));
    CHECK(streams.find(streamOf(24), now) == began);
    CHECK_FALSE(streams.find(streamOf(24), now + streamRetention));
}

TEST_CASE("Begun streams, one recorded with two versions, has no known version")
{
    BegunStreams streams(10);
    const SteadyTime now = BootClock::now();
    streams.record(streamOf(1), began, now);
    streams.record(streamOf(1), other, now);
    streams.record(streamOf(1), began, now);
    CHECK(streams.contains(streamOf(1), now));
    CHECK_FALSE(streams.find(streamOf(1), now));
}

TEST_CASE("Stream holders, one is certain that all streams began at one version, vouch for it")
{
    HolderFleet fleet(8);
    for (auto &[id, daemon] : fleet.daemons) {
        daemon->setSoleVersion([](std::uint64_t asked, const StreamVersions::SoleAnswer &answer) {
            answer(asked == service ? std::optional(began) : std::nullopt);
        });
    }
    CHECK(fleet.find(0, streamOf(1)) == began);
}
