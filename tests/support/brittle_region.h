// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A region of daemons before brittle upstreams, in virtual time.
#pragma once

#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/upstream_places/place_ledger.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Portpaddle {

struct BrittleRegionTerms
{
    std::size_t daemons = 8;
    std::size_t upstreams = 6;
    /// Rejections that an upstream bears in a second.
    double borne = 10;
    /// Share of the datagrams between daemons that are lost.
    double lost = 0;
    unsigned seed = 1;
};

/// Daemons that take places as UpstreamPlaces does, and upstreams that fall when they reject too many requests in a second and
/// come back with a new incarnation. Each request runs for 100 ms.
class BrittleRegion
{
public:
    using Millis = std::chrono::milliseconds;

    explicit BrittleRegion(const BrittleRegionTerms &terms);

    /// Sets how many requests each upstream runs at once.
    void setRoom(std::size_t room);
    /// Lets @p perSecond requests arrive at random daemons for @p time. Returns the number that were served in it.
    unsigned run(Millis time, double perSecond);
    /// The upstreams say that they are brittle from now on.
    void setBrittle();
    /// Kills a daemon and starts it again.
    void restart(std::size_t daemon);
    std::size_t falls() const;
    std::size_t worstSecond() const;

private:
    struct Upstream
    {
        std::uint64_t id = 0;
        unsigned incarnation = 0;
        bool isUp = true;
        std::size_t running = 0;
        std::deque<SteadyTime> rejections;
    };

    struct Daemon
    {
        std::uint64_t id = 0;
        std::unique_ptr<StableOwner> owners;
        std::unique_ptr<PlaceLedger> ledger;
        bool knowsBrittle = false;
        unsigned life = 0;
        std::unordered_map<PlaceToken, std::uint64_t> held;
        std::unordered_map<std::uint64_t, SteadyTime> fullUntil;
    };

    /// One request of a caller.
    struct Request
    {
        std::size_t daemon;
        unsigned life;
        SteadyTime arrivedAt;
        unsigned denials = 0;
    };

    void at(SteadyTime time, std::function<void()> action);
    void datagram(std::size_t to, std::function<void(Daemon &)> action);
    void place(Request request);
    void deny(Request request, std::uint64_t upstream);
    void send(const Request &request, std::size_t upstream, std::uint64_t id, PlaceToken token);
    void reject(Upstream &upstream);
    void fall(std::size_t upstream);
    void hear(std::size_t daemon);
    void tell(std::size_t daemon, std::uint64_t upstream, PlaceToken token, Wire::PlaceStep step);
    void confirmAll();
    void setMembers();
    std::size_t ownerOf(const Daemon &daemon, std::uint64_t upstream) const;

    BrittleRegionTerms terms_;
    std::mt19937 random_;
    SteadyTime now_ = BootClock::now();
    std::multimap<SteadyTime, std::function<void()>> events_;
    std::vector<Upstream> upstreams_;
    std::vector<Daemon> daemons_;
    std::unordered_map<std::uint64_t, std::size_t> indexes_;
    std::size_t room_ = 0;
    bool isBrittle_ = false;
    PlaceToken tokens_ = 0;
    unsigned served_ = 0;
    std::size_t falls_ = 0;
    std::size_t worstSecond_ = 0;
};

} // namespace Portpaddle
