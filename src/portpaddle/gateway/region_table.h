// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What other daemons told of themselves and their regions.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/placement.h"
#include "portpaddle/gateway/prefix_memory.h"
#include "portpaddle/wire/load_generated.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class RandomSource;

/// The key under which digests name a service.
std::uint64_t serviceKey(const std::string &service);

/// Belongs to one event loop.
class RegionTable
{
public:
    void setOwnRegion(std::string region);
    /// The daemons that news may name; those that are new in @p view have until a while after @p now to be heard of.
    void setDaemons(const FleetView &view, SteadyTime now);
    /// In which some daemon is listed.
    const std::set<std::string> &listedRegions() const;
    void applyDigest(const Wire::LoadDigestT &digest, SteadyTime now);
    /// What a gatherer heard of other daemons.
    void takeMembers(std::span<const Wire::MemberNews> members, SteadyTime now);
    /// What a gatherer of another region told of it.
    void takeRegion(const std::string &name, const std::vector<Wire::ServiceWait> &services,
                    const std::vector<Wire::PlacedPart> &placed, SteadyTime now);
    /// When @p daemon was heard itself; no value when it was not within the age at which news count.
    std::optional<SteadyTime> heardDirectly(const std::string &daemon, SteadyTime now) const;
    /// How often daemons of the own region hear from each other.
    void setDigestInterval(std::chrono::milliseconds interval);
    /// Counts the daemons of the own region anew; call a few times a second.
    void tick(SteadyTime now);
    /// A daemon did not answer a request; it is not asked again until it is heard from.
    void unreachable(const std::string &daemon, SteadyTime now);
    /// The daemon is listed or was heard of, and is not heard of any more.
    bool fellSilent(const std::string &daemon, SteadyTime now) const;
    /// What the daemon last said of itself; Serving before anything was heard.
    Wire::DaemonPhase phaseOf(const std::string &daemon) const;
    /// Daemons heard of in the own region, this one included, while each was heard within the memory of the table; as of the last
    /// tick.
    unsigned daemonsInOwnRegion() const;

    /// Other regions that serve @p service now; indexes count in @p regionNames.
    std::vector<RegionCandidate> candidates(const std::string &service, const ServiceSpec &spec, const PromptFacts &prompt,
                                            Urgency urgency, SteadyTime now, std::vector<std::string> &regionNames) const;
    /// A daemon of @p region to send a request to; null when none is known to live.
    const DaemonRecord *pick(const FleetView &view, const std::string &region, SteadyTime now, RandomSource &random) const;
    /// A daemon of the region of @p ending that can go on with its streams, one that stops itself as the last resort; null if
    /// there is none.
    const DaemonRecord *pickBeside(const FleetView &view, const DaemonRecord &ending, SteadyTime now, RandomSource &random) const;
    /// Counts a request sent there since the last news.
    void sentAway(const std::string &region, const std::string &service, const PromptFacts &prompt);

private:
    /// Its digests come, and connections to it did not fail just now.
    bool isHeard(const std::string &daemon, SteadyTime now) const;
    struct Peer
    {
        std::string region;
        std::uint64_t sequence = 0;
        /// When the sequence came.
        SteadyTime sequenceAt{};
        Wire::DaemonPhase phase = Wire::DaemonPhase::Serving;
        /// By its own digests or from a gatherer.
        SteadyTime heard{};
        SteadyTime shunnedUntil{};
    };

    struct Named
    {
        std::string id;
        std::string region;
        /// When it was first listed; news of it are due from then on.
        SteadyTime since{};
    };

    /// Daemons of a region to send requests to, for as long as that holds.
    struct Usable
    {
        const FleetView *view = nullptr;
        SteadyTime at{};
        std::vector<const DaemonRecord *> daemons;
    };

    const std::vector<const DaemonRecord *> &usable(const FleetView &view, const std::string &region, SteadyTime now) const;

    struct ServiceNews
    {
        std::array<double, urgencyCount> waitMs{};
        double upstreams = 0;
        double tokensPerMs = 0;
        double running = 0;
        double tokenMs = 0;
        double sentSince = 0;
        SteadyTime at{};
    };

    /// How long a daemon of the own region may be silent.
    std::chrono::milliseconds silenceBound() const;

    std::string ownRegion_;
    std::chrono::milliseconds digestInterval_{ 100 };
    std::unordered_map<std::string, Peer> peers_;
    std::unordered_map<std::uint32_t, Named> names_;
    /// Of all daemons that are listed.
    std::set<std::string> listedRegions_;
    unsigned daemonsInOwnRegion_ = 1;
    mutable std::unordered_map<std::string, Usable> usable_;
    struct Region
    {
        std::unordered_map<std::uint64_t, ServiceNews> services;
        /// Parts that some upstream there has read.
        PrefixMemory prefixes;
    };

    std::unordered_map<std::string, Region> regions_;
};

} // namespace Portpaddle
