// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time the daemons of one region and an upstream that names a limit: daemons are killed in series or
/// partitioned, digests are lost and requests arrive late. All requests that reach the upstream are counted.
#pragma once

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/limits/region_limit.h"
#include "portpaddle/upstream_limits/upstream_limits.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Portpaddle {

/// How the daemons of a region share the limit of an upstream.
enum class LimitWay {
    /// The product's way; see UpstreamLimits.
    FewHolders,
    /// Even shares for all daemons on the list. All daemons learn of a named limit at once.
    EqualShares,
    /// The whole limit at one daemon, the first by rank. All daemons learn of the limit at once.
    OneOwner,
    /// Random admission with a fraction that an aggregator computes from the demand. All daemons learn of the limit at once.
    FractionOfAsked,
};
std::string_view nameOf(LimitWay way);

/// Injected failures; each value is a probability per second, except loss.
struct LimitTroubles
{
    double killAll = 0;
    double killSome = 0;
    /// A single daemon is partitioned: digests neither reach nor leave it.
    double cut = 0;
    /// A single daemon is delayed: everything it sends arrives together later.
    double holdUp = 0;
    /// Probability that a digest is lost.
    double loss = 0;
};

/// Parameters of a simulation.
struct LimitScenario
{
    unsigned daemons = 8;
    /// Requests per second of callers at each daemon.
    double requestsPerSecond = 2;
    /// Limit of the upstream in requests per second.
    double perSecond = 1;
    LimitTroubles troubles;
};

class LimitFleet
{
public:
    LimitFleet(const LimitScenario &scenario, LimitWay way, std::uint64_t seed);
    ~LimitFleet();

    void play(std::chrono::seconds length);
    /// Lets the upstream name @p perSecond in its answers from now on; with zero it names no limit.
    void name(double perSecond);
    /// Returns the most requests in any four seconds that begin at least @p after the limit was named, as a fraction of the
    /// tolerated number: one and a half times what the limit allows, plus five requests.
    double worstPart(std::chrono::seconds after = std::chrono::seconds(5)) const;
    /// Returns the requests per second from @p after the naming on, as a fraction of the limit.
    double usedPart(std::chrono::seconds after = std::chrono::seconds(5)) const;
    /// Returns the number of requests that arrived within the last @p time.
    std::size_t arrivedLately(std::chrono::seconds time) const;

private:
    struct Daemon;
    struct Message
    {
        std::string to;
        Wire::LoadDigestT digest;
    };
    struct Answer
    {
        std::string daemon;
        unsigned life = 0;
        double named = 0;
        SteadyTime sentAt{};
    };

    bool happens(double perSecond);
    SteadyTime::duration randomTime(double longestSeconds);
    void start(Daemon &daemon);
    void strike();
    void publishViews();
    void deliver();
    void tell(Daemon &daemon);
    void serve(Daemon &daemon);
    /// Returns whether the ways other than the product's know the limit.
    bool isKnown() const;
    bool maySend(Daemon &daemon);
    void send(Daemon &daemon);

    LimitScenario scenario_;
    LimitWay way_;
    SeededRandom random_;
    Metrics metrics_;
    SteadyTime now_{ std::chrono::hours(1) };
    double named_ = 0;
    SteadyTime namedAt_{};
    std::map<std::string, std::unique_ptr<Daemon>> daemons_;
    std::multimap<SteadyTime, Message> messages_;
    std::multimap<SteadyTime, Answer> answers_;
    std::map<std::string, SteadyTime> leases_;
    /// Limits stored on the platform; writes_ holds those that become visible later.
    StoredLimits stored_;
    std::multimap<SteadyTime, StoredLimit> writes_;
    RegionLimit gathered_;
    std::vector<SteadyTime> arrivals_;
    unsigned step_ = 0;
};

} // namespace Portpaddle
