// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The request path of a daemon on one event loop: accepts requests, chooses a target and forwards them to upstreams and other
/// regions.
#pragma once

#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/callers/caller_session.h"
#include "portpaddle/crashes/crash_guard.h"
#include "portpaddle/exchanges/target.h"
#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/stable_owner.h"
#include "portpaddle/gateway/policy_settings.h"
#include "portpaddle/gateway/stop_rules.h"
#include "portpaddle/limits/organisation_limits.h"
#include "portpaddle/load_model/load_models.h"
#include "portpaddle/placement/region_table.h"
#include "portpaddle/placement/upstream_loads.h"
#include "portpaddle/placement/upstream_selection.h"
#include "portpaddle/reachability/reach_monitor.h"
#include "portpaddle/retries/retry_credit.h"
#include "portpaddle/retries/retry_members.h"
#include "portpaddle/rollouts/rollout_coordinator.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/stream_versions/stream_versions.h"
#include "portpaddle/stream_versions/version_set_reader.h"
#include "portpaddle/stream_versions/version_set_recorder.h"
#include "portpaddle/streams/run_move.h"
#include "portpaddle/upstream_limits/cold_gate.h"
#include "portpaddle/upstream_limits/upstream_limits.h"
#include "portpaddle/upstream_notices/upstream_notices.h"
#include "portpaddle/upstream_places/brittle_services.h"
#include "portpaddle/upstream_places/upstream_places.h"
#include "portpaddle/upstream_reports/reported_loads.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Portpaddle {

class Exchange;
class Metrics;
class RandomSource;
class UpstreamOrders;

/// Identifies this daemon.
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
    /// Number of data centres over which the extra retries are divided evenly.
    unsigned dataCentres = 1;
    /// A daemon that has been listed for less than this gets no share of the extra retries. Daemons learn of each other within
    /// about two seconds.
    std::chrono::milliseconds listSettling{ 3'000 };
    /// How long a request waits for the first configuration after a start. A healthy store answers in milliseconds.
    std::chrono::milliseconds configurationWait{ 300 };
    /// How long a request that another daemon accepted under a newer configuration waits for it. Asking a daemon of another
    /// region takes two round trips.
    std::chrono::milliseconds catchUpWait{ 500 };
    /// Runs are moved this long before their upstream ends, and earlier by the time that their copies take one after the other;
    /// the check runs every 100 ms.
    std::chrono::milliseconds moveLead{ 500 };
    /// Streams of other daemons are handed over this long before this daemon ends: longer than moveLead, because the
    /// link adds one more one-way latency.
    std::chrono::milliseconds handOverLead{ 800 };
    /// Minimum time for which a leaving upstream serves after its announcement.
    std::chrono::milliseconds drainBound{ 3'000 };
    std::size_t bodyMemoryBytes = 64 * 1024 * 1024;
    /// Memory for answers that are held until they are complete; further answers are passed on as they arrive.
    std::size_t answerMemoryBytes = 64 * 1024 * 1024;
    /// By how much organisations' limits may be exceeded.
    LimitTolerance limitTolerance;
    RolloutTerms rolloutTerms;
    /// All regions in which streams may begin.
    std::set<std::string> regions;
    /// The whole fleet starts for the first time.
    bool isFirstStart = false;
    /// For how long a silent upstream and the one that is to replace it may both work on a request. An upstream that refuses a
    /// request does so at once.
    std::chrono::milliseconds maxSharedRun{ 300 };
    /// A process that did not run for this long may have missed changes of the store.
    std::chrono::milliseconds stallBound{ 1'000 };
};

/// Exchanges by the upstream that streams to them.
using StreamsByUpstream = std::unordered_map<std::string, std::set<Exchange *>>;

/// Handles the requests of one event loop and must only be used from it; only the view is written by another thread.
class Gateway : public RequestHandler
{
public:
    Gateway(Executor executor, GatewayIdentity identity, HeaderNames names, const RcuCell<FleetView> &view, RandomSource &random,
            Metrics &metrics);

    Task<void> serve(CallerRequest request, CallerWriter &writer, std::function<void()> &abandoned) override;
    CallerLimits limits() const override;
    const HeaderNames &names() const override;
    bool closing() const override;
    MemoryBudget *bodyMemory() override;
    Metrics *metrics() override;

    void setOptions(const GatewayOptions &options);
    void setPolicy(const PolicySettings &policy);
    /// Sets the orders by which engines move the memory of runs; without orders no run is moved.
    void setOrders(const UpstreamOrders *orders);
    /// Sets the function that writes quarantined requests to the platform; see CrashGuard.
    void setQuarantineWriter(CrashGuard::WriteRecord write);
    /// Sets the function that writes the limits named by upstreams to the platform.
    void setLimitWriter(UpstreamLimits::WriteRecord write);
    /// Returns the digests about requests during which upstreams ended; call once in each interval.
    std::vector<OutgoingDigest> dueCrashDigests();
    /// Sets the function that writes decisions about rollouts to the platform.
    void setRolloutWriter(RolloutController::WriteRecord write);
    /// Returns the digests about rollouts; call once in each interval.
    std::vector<OutgoingDigest> dueRolloutDigests();
    /// Sets the function that writes sets of versions to the platform.
    void setVersionSetWriter(VersionSetRecorder::WriteRecord write);
    /// Reads the version sets from the platform as they are now; may call back on any thread.
    using ReadVersionSets = std::function<void(VersionSetReader::Receive receive)>;
    /// Without it no stream is known by the only version of its service.
    void setVersionSetReader(ReadVersionSets read);
    /// Sets the function that sends a digest at once.
    void setDigestSender(const std::function<void(const OutgoingDigest &digest)> &send);
    /// Returns the digests about limits named by upstreams and about brittle services; call once in each interval.
    std::vector<OutgoingDigest> dueLimitDigests();
    /// Sets the handler for other daemons' requests for the state of the store; it must outlive the gateway.
    void setPeerRequestHandler(PeerRequestHandler *handler);
    /// Sets the function that asks another daemon for its configuration, which is newer; it must not block.
    void setCatchUp(std::function<void(const std::string &address)> catchUp);
    /// Reads the view again; call when a newer one was published.
    void viewChanged();
    void setDigestInterval(std::chrono::milliseconds interval);
    void applyDigest(const Wire::LoadDigestT &digest);
    /// Collects the prompt parts placed since the last call; the digests that follow announce them.
    void beginDigestRound(DigestReach reach);
    /// Returns the digests to send now, each in a datagram of its own.
    std::vector<Wire::LoadDigestT> digests(DigestReach reach);
    /// Returns the digests that a daemon of a fleet with aggregators sends at this turn; see LoadAggregation.
    std::vector<OutgoingDigest> dueFleetDigests(std::size_t turn);
    /// Runs periodic work; call a few times a second.
    void tick();
    /// From now on answers close their connections, and requests that may not end in time are refused.
    void beginDrain(const StopDeadlines &stop);
    /// Returns the deadlines of a stop in progress; no value if none has begun.
    const std::optional<StopDeadlines> &stop() const;
    /// From now on the daemon reports that it accepts no callers.
    void beginClosing();
    /// Returns whether another daemon of the own region accepts callers.
    bool othersServeRegion(SteadyTime now) const;
    std::size_t inProgress() const;
    /// Ends the requests of which no answer has begun, with an answer to each.
    void answerUnfinished();
    /// Logs each request whose answer is cut off by the end of this daemon.
    void logUnfinished() const;
    std::shared_ptr<const FleetView> view() const;
    const RegionTable &regions() const;
    const ReportedLoads &reportedLoads() const;
    const GatewayIdentity &identity() const;
    /// Returns whether a configuration is known and no stop has begun.
    bool ready() const;
    /// Returns the number of daemons over which the extra retries are divided, assuming as many in each data centre as in the own
    /// one.
    unsigned retryDivisor() const;
    /// Returns the phase in which callers should expect @p daemon to be.
    Wire::DaemonPhase phaseOf(const DaemonRecord &daemon, SteadyTime now) const;
    /// Returns whether @p daemon reaches the upstreams of all services, as far as is known.
    bool reachesUpstreams(const DaemonRecord &daemon) const;
    /// Describes @p records, as candidates for a request with @p prompt that was sent to @p tried before.
    std::vector<UpstreamCandidate> describe(const std::vector<const UpstreamRecord *> &records, const ServiceSpec &spec,
                                            const PromptFacts &prompt, const std::vector<std::string> &tried, SteadyTime now);

private:
    friend class Exchange;

    /// Daemons of a region that may be added or come back while other daemons do not count them yet.
    static constexpr unsigned spareDaemons = 1;

    /// The inputs of a choice besides the request itself.
    struct ChoiceContext
    {
        const Route &route;
        /// The organisation of the request; null where it does not matter for the choice.
        const Organisation *organisation;
        Urgency urgency;
        const std::string &service;
        /// Upstreams, regions and daemons to which the request must not be sent again.
        const std::vector<std::string> &tried;
        /// The answer is useless to the caller after this time.
        SteadyTime deadline;
        /// Whole events that the caller has received.
        std::size_t eventsSeen = 0;
        /// The predicted end of the answer must not be later than this.
        SteadyTime completionDeadline = SteadyTime::max();
        std::optional<VersionRule> versionRule{};
        /// The versions of the service to which the request may be sent.
        VersionArm arm = VersionArm::Any;
        /// The version that began the stream, which goes on at no other.
        std::optional<VersionKey> streamVersion{};
        /// A stream that can be taken up begins, which it does only at versions that all daemons know.
        bool beginsStream = false;
        /// The upstreams that may have run the request.
        UpstreamKeys ranAt{};
        /// No other region is considered.
        bool ownRegionOnly = false;

        bool allowsRegion(std::string_view region) const;
    };

    /// Chooses the target of @p request and counts the request there.
    Target choose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now);
    /// Returns the target that choose() would choose, without counting the request.
    Target propose(const CallerRequest &request, const ChoiceContext &context, SteadyTime now);
    /// As propose(), without regard to other versions if none of the wanted one is available.
    Target proposeArm(const CallerRequest &request, const ChoiceContext &context, SteadyTime now);
    /// Returns the load model of @p service; the initial one if models are not to be learned.
    const FirstTokenModel &modelOf(const std::string &service) const;
    /// Returns the candidates for a request and fills @p records with the records to which their indexes refer.
    std::vector<UpstreamCandidate> localCandidates(const CallerRequest &request, const ChoiceContext &context,
                                                   const ServiceSpec &spec, std::vector<const UpstreamRecord *> &records,
                                                   SteadyTime now);
    /// Excludes the upstreams that may have run the request.
    static void excludeWhereItRan(const ChoiceContext &context, std::vector<UpstreamCandidate> &candidates,
                                  const std::vector<const UpstreamRecord *> &records);
    /// Excludes the upstreams whose version the request may not be sent to.
    void excludeVersions(const ChoiceContext &context, std::vector<UpstreamCandidate> &candidates,
                         const std::vector<const UpstreamRecord *> &records, SteadyTime now) const;
    /// Returns the one version at which all streams of @p route at @p service begin, as far as this daemon knows. That may be
    /// seconds old, so it proves nothing of a stream; see provenSoleVersion().
    std::optional<VersionKey> soleVersion(const Route &route, const std::string &service, SteadyTime now) const;
    /// Returns the one version at which all streams of the service with this hash begin according to @p sets, for all its routes.
    std::optional<VersionKey> soleVersionOf(std::uint64_t service, const VersionSets &sets) const;
    /// Whether what this daemon knows of the store may be believed as far as it goes.
    bool followsStore(SteadyTime now) const;
    /// Returns the one version at which all streams of @p route at @p service began that began before this call; no value if that
    /// is not certain.
    Task<std::optional<VersionKey>> provenSoleVersion(const Route &route, const std::string &service);
    /// As above for all routes of the service with this hash, as other daemons ask for it.
    void proveSoleVersion(std::uint64_t service, const StreamVersions::SoleAnswer &answer);
    /// Tells other daemons of streams in progress whose version they cannot know otherwise.
    void announceStreams(SteadyTime now);
    /// Returns whether this process did not run for a while, so that what it knows of the store may be old.
    bool hasStalled(SteadyTime now) const;
    /// Returns a daemon of the own region that reaches the upstreams of the service, for a request for which this daemon does
    /// not; null if there is none or none is needed. Makes the upstreams that it reaches usable in @p upstreams.
    const DaemonRecord *relayBeside(const CallerRequest &request, const ChoiceContext &context,
                                    std::vector<UpstreamCandidate> &upstreams, SteadyTime now);
    /// Raises the cached tokens expected at the upstreams and the region that prefix affinity ranks first for @p prompt.
    void applyPrefixAffinity(const PromptFacts &prompt, const std::string &service, std::vector<UpstreamCandidate> &upstreams,
                             const std::vector<const UpstreamRecord *> &records, std::vector<RegionCandidate> &regions,
                             const std::vector<std::string> &regionNames);
    /// Returns the version of the configuration in force; zero where none is known.
    std::uint64_t configurationVersion() const;
    /// Asks the daemon of @p newer for its configuration, if that is newer than the one in force.
    void catchUpWith(const ConfigurationStamp &newer);
    /// Removes the regions of which only daemons with an older configuration are left, unless there is no other region.
    void passOverOlderRegions(std::vector<RegionCandidate> &regions, const std::vector<std::string> &regionNames,
                              const ChoiceContext &context, SteadyTime now);
    /// Recomputes this daemon's share of the retry budget.
    void updateRetryBudget(SteadyTime now);
    /// Returns whether this daemon aggregates the usage of @p organisation for its region.
    bool aggregatesLimitOf(std::uint32_t organisation, SteadyTime now) const;
    void setLimits(SteadyTime now);
    /// Adapts the load models to the services and upstreams of the view.
    void setModels(const FleetView &earlier);
    /// Updates the daemons of the own region that may own a bound that cannot be divided among all of them.
    void updateOwners(SteadyTime now);
    ExclusionReason exclusionReasonOf(const UpstreamRecord &upstream, const ServiceSpec &spec, SteadyTime now);
    /// Records the response header that an upstream at the address of @p asked sent to a request sent at @p sentAt.
    void noteAnswer(const UpstreamRecord &asked, const AnswerNotice &notice, SteadyTime sentAt);
    /// Records whether the service of @p asked is brittle. Answers of other incarnations there say nothing of it.
    void noteBrittle(const UpstreamRecord &asked, const AnswerNotice &notice, SteadyTime sentAt, SteadyTime now);
    /// Tells the daemons of the own region at once which services are brittle.
    void announceBrittleServices(SteadyTime now);
    /// Keeps the places that requests of this daemon have at brittle upstreams.
    void confirmPlaces(SteadyTime now);
    /// As noteAnswer(), for the response to an order, which says nothing about requests.
    void noteOrderAnswer(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head);
    /// Returns the id of the incarnation that answered; null where it is not listed at that address.
    const std::string *answeringIncarnation(const UpstreamRecord &asked, const AnswerNotice &notice) const;
    /// Records that no connection to @p upstream could be opened.
    void noteConnectFailed(const UpstreamRecord &upstream, SteadyTime now);
    std::size_t connectionShare(const ServiceSpec &spec) const;
    /// Upstreams of a service in the own region that are not leaving.
    struct ActiveUpstreams
    {
        std::vector<const std::string *> backingOff;
        std::vector<const std::string *> others;
    };
    ActiveUpstreams activeUpstreams(const std::string &service, SteadyTime now);
    /// Returns whether every upstream of @p service is excluded and at least one of them is only backing off.
    bool allBackingOff(const std::string &service, SteadyTime now);
    /// Returns the time until a request that begins to wait now can be sent: its turn at an upstream with a limit, or the end of
    /// an upstream's back-off. No value where neither is known.
    std::optional<SteadyTime::duration> timeUntilRoom(const std::string &service, SteadyTime now);
    /// Returns when a request that finds no upstream to send to should be retried, with a random spread so that retries do not
    /// arrive together.
    SteadyTime::duration suggestedRetryDelay(const std::string &service, SteadyTime now);
    /// Returns the number of daemons of the own region among which bounds of an upstream are divided: the larger of those listed
    /// and those heard.
    unsigned sharingDaemonCount() const;
    Wire::DaemonPhase ownPhase() const;
    /// Returns a digest that has only the fields of the sender.
    Wire::LoadDigestT digestHeader() const;
    void addServiceWaits(Wire::LoadDigestT &digest, SteadyTime now);
    /// Adds the samples for the load models of the other daemons to digests for the own region.
    void attachSamples(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header);

    Executor executor_;
    GatewayIdentity identity_;
    HeaderNames names_;
    const RcuCell<FleetView> &viewCell_;
    std::shared_ptr<const FleetView> view_;
    RandomSource &random_;
    Metrics &metrics_;
    GatewayOptions options_;
    PolicySettings policy_;
    ConnectionPool pool_;
    CrashGuard crashes_;
    UpstreamLoads loads_;
    LoadModels models_;
    RetryCredit retries_;
    RetryMembers retryMembers_;
    /// Random rounding of this daemon's share of extra retries; drawn once for the life of the process. See updateRetryBudget().
    double retryRounding_;
    ColdGate coldGate_;
    ReachMonitor reach_;
    RegionTable regions_;
    OrganisationLimits organisationLimits_;
    /// The configuration whose limits are in force.
    std::shared_ptr<const ServiceMap> limitConfiguration_;
    LoadAggregation loadAggregation_;
    /// Decides which upstreams this daemon owns where a bound cannot be divided among all daemons.
    StableOwner owners_;
    UpstreamLimits upstreamLimits_;
    BrittleServices brittleServices_;
    UpstreamPlaces places_;
    UpstreamNotices notices_;
    ReportedLoads reportedLoads_;
    /// Number of turns in which all daemons of the own region are sent a digest, in a fleet without aggregators.
    unsigned localDigestTurns_ = 1;
    RolloutCoordinator rollouts_;
    StreamVersions streamVersions_;
    std::function<void(const OutgoingDigest &digest)> sendDigest_ = [](const OutgoingDigest &) {};
    VersionSetRecorder versionSets_;
    ReadVersionSets readVersionSets_ = [](const VersionSetReader::Receive &receive) { receive(std::nullopt); };
    std::optional<SteadyTime> tickedAt_;
    /// Until then the process may not have caught up with the store after a stall.
    SteadyTime stalledUntil_{};
    /// Number of requests that wait to be sent to an upstream with a limit, by service.
    std::map<std::string, std::size_t> waitingRequests_;
    /// Daemons of the own region in the view.
    unsigned listedInOwnRegion_ = 0;
    /// Upstreams of the own region by service; points into the view. Built when it is first needed after a change.
    std::unordered_map<std::string, UpstreamSelection> localUpstreams_;
    bool localUpstreamsCurrent_ = false;
    /// Returns the upstreams of @p service in the own region; null if there are none.
    const UpstreamSelection *localUpstreams(const std::string &service);
    /// Adapts to the daemons of the view, which differ from those of the view before.
    void daemonsChanged(SteadyTime now);
    /// Moves runs away from upstreams that end soon, and hands over those of other daemons when this daemon does.
    void moveEndingRuns(SteadyTime now);
    /// Begins to move some of the runs of @p upstream, of which only few are copied at once.
    void moveRunsOf(const UpstreamRecord &upstream, const std::set<Exchange *> &exchanges, SteadyTime now);
    /// Records that the move of a run from @p source took the time @p took, and begins others; without a time it failed, and
    /// the next ones begin at the next tick.
    void copyEnded(const std::string &source, std::optional<SteadyTime::duration> took);
    /// Returns the time at which an upstream that is leaving may end.
    SteadyTime endOf(const UpstreamRecord &upstream) const;
    /// Returns whether the move of @p runs from @p upstream has to begin.
    bool isEnding(const UpstreamRecord &upstream, std::size_t runs, SteadyTime now) const;
    /// Returns whether a run that @p upstream stopped may go on there.
    bool mayReturnTo(const UpstreamRecord &upstream, SteadyTime now) const;
    /// Returns whether @p upstream is known to have ended.
    bool hasEnded(const std::string &upstream) const;

    const UpstreamOrders *orders_ = nullptr;
    /// Streams in progress by upstream of the own region. Shared with their registrations, which end after the gateway where the
    /// event loop does.
    std::shared_ptr<StreamsByUpstream> streams_ = std::make_shared<StreamsByUpstream>();
    /// Number of runs that are copied from an upstream.
    std::unordered_map<std::string, std::size_t> copiesUnderWay_;
    /// Recent time that the move of one run took.
    SteadyTime::duration moveTime_ = std::chrono::milliseconds(20);
    PeerRequestHandler *peerRequestHandler_ = nullptr;
    std::function<void(const std::string &address)> catchUp_ = [](const std::string &) {};
    MemoryBudget bodyMemory_;
    MemoryBudget answerMemory_;
    std::shared_ptr<std::set<Exchange *>> inProgress_ = std::make_shared<std::set<Exchange *>>();
    std::uint64_t digestSequence_ = 0;
    /// Prompt parts that the digests of this round announce, by reach.
    std::array<std::vector<Wire::PlacedPart>, 2> announcedParts_;
    std::optional<StopDeadlines> stop_;
    bool closed_ = false;
};

} // namespace Portpaddle
