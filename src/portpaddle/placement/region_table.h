// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps the state that other daemons reported about themselves and their regions.
#pragma once

#include "portpaddle/base/decaying_sum.h"
#include "portpaddle/placement/placement.h"
#include "portpaddle/placement/prefix_memory.h"
#include "portpaddle/reachability/reach_monitor.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/wire/load_generated.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class RandomSource;

/// Returns the key by which digests name a service.
std::uint64_t serviceKey(const std::string &service);

/// Time until a forwarded request shows in the summaries of its region: two digests there, the link, and two here.
inline constexpr std::chrono::duration<double> summaryDelay{ 0.3 };
/// Longer than the bursts in which all daemons choose the same region.
inline constexpr std::chrono::duration<double> usualForwardsTime{ 2 };

/// Keeps the state of other daemons and regions. Must only be used from one event loop.
class RegionTable
{
public:
    void setOwnRegion(std::string region);
    /// Sets the daemons that digests may name; those that are new in @p view have some time after @p now to be heard from.
    void setDaemons(const FleetView &view, SteadyTime now);
    /// Returns the regions in which a daemon is listed.
    const std::set<std::string> &listedRegions() const;
    void applyDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Applies an aggregator's report of when it heard from other daemons.
    void takeMembers(std::span<const Wire::MemberNews> members, SteadyTime now);
    /// Applies the summary that an aggregator of another region sent.
    void takeRegion(const std::string &name, const std::vector<Wire::ServiceWait> &services,
                    const std::vector<Wire::PlacedPart> &placed, SteadyTime now);
    /// Returns when @p daemon's own last digest came; no value when it is too old to count.
    std::optional<SteadyTime> heardDirectly(const std::string &daemon, SteadyTime now) const;
    /// Sets the interval at which daemons of the own region send digests to each other.
    void setDigestInterval(std::chrono::milliseconds interval);
    /// Counts the daemons of the own region again; call a few times a second.
    void tick(SteadyTime now);
    /// Records that a daemon did not answer a request; it is avoided for a moment.
    void markUnreachable(const std::string &daemon, SteadyTime now);
    /// Returns whether the daemon is listed or was heard from, but is not heard from any more.
    bool fellSilent(const std::string &daemon, SteadyTime now) const;
    /// Returns whether no summary of @p region, which is another one, has arrived for a while.
    bool isSilentRegion(const std::string &region, SteadyTime now) const;
    /// Returns the phase that the daemon last reported; Serving before any report.
    Wire::DaemonPhase phaseOf(const std::string &daemon) const;
    /// Returns the number of daemons of the own region that were heard from recently, this one included; as of the last tick.
    unsigned daemonsInOwnRegion() const;

    /// Returns the other regions that serve @p service now; the candidates' indexes refer to @p regionNames.
    std::vector<RegionCandidate> candidates(const std::string &service, const ServiceSpec &spec, const PromptFacts &prompt,
                                            Urgency urgency, SteadyTime now, std::vector<std::string> &regionNames) const;
    /// Returns a daemon of @p region to send a request of @p service to, except those whose ids are in @p tried; null when none
    /// is known to be alive and to reach the upstreams. One with an older configuration is the last resort.
    const DaemonRecord *pick(const FleetView &view, const std::string &region, const std::string &service,
                             const std::vector<std::string> &tried, SteadyTime now, RandomSource &random) const;
    /// Records that a daemon refused a request because its configuration is older than @p version; for a moment others are
    /// preferred, unless it reports that it has the version.
    void markOlder(const std::string &daemon, std::uint64_t version, SteadyTime now);
    /// Returns whether the daemon has an older configuration, as far as is known.
    bool isOlder(const std::string &daemon, SteadyTime now) const;
    /// Returns whether any daemon may have an older configuration.
    bool knowsOlder(SteadyTime now) const;
    /// Records that a daemon refused a request because it does not reach the upstreams of @p services.
    void markCutOff(const std::string &daemon, ServiceSet services);
    /// Returns the services whose upstreams the daemon does not reach, as it last reported.
    ServiceSet unreachableFrom(const std::string &daemon) const;
    /// Returns a daemon of the region of @p ending that can continue its streams, a stopping one only as the last resort; null if
    /// there is none.
    const DaemonRecord *pickBeside(const FleetView &view, const DaemonRecord &ending, SteadyTime now, RandomSource &random) const;
    /// Counts a request that was forwarded to @p region.
    void recordForwarded(const std::string &region, const std::string &service, const PromptFacts &prompt, SteadyTime now);

private:
    /// Returns whether digests of the daemon arrive and no connection to it has failed recently.
    bool isReachable(const std::string &daemon, SteadyTime now) const;
    struct Peer
    {
        std::string region;
        std::uint64_t sequence = 0;
        /// When the sequence came.
        SteadyTime sequenceAt{};
        Wire::DaemonPhase phase = Wire::DaemonPhase::Serving;
        /// By the daemon's own digests or an aggregator's report.
        SteadyTime heard{};
        SteadyTime avoidedUntil{};
        ServiceSet unreachable = 0;
        std::uint64_t configVersion = 0;
        /// Until then the daemon counts as older, unless it reports this version or a newer one.
        SteadyTime olderUntil{};
        std::uint64_t missingVersion = 0;
    };

    struct ListedDaemon
    {
        std::string id;
        std::string region;
        /// When the daemon was first listed; digests of it are expected from then on.
        SteadyTime since{};
    };

    /// Cached list of the daemons of a region to which requests may be sent.
    struct UsableDaemons
    {
        const FleetView *view = nullptr;
        SteadyTime at{};
        std::vector<const DaemonRecord *> daemons;
    };

    const std::vector<const DaemonRecord *> &usableDaemons(const FleetView &view, const std::string &region,
                                                           SteadyTime now) const;

    struct ServiceState
    {
        std::array<double, urgencyCount> waitMs{};
        double upstreams = 0;
        double tokensPerMs = 0;
        double running = 0;
        double tokenMs = 0;
        /// Prompt tokens that this daemon forwarded: those that no summary can include yet, and over a longer time.
        DecayingSum forwardedRecently{ summaryDelay };
        DecayingSum forwardedUsually{ usualForwardsTime };
        SteadyTime at{};
    };

    /// Returns the prompt tokens that the daemons of the own region forwarded and no summary can include yet.
    double recentlyForwarded(const ServiceState &service, SteadyTime now) const;

    /// Returns how long a daemon of the own region may be silent.
    std::chrono::milliseconds silenceBound() const;

    std::string ownRegion_;
    std::chrono::milliseconds digestInterval_{ 100 };
    std::unordered_map<std::string, Peer> peers_;
    SteadyTime lastOlderUntil_{};
    std::unordered_map<std::uint32_t, ListedDaemon> listedDaemons_;
    /// Regions of all daemons that are listed.
    std::set<std::string> listedRegions_;
    unsigned daemonsInOwnRegion_ = 1;
    mutable std::unordered_map<std::string, UsableDaemons> usableDaemons_;
    struct Region
    {
        std::unordered_map<std::uint64_t, ServiceState> services;
        /// When the last summary came.
        SteadyTime summaryAt{};
        /// Prompt parts that some upstream there has prefilled.
        PrefixMemory prefixes;
    };

    std::unordered_map<std::string, Region> regions_;
};

} // namespace Portpaddle
