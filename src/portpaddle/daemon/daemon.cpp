// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/daemon/daemon.h"

#include "portpaddle/base/log.h"
#include "portpaddle/daemon/admin_server.h"
#include "portpaddle/interfaces/clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr Millis housekeepingInterval{ 200 };
constexpr Millis vmListInterval{ 15'000 };
constexpr Millis auditInterval{ 5'000 };
/// The number of daemons of a data centre that read the settings and the list of VMs for all its daemons.
constexpr unsigned platformReaders = 2;

} // namespace

Daemon::Daemon(DaemonConfig config, Platform &platform, const Clock &clock, RandomSource &random)
    : config_(std::move(config))
    , clock_(clock)
    , platform_(platform, metrics_)
    , snapshots_(board_, clock, remoteDispatches_)
    , claims_(platform_, clock, random, config_.id,
              [this](const std::string &daemon, const std::string &key) {
                  const Result<std::optional<std::string>> reply = links_.ask(daemon, "claim_ran", key);
                  return isOk(reply) && valueOf(reply).has_value();
              })
    , authenticator_(platform_, clock)
    , audit_(platform_, clock, config_.id)
    , links_(PeerIdentity{ config_.id, config_.place.dataCentre }, config_.clusterKey, board_, clock, metrics_)
    , dispatcher_(
          DispatcherParts{ board_, clock, random, metrics_, upstreamClient_, links_, remoteDispatches_, claims_, traces_ })
    , membership_(MembershipParts{ board_, clock, random, metrics_, config_.clusterKey, config_.gossipConfig,
                                   [this](const std::string &daemon, std::uint64_t version) { settings_.hint(daemon, version); },
                                   [this] { snapshots_.rebuild(); } })
    , settings_(SettingsControllerParts{
          board_, platform_, clock, config_.place, [this] { return membership_.isResponsibleFor("settings", platformReaders); },
          [this](const std::string &daemon, std::uint64_t after) -> std::optional<std::string> {
              Result<std::optional<std::string>> reply = links_.ask(daemon, "settings_after", std::to_string(after));
              return isOk(reply) ? valueOf(reply) : std::nullopt;
          },
          [this](std::uint64_t version) { onSettingsApplied(version); }, config_.settingsWatch })
    , observer_(ObserverParts{ board_, clock,
                               [this](const std::string &upstream) { return membership_.isResponsibleFor(upstream); },
                               [this](const UpstreamReport &report) { membership_.announceUpstream(report); },
                               [this] {
                                   snapshots_.rebuild();
                                   dispatcher_.wakeWaiting();
                               } })
    , orders_(OrderParts{ board_, clock, platform_, orderSender_, config_.place.dataCentre, config_.id,
                          [this] { return !board_.draining && membership_.isResponsibleFor("orders", platformReaders); } })
    , linkServer_(LinkServerParts{
          PeerIdentity{ config_.id, config_.place.dataCentre }, config_.clusterKey, board_, clock, metrics_, dispatcher_,
          [this](const PeerIdentity &peer, const std::string &kind, const std::string &argument) {
              return answerPeerRequest(peer, kind, argument);
          },
          [this](const std::string &daemon, std::uint64_t version) { settings_.hint(daemon, version); } })
    , entry_(EntryParts{ config_.id, board_, clock, random, metrics_, authenticator_, dispatcher_, config_.maximumStreams })
    , admin_(std::make_unique<AdminServer>(*this))
{
}

Daemon::~Daemon()
{
    beginDrain();
    {
        const std::lock_guard lock(housekeepingMutex_);
        stopping_ = true;
        housekeepingWake_.notify_all();
    }
    housekeepingThread_.join();
    admin_->stop();
    entry_.stop();
    linkServer_.stop();
    observer_.stop();
    settings_.stop();
    membership_.stop();
    links_.closeAll();
}

Result<DaemonAddresses> Daemon::start()
{
    DaemonAddresses addresses;
    const Result<SocketAddress> gossip = membership_.bindTo(config_.gossip);
    if (!isOk(gossip)) {
        return errorOf(gossip);
    }
    addresses.gossip = valueOf(gossip);
    const Result<SocketAddress> link = linkServer_.start(config_.link);
    if (!isOk(link)) {
        return errorOf(link);
    }
    addresses.link = valueOf(link);
    const Result<SocketAddress> admin = admin_->start(config_.admin);
    if (!isOk(admin)) {
        return errorOf(admin);
    }
    addresses.admin = valueOf(admin);
    const Result<SocketAddress> entry = entry_.start(config_.entry);
    if (!isOk(entry)) {
        return errorOf(entry);
    }
    addresses.entry = valueOf(entry);

    MemberUpdate self;
    self.id = config_.id;
    self.region = config_.place.region;
    self.dataCentre = config_.place.dataCentre;
    self.gossip = addresses.gossip;
    self.linkAddress = toText(addresses.link);
    self.entryAddress = toText(addresses.entry);
    // A restarted daemon gets a higher incarnation; if the wall clock went back, refuting a suspicion raises the incarnation.
    self.incarnation = static_cast<std::uint64_t>(clock_.wall().count());
    membership_.start(self, config_.seeds);
    settings_.start();
    observer_.start();
    housekeepingThread_ = Thread("house", [this] { runHousekeeping(); });
    logEvent(LogEvent::DaemonStarted,
             { { "daemon", config_.id }, { "entry", self.entryAddress }, { "admin", toText(addresses.admin) } });
    return addresses;
}

void Daemon::beginDrain()
{
    if (board_.draining.exchange(true)) {
        return;
    }
    logEvent(LogEvent::DaemonStopping, { { "in_progress", std::to_string(entry_.requestsInProgress()) } });
    membership_.leave();
}

void Daemon::stopGracefully()
{
    beginDrain();
    entry_.finishRequests();
    linkServer_.finishRequests();
    logEvent(LogEvent::DaemonStopped, { { "daemon", config_.id } });
}

Blackboard &Daemon::board()
{
    return board_;
}

Metrics &Daemon::metrics()
{
    return metrics_;
}

SettingsController &Daemon::settings()
{
    return settings_;
}

MembershipController &Daemon::membership()
{
    return membership_;
}

const DaemonConfig &Daemon::config() const
{
    return config_;
}

std::optional<std::string> Daemon::findExplanation(const std::string &requestId)
{
    // The id begins with the name of the daemon that received the request. Only that daemon knows its whole path, others know
    // parts.
    const std::size_t dash = requestId.rfind('-');
    const std::string daemon = requestId.substr(0, dash == std::string::npos ? 0 : dash);
    if (!daemon.empty() && daemon != config_.id) {
        Result<std::optional<std::string>> reply = links_.ask(daemon, "explain", requestId);
        if (isOk(reply) && valueOf(reply)) {
            return valueOf(reply);
        }
    }
    return explainLocally(requestId, config_.place.region);
}

Result<SettingsChange> Daemon::proposeSettings(const ChangeProposal &proposal)
{
    Result<SettingsChange> accepted = settingsLog().propose(proposal, settings_.tree());
    if (!isOk(accepted)) {
        logEvent(LogEvent::SettingsRejected, { { "author", proposal.author }, { "reason", errorOf(accepted).message } });
        return accepted;
    }
    logEvent(LogEvent::SettingsAccepted,
             { { "author", proposal.author }, { "version", std::to_string(valueOf(accepted).version) } });
    settings_.takeChanges({ valueOf(accepted) });
    return accepted;
}

AuditTrail &Daemon::audit()
{
    return audit_;
}

SettingsLog Daemon::settingsLog()
{
    return SettingsLog(platform_, clock_);
}

const OrderController &Daemon::orders() const
{
    return orders_;
}

std::size_t Daemon::requestsInProgress() const
{
    return entry_.requestsInProgress();
}

std::optional<std::string> Daemon::answerPeerRequest(const PeerIdentity &peer, const std::string &kind,
                                                     const std::string &argument)
{
    if (kind == "settings_after") {
        constexpr std::size_t maxDigits = 19;
        const bool numeric
            = !argument.empty() && argument.size() <= maxDigits && argument.find_first_not_of("0123456789") == std::string::npos;
        return numeric ? std::optional{ settings_.changesAfter(std::stoull(argument)) } : std::nullopt;
    }
    if (kind == "claim_ran") {
        return claims_.ranHere(argument) ? std::optional<std::string>{ "ran" } : std::nullopt;
    }
    if (kind == "explain") {
        return explainLocally(argument, board_.settings.read()->regionOf(peer.dataCentre));
    }
    return std::nullopt;
}

std::optional<std::string> Daemon::explainLocally(const std::string &requestId, const std::string &requesterRegion) const
{
    const std::shared_ptr<const RequestTrace> trace = traces_.find(requestId);
    if (!trace) {
        return std::nullopt;
    }
    // The trace of a request may only go to regions that the residency of the request allows.
    const std::shared_ptr<const CompiledSettings> settings = board_.settings.read();
    if (!settings->policy(trace->organisation, trace->service).allowsRegion(requesterRegion)) {
        return std::nullopt;
    }
    return explain(*trace).dump();
}

void Daemon::onSettingsApplied(std::uint64_t version)
{
    membership_.setSettingsVersion(version);
    std::vector<std::string> upstreams;
    for (const UpstreamSettings &upstream : board_.settings.read()->upstreams()) {
        upstreams.push_back(upstream.id);
    }
    board_.upstreams.keepOnly(upstreams);
    snapshots_.rebuild();
    dispatcher_.wakeWaiting();
}

void Daemon::runHousekeeping()
{
    Millis vmListAt{ 0 };
    Millis auditAt{ 0 };
    while (true) {
        const Millis now = clock_.monotonic();
        const bool readsVmList = membership_.isAlone() || membership_.isResponsibleFor("vm_list", platformReaders);
        if (readsVmList && (vmListAt == Millis{ 0 } || now >= vmListAt + vmListInterval)) {
            vmListAt = now;
            readVmList();
        }
        if (now >= auditAt + auditInterval) {
            auditAt = now;
            audit_.flush();
        }
        orders_.step();
        // The end of an ejection and the progress of warming depend on time alone, without any event that would trigger a
        // rebuild.
        snapshots_.rebuild();
        std::unique_lock lock(housekeepingMutex_);
        housekeepingWake_.wait_for(lock, housekeepingInterval, [this] { return stopping_; });
        if (stopping_) {
            return;
        }
    }
}

void Daemon::readVmList()
{
    const Result<std::vector<VmEntry>> listed = platform_.vms();
    if (!isOk(listed)) {
        return;
    }
    std::vector<SocketAddress> seeds = config_.seeds;
    std::vector<std::string> leaving;
    for (const VmEntry &entry : valueOf(listed)) {
        const Result<SocketAddress> address = parseSocketAddress(entry.gossipAddress);
        if (isOk(address)) {
            seeds.push_back(valueOf(address));
        }
        if (entry.leaving) {
            leaving.push_back(entry.id);
        }
    }
    membership_.setSeeds(std::move(seeds));
    board_.upstreams.markLeavingByVmList(leaving);
}

} // namespace Portpaddle
