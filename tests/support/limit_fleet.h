// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The daemons of one region in virtual time, before an upstream that names a limit: killed in series, cut off from each other's
/// news, with requests that arrive late. All that the upstream gets is counted.
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

/// How the daemons of a region share what an upstream takes.
enum class LimitWay {
    /// As the product does; see UpstreamLimits.
    FewHolders,
    /// Evenly among all daemons on the list. Who names what is known to all at once.
    EqualShares,
    /// All of it at one daemon, the first by rank. Known to all at once.
    OneOwner,
    /// By chance, with a fraction that a gatherer works out from what is asked. Known to all at once.
    FractionOfAsked,
};
std::string_view nameOf(LimitWay way);

/// What goes wrong, each a chance in a second.
struct LimitTroubles
{
    double killAll = 0;
    double killSome = 0;
    /// Of a single daemon: it hears no news and none hears it.
    double cut = 0;
    /// Of a single daemon: what it sends arrives together later.
    double holdUp = 0;
    /// Of the news.
    double loss = 0;
};

/// What is played.
struct LimitScenario
{
    unsigned daemons = 8;
    /// Of callers, at each daemon.
    double requestsPerSecond = 2;
    /// What the upstream names.
    double perSecond = 1;
    LimitTroubles troubles;
};

class LimitFleet
{
public:
    LimitFleet(const LimitScenario &scenario, LimitWay way, std::uint64_t seed);
    ~LimitFleet();

    void play(std::chrono::seconds length);
    /// From now on the upstream names @p perSecond in its answers; nothing where it is zero.
    void name(double perSecond);
    /// Requests in the worst four seconds that begin at least @p after the limit was named, as a part of what is tolerated: one
    /// and a half times what the limit allows, and five requests.
    double worstPart(std::chrono::seconds after = std::chrono::seconds(5)) const;
    /// Requests a second since then, as a part of the limit.
    double usedPart(std::chrono::seconds after = std::chrono::seconds(5)) const;
    /// Requests within the last @p time.
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
    /// Where the ways beside the product's learn of limits.
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
    /// On the platform, and from when on daemons see it.
    StoredLimits stored_;
    std::multimap<SteadyTime, StoredLimit> writes_;
    RegionLimit gathered_;
    std::vector<SteadyTime> arrivals_;
    unsigned step_ = 0;
};

} // namespace Portpaddle
