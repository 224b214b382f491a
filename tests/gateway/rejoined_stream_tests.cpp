// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Whether daemons ever take streams of one version for those of another while versions come and go, news is late or lost, and
// all daemons end at once; in virtual time.

#include "portpaddle/stream_versions/version_set_recorder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace Portpaddle;

namespace {

constexpr Millis step{ 100 };
constexpr Millis duration{ 300'000 };
constexpr Millis maxNewsDelay{ 3'000 };
constexpr Millis maxCut{ 10'000 };
constexpr Millis maxWriteDelay{ 2'000 };
// Streams end after half of the time for which versions are kept; their callers may wait before they take them up.
constexpr Millis maxStreamAge{ 50'000 };
constexpr std::size_t daemonsPerRegion = 2;
constexpr const char *service = "s";
const std::set<std::string> regions{ "north", "south", "west" };

/// A daemon that sees the store as it was some time ago.
struct SimulatedDaemon
{
    std::string region;
    std::size_t rank = 0;
    std::unique_ptr<VersionSetRecorder> recorder;
    std::shared_ptr<const FleetView> view;
    /// Time of the store's state that the daemon sees.
    SteadyTime seenAt;
    SteadyTime cutUntil{};
};

/// Daemons of all regions, the store, and the upstreams' versions, which change at random.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(unsigned seed) : random_(seed)
    {
        auto services = std::make_shared<ServiceMap>();
        Route route;
        route.kind = RouteKind::Stream;
        route.resumable = true;
        route.services = { { service, 1 } };
        services->routes = { route };
        store_.services = services;
        store_.storeReachable = true;
        for (const std::string &region : regions) {
            setPresent(region, "v1", true);
            for (std::size_t rank = 0; rank < daemonsPerRegion; ++rank) {
                daemons_.push_back({ region, rank, {}, {}, {}, {} });
            }
        }
        publish();
        startAll(true);
    }

    void run()
    {
        for (const SteadyTime end = now_ + duration; now_ < end; now_ += step) {
            disturb();
            writePending();
            for (SimulatedDaemon &daemon : daemons_) {
                follow(daemon);
                daemon.recorder->tick(
                    false, [&](const std::string &) { return std::optional(daemon.rank); }, now_);
                beginStreams(daemon);
            }
            takeStreamsUp();
        }
    }

    /// How often a daemon was certain of one version while streams of another one could be taken up: by what it knew, and by a
    /// read of the store that begins after the stream.
    std::size_t believedWrong = 0;
    std::size_t provenWrong = 0;
    /// How often a daemon was certain of a version by a read.
    std::size_t proven = 0;
    std::size_t fleetsEnded = 0;

private:
    struct PendingWrite
    {
        SteadyTime due;
        VersionSetPlace place;
        VersionSet set;
    };

    unsigned draw(unsigned below)
    {
        return static_cast<unsigned>(random_() % below);
    }

    Millis drawUpTo(Millis longest)
    {
        return Millis(draw(static_cast<unsigned>(longest.count()) + 1));
    }

    void publish()
    {
        history_[now_] = std::make_shared<const FleetView>(store_);
    }

    void setPresent(const std::string &region, const std::string &version, bool present)
    {
        const std::string id = region + "-" + version;
        if (!present) {
            store_.upstreams.erase(id);
            return;
        }
        UpstreamRecord upstream;
        upstream.id = id;
        upstream.service = service;
        upstream.region = region;
        upstream.version = version;
        store_.upstreams[id] = upstream;
    }

    void start(SimulatedDaemon &daemon, bool isFirstStart)
    {
        daemon.recorder = std::make_unique<VersionSetRecorder>(daemon.region);
        daemon.recorder->setTerms({ maxNewsDelay, isFirstStart, regions });
        daemon.recorder->setWriter([this](const VersionSetPlace &place, const VersionSet &set) {
            pending_.push_back({ now_ + drawUpTo(maxWriteDelay), place, set });
        });
        daemon.cutUntil = {};
        daemon.seenAt = now_;
        daemon.view = history_.rbegin()->second;
        daemon.recorder->setView(daemon.view, now_);
    }

    void startAll(bool isFirstStart)
    {
        for (SimulatedDaemon &daemon : daemons_) {
            start(daemon, isFirstStart);
        }
    }

    void changeVersions()
    {
        const bool isEverywhere = draw(2) == 0;
        const std::string chosen = *std::next(regions.begin(), draw(3));
        const std::string version = "v" + std::to_string(1 + draw(3));
        const bool isPresent = draw(2) == 0;
        for (const std::string &region : regions) {
            if (isEverywhere || region == chosen) {
                setPresent(region, version, isPresent);
            }
        }
        publish();
    }

    void disturb()
    {
        if (draw(100) == 0) {
            changeVersions();
        }
        if (draw(300) == 0) {
            ++fleetsEnded;
            startAll(false);
        }
        SimulatedDaemon &daemon = daemons_[draw(static_cast<unsigned>(daemons_.size()))];
        if (draw(200) == 0) {
            start(daemon, false);
        } else if (draw(100) == 0) {
            daemon.cutUntil = now_ + drawUpTo(maxCut);
        }
    }

    void writePending()
    {
        std::erase_if(pending_, [this](const PendingWrite &write) {
            if (write.due > now_) {
                return false;
            }
            const VersionSet *stored = findVersionSet(store_.versionSets, service, write.place.region);
            if (write.set.revision == (stored == nullptr ? 0 : stored->revision)) {
                VersionSet set = write.set;
                set.revision = ++revision_;
                store_.versionSets[write.place.service][write.place.region] = set;
                publish();
            }
            return true;
        });
    }

    // News arrives in the order of the store and after a time that changes; a daemon that is cut off knows it after a while.
    void follow(SimulatedDaemon &daemon)
    {
        if (now_ >= daemon.cutUntil) {
            daemon.seenAt = std::max({ daemon.seenAt, now_ - maxNewsDelay, now_ - drawUpTo(maxNewsDelay) });
        }
        const auto after = history_.upper_bound(daemon.seenAt);
        FleetView view = *std::prev(after)->second;
        view.storeReachable = now_ - daemon.seenAt <= maxNewsDelay;
        daemon.view = std::make_shared<const FleetView>(view);
        daemon.recorder->setView(daemon.view, now_);
    }

    void beginStreams(const SimulatedDaemon &daemon)
    {
        for (const auto &[id, upstream] : daemon.view->upstreams) {
            if (upstream.region == daemon.region && daemon.recorder->mayBegin(service, upstream.version, now_)) {
                begunAt_[upstream.version] = now_;
            }
        }
    }

    // Only a daemon that believes in one version reads; one that is cut off gets no answer.
    void takeStreamsUp()
    {
        for (const SimulatedDaemon &daemon : daemons_) {
            const std::optional<VersionKey> believed
                = daemon.view->storeReachable ? soleVersion(daemon.view->versionSets, service, regions) : std::nullopt;
            if (!believed) {
                continue;
            }
            believedWrong += streamsOfOthers(*believed);
            const std::optional<VersionKey> read
                = now_ >= daemon.cutUntil ? soleVersion(store_.versionSets, service, regions) : std::nullopt;
            proven += read ? 1 : 0;
            provenWrong += read ? streamsOfOthers(*read) : 0;
        }
    }

    /// Returns at how many versions other than @p version streams began that may be taken up.
    std::size_t streamsOfOthers(VersionKey version) const
    {
        return static_cast<std::size_t>(std::count_if(begunAt_.begin(), begunAt_.end(), [&](const auto &begun) {
            return versionKeyOf(begun.first) != version && now_ - begun.second <= maxStreamAge;
        }));
    }

    std::mt19937 random_;
    SteadyTime now_ = BootClock::now();
    FleetView store_;
    std::uint64_t revision_ = 0;
    std::map<SteadyTime, std::shared_ptr<const FleetView>> history_;
    std::vector<SimulatedDaemon> daemons_;
    std::vector<PendingWrite> pending_;
    /// When a stream last began at each version.
    std::map<std::string, SteadyTime> begunAt_;
};

constexpr unsigned fleets = 20;

} // namespace

// A stream begins at a new version as soon as that is announced, so what a daemon knows may be too old; the read may not.
TEST_CASE("Streams taken up again, all daemons ended beside two versions, are never joined from two of them")
{
    std::size_t proven = 0;
    std::size_t believedWrong = 0;
    std::size_t fleetsEnded = 0;
    for (unsigned seed = 1; seed <= fleets; ++seed) {
        CAPTURE(seed);
        SimulatedFleet fleet(seed);
        fleet.run();
        CHECK(fleet.provenWrong == 0);
        proven += fleet.proven;
        believedWrong += fleet.believedWrong;
        fleetsEnded += fleet.fleetsEnded;
    }
    CHECK(proven > 0);
    CHECK(fleetsEnded > fleets);
    // The fleets are such that without the read streams would be joined from two versions.
    CHECK(believedWrong > 0);
}
