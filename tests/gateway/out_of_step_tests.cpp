// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon that stands still, or is cut off from the store and the other daemons, while upstreams of a new version join: whether
// it takes streams that began at the new version for those of the old one. In virtual time.

#include "portpaddle/stream_versions/version_set_recorder.h"

#include "support/following_daemon.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

using namespace Portpaddle;

namespace {

constexpr Millis step{ 20 };
constexpr Millis tickInterval{ 100 };
constexpr Millis settling{ 3'000 };
// As the gateway's options.
constexpr Millis stallBound{ 1'000 };
constexpr Millis newsDelay{ 600 };
constexpr Millis writeDelay{ 20 };
constexpr Millis releaseAt{ 20'000 };
constexpr Millis duration{ 45'000 };
constexpr const char *service = "s";
const std::set<std::string> regions{ "north", "south" };

/// How the first daemon is out of step, from shortly before the release on.
struct Disturbance
{
    SteadyTime stillFrom{};
    SteadyTime stillUntil{};
    SteadyTime silentFrom{};
    SteadyTime silentUntil{};
    Millis lagOfReads{ 0 };
};

/// A daemon with its recorder, and its place in the store's history.
struct Daemon
{
    std::string region;
    std::size_t rank = 0;
    Millis delay{ 0 };
    VersionSetRecorder recorder;
    std::shared_ptr<const FleetView> view;
};

/// The store, two daemons of each region, and a release of "v2". Nothing that is told of a stream reaches the first daemon.
class ReleasePlay : public SimulatedStore
{
public:
    explicit ReleasePlay(unsigned seed) : random_(seed)
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
            addUpstream(region, "v1");
        }
        publish();
        for (const std::string &region : regions) {
            addDaemon(region, 0);
            addDaemon(region, 1);
        }
        late_ = daemons_[draw(2)].get();
        drawDisturbance();
        follower_ = std::make_unique<FollowingDaemon>(*this, drawUpTo(Millis(1'200)));
    }

    void run()
    {
        for (; now_ < start_ + duration; now_ += step) {
            if (now_ == start_ + releaseAt) {
                release();
            }
            writePending();
            for (const std::unique_ptr<Daemon> &daemon : daemons_) {
                if (daemon.get() != late_) {
                    show(*daemon, at(now_ - daemon->delay), true);
                    tick(*daemon, false);
                }
            }
            advanceLate();
        }
    }

    bool isSilent(SteadyTime now) const override
    {
        return now >= disturbance_.silentFrom && now < disturbance_.silentUntil;
    }

    std::uint64_t revision(SteadyTime now) const override
    {
        return static_cast<std::uint64_t>(std::distance(history_.begin(), history_.upper_bound(now)));
    }

    Millis lagOfReads(SteadyTime) const override
    {
        return disturbance_.lagOfReads;
    }

    /// How often the late daemon believed in one version, and had streams of another before it: by what it knew, and by a read.
    std::size_t believedWrong = 0;
    std::size_t provenWrong = 0;
    /// How often it proved the version of streams.
    std::size_t proven = 0;
    /// Whether streams began at the new version while the daemon could not know of it.
    bool begunUnknown = false;

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
        return Millis(draw(static_cast<unsigned>((longest / step) + 1)) * step);
    }

    void publish()
    {
        history_[now_] = std::make_shared<const FleetView>(store_);
    }

    void addUpstream(const std::string &region, const std::string &version)
    {
        UpstreamRecord upstream;
        upstream.id = region + "-" + version;
        upstream.service = service;
        upstream.region = region;
        upstream.version = version;
        store_.upstreams[upstream.id] = upstream;
    }

    void addDaemon(const std::string &region, std::size_t rank)
    {
        daemons_.push_back(
            std::make_unique<Daemon>(Daemon{ region, rank, drawUpTo(newsDelay), VersionSetRecorder(region), nullptr }));
        Daemon *daemon = daemons_.back().get();
        daemon->recorder.setTerms({ settling, true, regions });
        daemon->recorder.setWriter([this, daemon](const VersionSetPlace &place, const VersionSet &set) {
            if (daemon != late_ || !isSilent(now_)) {
                pending_.push_back({ now_ + writeDelay, place, set });
            }
        });
    }

    void drawDisturbance()
    {
        const SteadyTime from = start_ + releaseAt - Millis(1'000) + drawUpTo(Millis(2'500));
        if (draw(3) > 0) {
            disturbance_.silentFrom = from;
            disturbance_.silentUntil = from + step + drawUpTo(draw(2) == 0 ? Millis(1'200) : Millis(6'000));
            disturbance_.lagOfReads = drawUpTo(Millis(6'000));
        }
        if (draw(3) > 0) {
            disturbance_.stillFrom = from + drawUpTo(Millis(1'000));
            disturbance_.stillUntil = disturbance_.stillFrom + Millis(500) + drawUpTo(Millis(5'500));
        }
    }

    void release()
    {
        const unsigned where = draw(3);
        for (const std::string &region : regions) {
            if (where == 0 || (where == 1) == (region == late_->region)) {
                addUpstream(region, "v2");
            }
        }
        publish();
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
                set.revision = ++writes_;
                store_.versionSets[write.place.service][write.place.region] = set;
                publish();
            }
            return true;
        });
    }

    std::shared_ptr<const FleetView> at(SteadyTime time) const
    {
        const auto after = history_.upper_bound(time);
        return after == history_.begin() ? after->second : std::prev(after)->second;
    }

    void show(Daemon &daemon, const std::shared_ptr<const FleetView> &seen, bool reachable)
    {
        FleetView view = *seen;
        view.storeReachable = reachable;
        daemon.view = std::make_shared<const FleetView>(view);
        daemon.recorder.setView(daemon.view, now_);
    }

    void tick(Daemon &daemon, bool stalled)
    {
        daemon.recorder.tick(
            stalled, [&daemon](const std::string &) { return std::optional(daemon.rank); }, now_);
        for (const auto &[id, upstream] : daemon.view->upstreams) {
            if (upstream.region == daemon.region && daemon.recorder.mayBegin(service, upstream.version, now_)) {
                begun_.insert(upstream.version);
            }
        }
    }

    // Requests that wait in the socket are served before the timers of a process that wakes.
    void advanceLate()
    {
        if (now_ >= disturbance_.stillFrom && now_ < disturbance_.stillUntil) {
            follower_->standStill(now_);
            return;
        }
        follower_->advance(now_);
        if (follower_->revision == 0) {
            return;
        }
        show(*late_, std::next(history_.begin(), static_cast<std::ptrdiff_t>(follower_->revision) - 1)->second,
             follower_->inTouch);
        takeUp();
        if (now_ - tickedAt_ >= tickInterval) {
            const bool stalled = now_ - tickedAt_ >= stallBound;
            stalledUntil_ = stalled ? now_ + settling : stalledUntil_;
            tickedAt_ = now_;
            tick(*late_, stalled);
        }
    }

    void takeUp()
    {
        const bool follows = follower_->inTouch && now_ - tickedAt_ < stallBound && now_ >= stalledUntil_;
        const auto believed = follows ? soleVersion(late_->view->versionSets, service, regions) : std::nullopt;
        const bool begunAtNew = begun_.contains("v2");
        begunUnknown = begunUnknown || (begunAtNew && late_->view->upstreams.size() == regions.size());
        if (!believed) {
            return;
        }
        believedWrong += begunAtNew && *believed != versionKeyOf("v2") ? 1 : 0;
        const auto read = isSilent(now_) ? std::nullopt : soleVersion(store_.versionSets, service, regions);
        proven += read ? 1 : 0;
        provenWrong += read && begunAtNew ? 1 : 0;
    }

    std::mt19937 random_;
    SteadyTime start_ = BootClock::now();
    SteadyTime now_ = start_ + step;
    FleetView store_;
    std::uint64_t writes_ = 0;
    std::map<SteadyTime, std::shared_ptr<const FleetView>> history_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<PendingWrite> pending_;
    /// Versions at which streams have begun.
    std::set<std::string> begun_;
    Disturbance disturbance_;
    Daemon *late_ = nullptr;
    std::unique_ptr<FollowingDaemon> follower_;
    SteadyTime tickedAt_ = now_;
    SteadyTime stalledUntil_{};
};

struct Findings
{
    unsigned believedWrong = 0;
    unsigned provenWrong = 0;
    unsigned begunUnknown = 0;
    std::size_t proven = 0;
};

Findings playReleases(unsigned plays)
{
    Findings findings;
    for (unsigned seed = 1; seed <= plays; ++seed) {
        ReleasePlay play(seed);
        play.run();
        findings.believedWrong += play.believedWrong > 0 ? 1 : 0;
        findings.provenWrong += play.provenWrong > 0 ? 1 : 0;
        findings.begunUnknown += play.begunUnknown ? 1 : 0;
        findings.proven += play.proven;
    }
    return findings;
}

} // namespace

TEST_CASE("Daemon out of step, a new version begins streams that it cannot know, does not take them for those of the old one")
{
    const Findings findings = playReleases(200);
    CHECK(findings.provenWrong == 0);
    CHECK(findings.proven > 0);
    CHECK(findings.begunUnknown > 0);
    // What the daemon knows without a read is no proof.
    CHECK(findings.believedWrong > 0);
}
