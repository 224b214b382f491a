// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The daemons of one region in virtual time, before upstreams that say they leave or turn requests away and ask for time: killed
/// in series, cut off, left by their callers, with entries that lapse and come back. All that upstreams get is counted by daemon.
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

/// What daemons do with what upstreams say of themselves.
enum class NoticeWay {
    /// As the product does: each daemon keeps to what it was told itself; see UpstreamNotices.
    Own,
    /// Nothing.
    Ignored,
    /// As the product, and who leaves is known to all daemons at once.
    LeavingTold,
    /// As the product, and after the time one request at a time until one is not turned away.
    OneAfterTime,
};
std::string_view nameOf(NoticeWay way);

/// What goes wrong, each a chance in a second.
struct NoticeTroubles
{
    double killAll = 0;
    double killSome = 0;
    /// Of a single daemon: what it sends and is sent arrives together later.
    double holdUp = 0;
    /// All callers turn to some of the daemons for a while.
    double moveCallers = 0;
    /// Of a single upstream: its entry lapses at all daemons and comes back.
    double lapse = 0;
};

/// What is played.
struct NoticeScenario
{
    unsigned daemons = 8;
    unsigned upstreams = 4;
    /// Of callers, in all.
    double requestsPerSecond = 60;
    /// Part of what comes that upstreams turn away while they are short.
    double turnedAway = 0.9;
    /// What they ask for then.
    std::chrono::milliseconds askedTime{ 3'000 };
    NoticeTroubles troubles{};
};

class NoticeFleet
{
public:
    NoticeFleet(const NoticeScenario &scenario, NoticeWay way, std::uint64_t seed);
    ~NoticeFleet();

    void play(std::chrono::seconds length);
    /// The first @p count upstreams are short from now on, or not any more.
    void setShort(unsigned count, bool isShort);
    /// The first @p count upstreams leave; each is gone after @p stay.
    void leave(unsigned count, std::chrono::seconds stay);
    /// Requests that reached an upstream which had told their daemon, three seconds before their callers sent them, that it
    /// leaves.
    std::size_t afterLeaving() const;
    /// The most requests of one daemon at an upstream from half a second after it had asked that daemon for time to the end of
    /// it. Times during which the daemon was cut off do not count.
    std::size_t mostWithinTime() const;
    /// Part of the callers that were served before they gave up.
    double servedPart() const;
    /// All that reached an upstream for each request that was served.
    double arrivalsPerServed() const;
    /// Requests that met an upstream that was gone.
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
    /// An answer that asked for time.
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
    /// A caller begins, or comes back.
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
    /// The daemons that callers use; all where it is empty.
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
