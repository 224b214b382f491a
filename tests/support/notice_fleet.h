// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Simulates in virtual time the daemons of one region and upstreams that announce leaving or refuse requests with a retry time:
/// daemons are killed in series, partitioned or left by their callers, and upstream entries expire and return. All requests that
/// reach upstreams are counted by daemon.
#pragma once

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/upstream_notices/upstream_notices.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Portpaddle {

/// How daemons treat the notices of upstreams.
enum class NoticeWay {
    /// The product's way: each daemon follows the notices that it received itself; see UpstreamNotices.
    Own,
    /// Daemons ignore all notices.
    Ignored,
    /// As Own, and all daemons learn at once which upstreams leave.
    LeavingTold,
    /// As Own, and after the retry time one request at a time until one is not refused.
    OneAfterTime,
};
std::string_view nameOf(NoticeWay way);

/// Injected failures; each value is a probability per second.
struct NoticeTroubles
{
    double killAll = 0;
    double killSome = 0;
    /// A single daemon is delayed: everything sent by or to it arrives together later.
    double holdUp = 0;
    /// All callers use only some of the daemons for a while.
    double moveCallers = 0;
    /// The entry of a single upstream expires at all daemons and returns.
    double lapse = 0;
};

/// Parameters of a simulation.
struct NoticeScenario
{
    unsigned daemons = 8;
    unsigned upstreams = 4;
    /// Requests per second of all callers together.
    double requestsPerSecond = 60;
    /// Fraction of the requests that upstreams refuse while they are short of capacity.
    double turnedAway = 0.9;
    /// Retry time that such a refusal names.
    std::chrono::milliseconds askedTime{ 3'000 };
    NoticeTroubles troubles{};
};

class NoticeFleet
{
public:
    NoticeFleet(const NoticeScenario &scenario, NoticeWay way, std::uint64_t seed);
    ~NoticeFleet();

    void play(std::chrono::seconds length);
    /// Sets whether the first @p count upstreams are short of capacity from now on.
    void setShort(unsigned count, bool isShort);
    /// Lets the first @p count upstreams announce leaving; they are gone after @p stay.
    void leave(unsigned count, std::chrono::seconds stay);
    /// Returns the number of requests that reached an upstream although it had announced leaving to their daemon more than three
    /// seconds before their callers sent them.
    std::size_t afterLeaving() const;
    /// Returns the most requests of one daemon at an upstream from half a second after it had named a retry time to that daemon
    /// until the end of that time. Times during which the daemon was delayed do not count.
    std::size_t mostWithinTime() const;
    /// Returns the fraction of the callers that were served before they gave up.
    double servedPart() const;
    /// Returns the requests that reached an upstream per served request.
    double arrivalsPerServed() const;
    /// Returns the number of attempts at an upstream that was gone.
    std::size_t metGone() const;

private:
    struct Daemon;
    struct Upstream;
    struct Request
    {
        SteadyTime givenUpAt{};
        SteadyTime sentAt{};
        std::size_t daemon = 0;
        unsigned sends = 0;
        std::vector<std::size_t> tried;
    };
    /// An answer that named a retry time.
    struct AskedTime
    {
        SteadyTime from{};
        SteadyTime until{};
        std::size_t arrivals = 0;
    };

    void at(SteadyTime time, std::function<void()> work);
    bool happens(double perSecond);
    SteadyTime::duration randomTime(double longestSeconds);
    void start(Daemon &daemon);
    void strike();
    void publish(Daemon &daemon);
    /// Starts a caller's request or its next try.
    void ask(Request request);
    void forward(Request request);
    bool maySend(const Daemon &daemon, std::size_t upstream) const;
    void send(Request request, std::size_t upstream);
    void arrive(const Request &request, unsigned life, std::size_t upstream);
    void answered(Request request, unsigned life, std::size_t upstream, bool served);
    void refuse(Request request);
    void count(const Request &request, unsigned life, std::size_t upstream);

    NoticeScenario scenario_;
    NoticeWay way_;
    SeededRandom random_;
    Metrics metrics_;
    SteadyTime now_{ std::chrono::hours(1) };
    std::multimap<SteadyTime, std::function<void()>> events_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<Upstream> upstreams_;
    /// The daemons that callers use; all of them if empty.
    std::vector<std::size_t> frequented_;
    std::size_t callers_ = 0;
    std::size_t served_ = 0;
    std::size_t ended_ = 0;
    std::size_t arrivals_ = 0;
    std::size_t afterLeaving_ = 0;
    std::size_t mostWithinTime_ = 0;
    std::size_t metGone_ = 0;
};

} // namespace Portpaddle
