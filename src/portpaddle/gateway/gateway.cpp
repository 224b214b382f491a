// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/gateway.h"

#include "portpaddle/base/scope_exit.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <exception>
#include <limits>

namespace Portpaddle {

Gateway::Gateway(Executor executor, GatewayIdentity identity, HeaderNames names, const RcuCell<FleetView> &view,
                 RandomSource &random, Metrics &metrics)
    : executor_(executor)
    , identity_(std::move(identity))
    , names_(std::move(names))
    , viewCell_(view)
    , view_(view.read())
    , random_(random)
    , metrics_(metrics)
    , pool_(executor)
    , crashes_(executor, pool_, metrics, identity_.id)
    , retryMembers_(identity_.id)
    , retryRounding_(random.fraction())
    , reach_(executor, pool_, identity_.region)
    , organisationLimits_(
          identity_.id, identity_.region,
          [this](std::uint32_t organisation, SteadyTime now) { return aggregatesLimitOf(organisation, now); },
          [this](const std::string &daemon, SteadyTime now) {
              return daemon != identity_.id && regions_.fellSilent(daemon, now);
          })
    , loadAggregation_(identity_.id, identity_.region, loads_, regions_, organisationLimits_)
    , owners_(identity_.id)
    , upstreamLimits_({ identity_.id, identity_.region }, owners_, metrics)
    , brittleServices_(identity_.region, owners_)
    , places_(executor, identity_.id, identity_.region, owners_,
              static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count()))
    , notices_(metrics)
    , reportedLoads_(identity_.region, metrics)
    , rollouts_(identity_.id, identity_.region, random.below(std::numeric_limits<std::uint64_t>::max()),
                [this](const std::string &daemon, SteadyTime now) { return regions_.fellSilent(daemon, now); })
    , streamVersions_(executor, identity_.id, identity_.region)
    , versionSets_(identity_.region)
{
    regions_.setOwnRegion(identity_.region);
    streamVersions_.setSoleVersion(
        [this](std::uint64_t service, const StreamVersions::SoleAnswer &answer) { proveSoleVersion(service, answer); });
}

Task<void> Gateway::serve(CallerRequest request, CallerWriter &writer, std::function<void()> &abandoned)
{
    if (request.relayed && peerRequestHandler_ != nullptr) {
        std::string target(request.message.target().data(), request.message.target().size());
        if (peerRequestHandler_->handles(target)) {
            WholeAnswer answer = co_await peerRequestHandler_->answer(std::move(target));
            co_await writer.whole(std::move(answer));
            co_return;
        }
    }
    const auto exchange = std::make_shared<Exchange>(*this, std::move(request), writer);
    inProgress_->insert(exchange.get());
    const ScopeExit registration([inProgress = inProgress_, entry = exchange.get()] { inProgress->erase(entry); });
    abandoned = [exchange] { exchange->callerLeft(); };
    std::exception_ptr failure;
    try {
        co_await exchange->run();
    } catch (...) {
        failure = std::current_exception();
    }
    if (failure) {
        co_await exchange->endAfter(failure);
    }
    abandoned = nullptr;
}

CallerLimits Gateway::limits() const
{
    return view_->services ? view_->services->limits : CallerLimits{};
}

const HeaderNames &Gateway::names() const
{
    return names_;
}

bool Gateway::closing() const
{
    return stop_.has_value();
}

MemoryBudget *Gateway::bodyMemory()
{
    return &bodyMemory_;
}

Metrics *Gateway::metrics()
{
    return &metrics_;
}

void Gateway::setOptions(const GatewayOptions &options)
{
    options_ = options;
    bodyMemory_.setLimit(options.bodyMemoryBytes);
    answerMemory_.setLimit(options.answerMemoryBytes);
    organisationLimits_.setTolerance(options.limitTolerance);
    retryMembers_.setSettling(options.listSettling);
    rollouts_.setTerms(options.rolloutTerms);
    versionSets_.setTerms({ options.drainBound, options.isFirstStart, options.regions });
    updateRetryBudget(BootClock::now());
}

/// Divides the extra retries by data centre first, because the number of data centres is known from the start. The daemons of one
/// data centre are seldom cut off from each other, so a daemon that knows only its own data centre does not spend the shares of
/// the others.
unsigned Gateway::retryDivisor() const
{
    return options_.dataCentres * retryMembers_.count(BootClock::now());
}

void Gateway::updateRetryBudget(SteadyTime now)
{
    if (view_->storeReachable) {
        retryMembers_.confirmList(now);
    }
    RetryBudgetOptions budget;
    budget.ratio = options_.retryRatio;
    budget.fixedPart = retryMembers_.maySpend(now) ? options_.extraRetriesPerWindow / retryDivisor() : 0;
    budget.rounding = retryRounding_;
    budget.window = options_.retryWindow;
    retries_.setOptions(budget, now);
}

void Gateway::setPolicy(const PolicySettings &policy)
{
    policy_ = policy;
    loads_.setPolicy(policy);
}

void Gateway::setOrders(const UpstreamOrders *orders)
{
    orders_ = orders;
}

bool Gateway::hasEnded(const std::string &upstream) const
{
    return !view_->upstreams.contains(upstream) || crashes_.hasEnded(upstream);
}

void Gateway::setPeerRequestHandler(PeerRequestHandler *handler)
{
    peerRequestHandler_ = handler;
}

void Gateway::viewChanged()
{
    const std::shared_ptr<const FleetView> earlier = std::exchange(view_, viewCell_.read());
    const SteadyTime now = BootClock::now();
    if (!view_->upstreams.sharesAllWith(earlier->upstreams)) {
        loads_.follow(*view_, *earlier);
        reportedLoads_.setView(*view_, *earlier);
        localUpstreams_.clear();
        localUpstreamsCurrent_ = false;
    }
    crashes_.setView(view_, now);
    reach_.setView(view_);
    loadAggregation_.setView(view_);
    if (!view_->daemons.sharesWith(earlier->daemons)) {
        daemonsChanged(now);
    }
    setLimits(now);
    setModels(*earlier);
    upstreamLimits_.setView(view_, now);
    brittleServices_.setView(view_, now);
    places_.setView(view_);
    notices_.setView(*view_, now);
    rollouts_.setView(view_);
    versionSets_.setView(view_, now);
    updateRetryBudget(now);
}

void Gateway::setModels(const FleetView &earlier)
{
    if (view_->services && view_->services != earlier.services) {
        models_.setServices(*view_->services);
    }
    models_.follow(*view_, earlier);
}

void Gateway::daemonsChanged(SteadyTime now)
{
    regions_.setDaemons(*view_, now);
    streamVersions_.setDaemons(view_->daemons);
    updateOwners(now);
    std::set<std::string> ownDataCentre;
    for (const DaemonRecord &daemon : view_->daemons) {
        if (daemon.dataCentre == identity_.dataCentre) {
            ownDataCentre.insert(daemon.id);
        }
    }
    retryMembers_.setListed(std::move(ownDataCentre), now);
}

const UpstreamSelection *Gateway::localUpstreams(const std::string &service)
{
    if (!localUpstreamsCurrent_) {
        std::unordered_map<std::string, std::vector<const UpstreamRecord *>> byService;
        for (const auto &[id, upstream] : view_->upstreams) {
            if (upstream.region == identity_.region) {
                byService[upstream.service].push_back(&upstream);
            }
        }
        for (auto &[name, upstreams] : byService) {
            localUpstreams_.emplace(name, UpstreamSelection(std::move(upstreams), identity_.id, identity_.dataCentre));
        }
        localUpstreamsCurrent_ = true;
    }
    const auto found = localUpstreams_.find(service);
    return found == localUpstreams_.end() ? nullptr : &found->second;
}

void Gateway::noteAnswer(const UpstreamRecord &asked, const AnswerNotice &notice, SteadyTime sentAt)
{
    const std::string *upstreamId = answeringIncarnation(asked, notice);
    if (upstreamId == nullptr) {
        return;
    }
    const SteadyTime now = BootClock::now();
    upstreamLimits_.answered(*upstreamId, notice.limit, notice.fromUpstream, sentAt, now);
    notices_.answered(*upstreamId, notice, now);
    reportedLoads_.answered(*upstreamId, notice.load, now);
}

void Gateway::noteOrderAnswer(const UpstreamRecord &asked, const boost::beast::http::response_header<> &head)
{
    AnswerNotice notice = readNotice(head, names_, std::chrono::system_clock::now());
    notice.fromUpstream = false;
    noteAnswer(asked, notice, BootClock::now());
}

/// Addresses are reused, so an answer counts only for the incarnation listed at the address it came from. The notice of an
/// unlisted incarnation is ignored: the incarnation is sent no requests, and it repeats the notice once listed.
const std::string *Gateway::answeringIncarnation(const UpstreamRecord &asked, const AnswerNotice &notice) const
{
    if (notice.incarnation.empty() || notice.incarnation == asked.registeredName) {
        return &asked.id;
    }
    for (const auto &[id, upstream] : view_->upstreams) {
        if (upstream.registeredName == notice.incarnation && upstream.address == asked.address) {
            return &id;
        }
    }
    return nullptr;
}

/// Where the path of this daemon fails, its upstreams are not to blame.
void Gateway::noteConnectFailed(const UpstreamRecord &upstream, SteadyTime now)
{
    reach_.connectFailed(upstream, now);
    if (reach_.reach(upstream.service) == Reach::Whole) {
        loads_.connectFailed(upstream.id, now);
    }
}

bool Gateway::aggregatesLimitOf(std::uint32_t organisation, SteadyTime now) const
{
    return !usesAggregators(*view_) || loadAggregation_.isAggregator(shardOf(organisation), now);
}

void Gateway::setLimits(SteadyTime now)
{
    organisationLimits_.setFleet(regions_.listedRegions(), static_cast<unsigned>(view_->daemons.size()));
    if (view_->services && view_->services != limitConfiguration_) {
        limitConfiguration_ = view_->services;
        organisationLimits_.setOrganisations(limitConfiguration_->organisations, now);
    }
}

unsigned Gateway::sharingDaemonCount() const
{
    // A daemon that has just started has heard no other daemon yet; one that is cut off from the store may hear more than are
    // listed.
    return std::max(regions_.daemonsInOwnRegion(), listedInOwnRegion_) + spareDaemons;
}

/// Leaves out silent daemons: the record of a dead daemon remains until its lease expires, and an upstream that it owned would be
/// sent nothing until then.
void Gateway::updateOwners(SteadyTime now)
{
    std::vector<std::uint64_t> members;
    listedInOwnRegion_ = 0;
    for (const DaemonRecord &daemon : view_->daemons) {
        if (daemon.region != identity_.region || daemon.leaving) {
            continue;
        }
        ++listedInOwnRegion_;
        if (daemon.id == identity_.id || !regions_.fellSilent(daemon.id, now)) {
            members.push_back(stableHash(daemon.id));
        }
    }
    owners_.setMembers(std::move(members), now);
}

void Gateway::tick()
{
    const SteadyTime now = BootClock::now();
    const bool stalled = hasStalled(now);
    if (stalled) {
        stalledUntil_ = now + options_.drainBound;
    }
    tickedAt_ = now;
    pool_.sweep(now);
    moveEndingRuns(now);
    crashes_.tick(now);
    reach_.tick(now);
    regions_.tick(now);
    updateOwners(now);
    versionSets_.tick(
        stalled,
        [this](const std::string &service) {
            return owners_.members() > 0 ? std::optional(owners_.rank(stableHash(service))) : std::nullopt;
        },
        now);
    announceStreams(now);
    upstreamLimits_.tick(now);
    brittleServices_.tick(now);
    places_.tick(now);
    confirmPlaces(now);
    reportedLoads_.tick(now);
    updateRetryBudget(now);
    coldGate_.setOptions({ options_.coldOvershoot, options_.coldSlack, sharingDaemonCount(), retryMembers_.ownListedSince() });
}

void Gateway::beginDrain(const StopDeadlines &stop)
{
    stop_ = stop;
}

const std::optional<StopDeadlines> &Gateway::stop() const
{
    return stop_;
}

void Gateway::beginClosing()
{
    closed_ = true;
}

std::size_t Gateway::inProgress() const
{
    return inProgress_->size();
}

void Gateway::answerUnfinished()
{
    // What an interruption ends at once leaves the set.
    const std::vector<Exchange *> exchanges(inProgress_->begin(), inProgress_->end());
    for (Exchange *exchange : exchanges) {
        exchange->endUnanswered();
    }
}

void Gateway::logUnfinished() const
{
    for (const Exchange *exchange : *inProgress_) {
        exchange->logUnfinished();
    }
}

std::shared_ptr<const FleetView> Gateway::view() const
{
    return view_;
}

const RegionTable &Gateway::regions() const
{
    return regions_;
}

const ReportedLoads &Gateway::reportedLoads() const
{
    return reportedLoads_;
}

const GatewayIdentity &Gateway::identity() const
{
    return identity_;
}

bool Gateway::ready() const
{
    return view_->services != nullptr && !stop_;
}

Wire::DaemonPhase Gateway::ownPhase() const
{
    if (closed_) {
        return Wire::DaemonPhase::Closing;
    }
    if (stop_) {
        return Wire::DaemonPhase::Stopping;
    }
    return ready() ? Wire::DaemonPhase::Serving : Wire::DaemonPhase::Starting;
}

Wire::DaemonPhase Gateway::phaseOf(const DaemonRecord &daemon, SteadyTime now) const
{
    if (daemon.id == identity_.id) {
        return ownPhase();
    }
    if (regions_.fellSilent(daemon.id, now)) {
        return Wire::DaemonPhase::Closing;
    }
    const Wire::DaemonPhase reported = regions_.phaseOf(daemon.id);
    return daemon.leaving && reported == Wire::DaemonPhase::Serving ? Wire::DaemonPhase::Stopping : reported;
}

bool Gateway::reachesUpstreams(const DaemonRecord &daemon) const
{
    return (daemon.id == identity_.id ? reach_.unreachable() : regions_.unreachableFrom(daemon.id)) == 0;
}

bool Gateway::othersServeRegion(SteadyTime now) const
{
    return std::any_of(view_->daemons.begin(), view_->daemons.end(), [this, now](const DaemonRecord &daemon) {
        return daemon.id != identity_.id && daemon.region == identity_.region
            && phaseOf(daemon, now) == Wire::DaemonPhase::Serving;
    });
}

} // namespace Portpaddle
