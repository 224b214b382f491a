// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The request path of a daemon on one event loop: takes requests, places them, carries them to upstreams and other regions.
#pragma once

#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/crashes/crash_guard.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/gateway/caller_session.h"
#include "portpaddle/gateway/cold_gate.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/policy_settings.h"
#include "portpaddle/gateway/region_table.h"
#include "portpaddle/gateway/stop_rules.h"
#include "portpaddle/gateway/target.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/gateway/upstream_loads.h"
#include "portpaddle/limits/organisation_limits.h"
#include "portpaddle/retries/retry_credit.h"
#include "portpaddle/retries/retry_members.h"
#include "portpaddle/upstream_limits/upstream_limits.h"
#include "portpaddle/upstream_notices/upstream_notices.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Portpaddle {

class Exchange;
class Metrics;
class RandomSource;
class UpstreamOrders;

/// Who this daemon is.
struct GatewayIdentity
{
    std::string id;
    std::string region;
    std::string dataCentre;
};

/// Bounds that the deployment sets.
struct GatewayOptions
{
    double retryRatio = 0.1;
    double extraRetriesPerWindow = 10;
    std::chrono::milliseconds retryWindow{ 10'000 };
    double coldOvershoot = 1;
    double coldSlack = 0;
    /// Data centres over which the extra retries are divided evenly.
    unsigned dataCentres = 1;
    /// A daemon that has been on the list for less has no part of the extra retries. Daemons learn of each other's coming within
    /// about two seconds.
    std::chrono::milliseconds listSettling{ 3'000 };
    /// How long a request waits for the first configuration after a start. The store answers in milliseconds where it is well.
    std::chrono::milliseconds configurationWait{ 300 };
    /// Runs are moved this long before their upstream ends: a copy takes some ten milliseconds, several follow one another, and
    /// the tick is 100 ms.
    std::chrono::milliseconds moveLead{ 500 };
    /// Streams of other daemons are handed over this long before this daemon ends; the link takes one more way.
    std::chrono::milliseconds handOverLead{ 800 };
    /// From its announcement a leaving upstream serves at least this long.
    std::chrono::milliseconds drainBound{ 3'000 };
    std::size_t bodyMemoryBytes = 64 * 1024 * 1024;
    /// By which organisations' limits may be exceeded.
    LimitTolerance limitTolerance;
};

/// Belongs to one event loop; only the view is written by another thread.
class Gateway : public RequestHandler
{
public:
    Gateway(Executor executor, GatewayIdentity identity, HeaderNames names, const RcuCell<FleetView> &view, RandomSource &random,
            Metrics &metrics);

    Task<void> serve(CallerRequest request, CallerWriter &writer, std::function<void()> &abandoned) override;
    CallerLimits limits() const override;
    const HeaderNames &names() const override;
    bool closing() const override;
    bool reserveBody(std::size_t bytes) override;
    void releaseBody(std::size_t bytes) override;

    void setOptions(const GatewayOptions &terms);
    void setPolicy(const PolicySettings &policy);
    /// Without orders the memory of runs is not moved.
    void setOrders(const UpstreamOrders *orders);
    /// Keeps on the platform which requests are held; see CrashGuard.
    void setQuarantineWriter(CrashGuard::WriteRecord write);
    /// Has the limits that upstreams name written to the platform.
    void setLimitWriter(UpstreamLimits::WriteRecord write);
    /// What to tell other daemons of requests that upstreams ended under; call once in each interval.
    std::vector<OutgoingDigest> dueCrashDigests();
    /// The same of the limits that upstreams name.
    std::vector<OutgoingDigest> dueLimitDigests();
    /// Answers other daemons that ask for what the store told; must outlive the gateway.
    void setPeerRequestHandler(PeerRequestHandler *questions);
    /// A newer view was published.
    void viewChanged();
    void setDigestInterval(std::chrono::milliseconds interval);
    void applyDigest(const Wire::LoadDigestT &digest);
    /// Parts of prompts placed until now are told in the digests that follow, up to the next call.
    void beginDigestRound(DigestReach reach);
    /// What to tell now, each to be sent in a datagram of its own.
    std::vector<Wire::LoadDigestT> digests(DigestReach reach);
    /// What a daemon of a fleet that has gatherers tells at this turn; see LoadAggregation.
    std::vector<OutgoingDigest> dueFleetDigests(std::size_t turn);
    /// Housekeeping, a few times a second.
    void tick();
    /// From now on answers close their connections, and requests are refused that may not be over in time.
    void beginDrain(const StopDeadlines &stop);
    /// The times of a stop that has begun.
    const std::optional<StopDeadlines> &stop() const;
    /// No caller is taken any more.
    void beginClosing();
    /// Another daemon of the own region takes callers.
    bool othersServeRegion(SteadyTime now) const;
    std::size_t inProgress() const;
    /// Logs each request whose answer ends with this daemon.
    void logUnfinished() const;
    std::shared_ptr<const FleetView> view() const;
    const RegionTable &regions() const;
    const GatewayIdentity &identity() const;
    /// A configuration is known and no stop has begun.
    bool ready() const;
    /// Daemons over which the extra retries are divided: as many in each data centre as in the own one.
    unsigned retryDivisor() const;
    /// What callers may expect of @p daemon.
    Wire::DaemonPhase phaseOf(const DaemonRecord &daemon, SteadyTime now) const;

private:
    friend class Exchange;

    /// Daemons of a region that may be added or come back while others still count.
    static constexpr unsigned spareDaemons = 1;

    /// What a choice for a request depends on besides the request itself.
    struct ChoiceContext
    {
        const Route &route;
        /// Whose request it is; null where that does not matter here.
        const Organisation *organisation;
        /// See ServiceMap::rankOf().
        unsigned rank;
        const std::string &service;
        /// Upstreams and regions that it is not to be sent to again.
        const std::vector<std::string> &tried;
        /// It is of no use after this.
        SteadyTime deadline;
        /// Whole events that its caller has already.
        std::size_t eventsSeen = 0;
        /// It is to be over by its prediction then.
        SteadyTime overBy = SteadyTime::max();

        bool allowsRegion(std::string_view region) const;
    };

    /// Chooses where @p request goes, and counts it there.
    Target choose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now);
    /// Where @p request would go.
    Target propose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now);
    std::vector<UpstreamCandidate> localCandidates(const std::string &service, const ServiceSpec &spec, const PromptFacts &prompt,
                                                   const std::vector<std::string> &tried,
                                                   std::vector<const UpstreamRecord *> &records, SteadyTime now);
    /// Raises what the homes of a prompt are expected to keep.
    void expectAtHomes(const PromptFacts &prompt, std::vector<UpstreamCandidate> &upstreams,
                       const std::vector<const UpstreamRecord *> &records, std::vector<RegionCandidate> &regions,
                       const std::vector<std::string> &regionNames) const;
    /// Looks again at which daemons share the retry budget.
    void shareRetries(SteadyTime now);
    /// Whether this daemon gathers for its region what @p organisation may spend.
    bool aggregatesLimitOf(std::uint32_t organisation, SteadyTime now) const;
    void setLimits(SteadyTime now);
    /// Which daemons of the own region may own what cannot be divided among all of them.
    void chooseOwners(SteadyTime now);
    ExclusionReason bar(const UpstreamRecord &upstream, const ServiceSpec &spec, SteadyTime now);
    /// The head of an answer came at the address of @p asked, to what was sent then.
    void answered(const UpstreamRecord &asked, const AnswerNotice &notice, SteadyTime sentAt);
    /// The same of an answer to an order, which tells nothing of requests.
    void answeredOrder(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head);
    /// The life that gave it; null where it is not on the list at that address.
    const std::string *speakerOf(const UpstreamRecord &asked, const AnswerNotice &notice) const;
    std::size_t connectionShare(const ServiceSpec &spec) const;
    /// Upstreams of @p service in the own region that do not leave.
    struct HeldBack
    {
        std::vector<const std::string *> askedForTime;
        std::vector<const std::string *> others;
    };
    HeldBack heldBackUpstreams(const std::string &service, SteadyTime now) const;
    /// No upstream of @p service may be asked, and one that asked for time may be later.
    bool holdsBackAll(const std::string &service, SteadyTime now) const;
    /// When there is room for a request that begins to wait now: its turn at an upstream with a limit, or the end of the time
    /// that one asked for. None where neither is known.
    std::optional<SteadyTime::duration> roomIn(const std::string &service, SteadyTime now);
    /// When a request that finds all upstreams held back so may come again: spread, so that they do not come together.
    SteadyTime::duration returnIn(const std::string &service, SteadyTime now);
    /// Daemons of the own region among which bounds of an upstream are divided: those listed or heard, whichever are more.
    unsigned daemonsSharing() const;
    Wire::DaemonPhase ownPhase() const;
    /// The sender of a digest and its phase.
    Wire::LoadDigestT digestHeader() const;
    void addServiceWaits(Wire::LoadDigestT &digest, SteadyTime now);

    Executor executor_;
    GatewayIdentity identity_;
    HeaderNames names_;
    const RcuCell<FleetView> &cell_;
    std::shared_ptr<const FleetView> view_;
    RandomSource &random_;
    Metrics &metrics_;
    GatewayOptions options_;
    PolicySettings policy_;
    ConnectionPool pool_;
    CrashGuard crashes_;
    UpstreamLoads loads_;
    RetryCredit retries_;
    RetryMembers retryMembers_;
    /// See shareRetries(); drawn once for the life of the process.
    double retryRounding_;
    ColdGate cold_;
    RegionTable regions_;
    OrganisationLimits organisationLimits_;
    /// The configuration whose limits are in force.
    std::shared_ptr<const ServiceMap> limitsOf_;
    LoadAggregation loadAggregation_;
    /// Which upstreams are this daemon's where a bound cannot be divided among all.
    StableOwner owners_;
    UpstreamLimits upstreamLimits_;
    UpstreamNotices notices_;
    /// Requests that wait for their turn at an upstream with a limit, by service.
    std::map<std::string, std::size_t> waitingForTurn_;
    /// Daemons of the own region in the view.
    unsigned listedInOwnRegion_ = 0;
    /// Upstreams of the own region by service; points into the view.
    std::unordered_map<std::string, std::vector<const UpstreamRecord *>> local_;
    /// Moves runs away from upstreams that are about to end, and those of other daemons when this one is.
    void saveRuns(SteadyTime now);
    /// Whether @p upstream ends in a moment.
    bool isEnding(const UpstreamRecord &upstream, SteadyTime now) const;
    void forgetStream(const std::string &upstream, Exchange *exchange);

    const UpstreamOrders *orders_ = nullptr;
    /// Streams in progress by upstream of the own region.
    std::unordered_map<std::string, std::set<Exchange *>> streams_;
    PeerRequestHandler *peerRequestHandler_ = nullptr;
    std::size_t bodyBytes_ = 0;
    std::set<const Exchange *> inProgress_;
    std::uint64_t digestSequence_ = 0;
    /// Parts that the digests of this round tell, by reach.
    std::array<std::vector<Wire::PlacedPart>, 2> roundParts_;
    std::optional<StopDeadlines> stop_;
    bool closed_ = false;
};

} // namespace Portpaddle
