// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/gossip_node.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

/// Room for the code at the end and for the estimate's error.
constexpr std::size_t fillLimit = largestDatagram - 160;
/// Leaves room for one more member, whose names may be long.
constexpr std::size_t introductionLimit = 900;
constexpr unsigned indirectProbes = 2;
/// Records of members that each probe repeats; more would crowd out figures.
constexpr unsigned repeatedRecords = 1;
/// One probe in so many goes to a member that is believed dead: it may have come back.
constexpr unsigned deadProbeInterval = 5;
constexpr std::size_t largestRelayTable = 256;
constexpr double budgetBurstSeconds = 1;
/// Daemons that tell the summary of their data centre: a second one, should the first be gone unnoticed.
constexpr unsigned summarySpeakers = 2;
/// What a datagram may cost; a push waits until the budget has it.
constexpr double pushCost = 600;

/// How often an item is told so that rumour reaches an audience of this size.
unsigned tellingsFor(std::size_t audience)
{
    return 2 + static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(audience) + 1)));
}

bool isUsable(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect || state == MemberState::Leaving;
}

} // namespace

GossipNode::GossipNode(GossipConfig config, const MemberUpdate &self, std::string clusterKey, RandomSource &random, Millis now)
    : config_(config)
    , clusterKey_(std::move(clusterKey))
    , random_(random)
    , members_(self, now)
    , targets_(members_, random)
    , figures_(self.id, self.dataCentre)
    , startedAt_(now)
    , nextProbeAt_(now)
    , nextPushAt_(now)
    , allowanceAt_(now)
    , allowance_(config.bytesPerSecond * budgetBurstSeconds)
{
    tellMember(members_.self());
}

std::vector<Datagram> GossipNode::tick(Millis now)
{
    std::vector<Datagram> out;
    const double seconds = static_cast<double>((now - allowanceAt_).count()) / 1000;
    allowance_ = std::min(config_.bytesPerSecond * budgetBurstSeconds, allowance_ + seconds * config_.bytesPerSecond);
    allowanceAt_ = now;
    followProbe(now, out);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + config_.probePeriod;
        beginProbe(now, out);
    }
    if (now >= nextPushAt_) {
        nextPushAt_ = now + config_.pushInterval;
        push(now, out);
    }
    return out;
}

std::vector<Datagram> GossipNode::receive(const SocketAddress &from, std::string_view bytes, Millis now)
{
    std::vector<Datagram> out;
    const std::optional<GossipMessage> message = decodeGossip(bytes, clusterKey_, now);
    if (!message || message->sender == members_.self().id) {
        rejected_ += message ? 0 : 1;
        return out;
    }
    takeNewsOf(*message, now);
    noteSender(*message, now);
    const bool local = members_.isLocal(message->sender);
    switch (message->kind) {
    case GossipKind::Ping:
        // A probe for somebody who had this address before is not answered: that somebody is gone.
        if (message->target.empty() || message->target == members_.self().id) {
            send(newMessage(GossipKind::Ack, members_.self().id, message->sequence), from, local, now, out);
        }
        if (message->target.empty()) {
            introduceMembers(from, now, out);
        }
        break;
    case GossipKind::PingRequest: {
        const MemberRecord *target = members_.find(message->target);
        if (target != nullptr && relays_.size() < largestRelayTable) {
            const std::uint32_t sequence = ++sequence_;
            relays_[sequence] = Relay{ from, message->sequence, message->target };
            send(newMessage(GossipKind::Ping, message->target, sequence), target->update.gossip,
                 members_.isLocal(message->target), now, out);
        }
        break;
    }
    case GossipKind::Ack: {
        const auto relay = relays_.find(message->sequence);
        if (relay != relays_.end() && relay->second.target == message->target) {
            send(newMessage(GossipKind::Ack, message->target, relay->second.askerSequence), relay->second.asker, true, now, out);
            relays_.erase(relay);
        }
        std::erase_if(probes_,
                      [&](const Probe &probe) { return probe.sequence == message->sequence && probe.target == message->target; });
        break;
    }
    case GossipKind::Push:
        break;
    }
    return out;
}

void GossipNode::setSeeds(std::vector<SocketAddress> seeds)
{
    seeds_ = std::move(seeds);
}

void GossipNode::leave()
{
    members_.leave();
    tellMember(members_.self());
}

void GossipNode::setSettingsVersion(std::uint64_t version)
{
    settingsVersion_ = version;
}

void GossipNode::announceUpstream(const UpstreamReport &report)
{
    const UpstreamDigest digest{
        shortKey(report.upstream),    report.sequence, report.observedAt, report.load.running, report.load.queuedInteractive,
        report.load.queuedDeferrable, report.leaving,  report.reachable
    };
    figures_.take(digest);
    items_.add(digest, tellingsHere());
}

void GossipNode::announceSummaries(const std::vector<SummaryEntry> &entries, Millis now)
{
    if (entries.empty() || !isResponsibleFor("summary", summarySpeakers)) {
        return;
    }
    items_.add(figures_.nextSummary(entries, now), tellingsEverywhere());
}

void GossipNode::announceDemand(const std::vector<OwnDemand> &demand, Millis now)
{
    ++demandSequence_;
    for (const OwnDemand &own : demand) {
        items_.add(figures_.ownDemand(own, demandSequence_), tellingsHere());
        if (isResponsibleFor(own.organisation)) {
            items_.add(figures_.nextTotal(own, now), tellingsEverywhere());
        }
    }
}

GossipUpdates GossipNode::takeUpdates()
{
    return std::exchange(news_, GossipUpdates{});
}

MemberTable GossipNode::memberTable(Millis now) const
{
    MemberTable table;
    table.counted = 0;
    for (const auto &[id, record] : members_.records()) {
        const MemberUpdate &update = record.update;
        MemberView view{ id, update.region, update.dataCentre, update.entryAddress, update.linkAddress, false, false, false };
        view.alive = isUsable(update.state);
        view.leaving = update.state == MemberState::Leaving;
        view.suspected = update.state == MemberState::Suspect || !dataCentreHeard(update.dataCentre, now);
        const bool vanishedLately = update.state == MemberState::Dead && now < record.since + config_.limitMemory;
        table.counted += view.alive || vanishedLately ? 1 : 0;
        table.partitioned = table.partitioned || (view.alive && view.suspected);
        table.members.push_back(std::move(view));
    }
    return table;
}

const std::map<std::string, DataCentreSummary> &GossipNode::summaries() const
{
    return figures_.summaries();
}

std::vector<OthersDemand> GossipNode::othersDemand(Millis now) const
{
    return figures_.othersDemand([&](const std::string &dataCentre) { return dataCentreHeard(dataCentre, now); }, now);
}

const MemberList &GossipNode::members() const
{
    return members_;
}

std::vector<std::string> GossipNode::localMembers() const
{
    std::vector<std::string> result = members_.probed(members_.self().dataCentre);
    std::erase_if(result, [&](const std::string &id) { return members_.find(id)->update.state != MemberState::Alive; });
    if (members_.self().state != MemberState::Leaving) {
        result.push_back(members_.self().id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool GossipNode::isResponsibleFor(const std::string &subject, unsigned places) const
{
    const std::uint64_t key = stableHash(subject);
    const double mine = rendezvousScore(key, stableHash(members_.self().id), 1);
    const std::vector<std::string> local = localMembers();
    // Whoever leaves has handed over, unless nobody else is left to do it.
    if (members_.self().state == MemberState::Leaving && !local.empty()) {
        return false;
    }
    unsigned before = 0;
    for (const std::string &id : local) {
        if (id != members_.self().id && rendezvousScore(key, stableHash(id), 1) > mine) {
            ++before;
        }
    }
    return before < places;
}

std::uint64_t GossipNode::rejected() const
{
    return rejected_;
}

GossipMessage GossipNode::newMessage(GossipKind kind, const std::string &target, std::uint32_t sequence) const
{
    GossipMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = members_.self().id;
    message.senderIncarnation = members_.self().incarnation;
    message.target = target;
    message.settingsVersion = settingsVersion_;
    return message;
}

void GossipNode::send(GossipMessage message, const SocketAddress &to, bool sameDataCentre, Millis now, std::vector<Datagram> &out)
{
    // Probes, answers and news of members always go out: they are rare. Figures are cut to what is left of the budget.
    const double room = std::clamp(allowance_, 0.0, static_cast<double>(fillLimit));
    items_.fill(message, FillLimits{ fillLimit, static_cast<std::size_t>(room) }, sameDataCentre);
    std::string bytes = encodeGossip(message, clusterKey_, now);
    allowance_ -= static_cast<double>(bytes.size());
    out.push_back(Datagram{ to, std::move(bytes) });
}

void GossipNode::beginProbe(Millis now, std::vector<Datagram> &out)
{
    ++period_;
    for (const MemberUpdate &died :
         members_.expireSuspects(config_.probePeriod * (config_.suspicionPeriods + tellingsHere()), now)) {
        news_.membersChanged = true;
        tellMember(died);
    }
    members_.forgetDead(config_.deadMemory, now);
    std::erase_if(relays_, [&](const auto &relay) { return relay.first + largestRelayTable < sequence_; });
    const std::optional<std::string> local = targets_.nextLocal();
    if (local) {
        probeTarget(*local, false, now, out);
    }
    const std::optional<std::string> remote = targets_.randomRemote();
    if (remote) {
        probeTarget(*remote, true, now, out);
    }
    const std::optional<std::string> dead = period_ % deadProbeInterval == 0 ? targets_.randomDead() : std::nullopt;
    if (dead) {
        probeTarget(*dead, true, now, out);
    }
    if (!local && !remote) {
        trySeeds(now, out);
    }
}

void GossipNode::followProbe(Millis now, std::vector<Datagram> &out)
{
    std::vector<Probe> open;
    for (Probe probe : probes_) {
        if (now >= probe.startedAt + config_.probePeriod) {
            // Only the own data centre judges its members: across a cut everyone would look dead to everyone.
            if (!probe.remote && members_.suspect(probe.target, now)) {
                news_.membersChanged = true;
                tellMember(members_.find(probe.target)->update);
            }
            continue;
        }
        if (!probe.indirect && !probe.remote && now >= probe.startedAt + config_.ackTimeout) {
            probe.indirect = true;
            std::vector<std::string> helpers = members_.probed(members_.self().dataCentre);
            std::erase(helpers, probe.target);
            for (unsigned count = 0; count < indirectProbes && !helpers.empty(); ++count) {
                const std::string helper = *targets_.pick(helpers);
                std::erase(helpers, helper);
                send(newMessage(GossipKind::PingRequest, probe.target, probe.sequence), members_.find(helper)->update.gossip,
                     true, now, out);
            }
        }
        open.push_back(std::move(probe));
    }
    probes_ = std::move(open);
}

void GossipNode::probeTarget(const std::string &target, bool remote, Millis now, std::vector<Datagram> &out)
{
    const MemberUpdate &update = members_.find(target)->update;
    const std::uint32_t sequence = ++sequence_;
    probes_.push_back(Probe{ target, sequence, now, false, remote });
    GossipMessage message = newMessage(GossipKind::Ping, target, sequence);
    if (update.state != MemberState::Alive) {
        // Whoever is suspected hears of it directly, to refute it.
        message.members.push_back(update);
    }
    addOldNews(message);
    send(std::move(message), update.gossip, members_.isLocal(target), now, out);
}

void GossipNode::addOldNews(GossipMessage &message)
{
    // News is told a bounded number of times, and all of those may be lost in a cut. Repeating a few records of everything
    // known, chosen by chance, makes views meet whatever was lost.
    const auto &records = members_.records();
    for (unsigned count = 0; count < repeatedRecords; ++count) {
        const auto chosen = std::next(records.begin(), static_cast<std::ptrdiff_t>(random_.below(records.size())));
        message.members.push_back(chosen->second.update);
    }
}

void GossipNode::push(Millis now, std::vector<Datagram> &out)
{
    if (!items_.hasMemberNews() && (items_.size() == 0 || allowance_ < pushCost)) {
        return;
    }
    const std::optional<std::string> target = targets_.pick(members_.probed(members_.self().dataCentre));
    if (target) {
        send(newMessage(GossipKind::Push, {}, 0), members_.find(*target)->update.gossip, true, now, out);
    }
}

void GossipNode::trySeeds(Millis now, std::vector<Datagram> &out)
{
    for (const SocketAddress &seed : seeds_) {
        if (seed == members_.self().gossip) {
            continue;
        }
        GossipMessage message = newMessage(GossipKind::Ping, {}, ++sequence_);
        message.members.push_back(members_.self());
        send(std::move(message), seed, false, now, out);
    }
}

void GossipNode::introduceMembers(const SocketAddress &newcomer, Millis now, std::vector<Datagram> &out)
{
    GossipMessage message = newMessage(GossipKind::Push, {}, 0);
    for (const auto &[id, record] : members_.records()) {
        if (isUsable(record.update.state)) {
            message.members.push_back(record.update);
        }
        if (emptyMessageSize(message) > introductionLimit) {
            out.push_back(Datagram{ newcomer, encodeGossip(message, clusterKey_, now) });
            message.members.clear();
        }
    }
    out.push_back(Datagram{ newcomer, encodeGossip(message, clusterKey_, now) });
}

void GossipNode::takeNewsOf(const GossipMessage &message, Millis now)
{
    for (const MemberUpdate &update : message.members) {
        applyUpdate(update, now);
    }
    if (message.settingsVersion > std::max(news_.settingsVersion, settingsVersion_)) {
        news_.settingsVersion = message.settingsVersion;
        news_.settingsHolder = message.sender;
    }
    for (const UpstreamDigest &digest : message.upstreams) {
        if (members_.isLocal(message.sender) && figures_.take(digest)) {
            news_.upstreams.push_back(digest);
            items_.add(digest, tellingsHere());
        }
    }
    for (const DataCentreSummary &summary : message.summaries) {
        if (figures_.take(summary)) {
            news_.summariesChanged = true;
            items_.add(summary, tellingsEverywhere());
        }
    }
    for (const DemandReport &report : message.demands) {
        if (figures_.take(report, now)) {
            items_.add(report, tellingsHere());
        }
    }
}

void GossipNode::applyUpdate(const MemberUpdate &update, Millis now)
{
    switch (members_.apply(update, now)) {
    case UpdateEffect::Nothing:
        return;
    case UpdateEffect::RefutesUs:
        tellMember(members_.self());
        return;
    case UpdateEffect::Changed:
        news_.membersChanged = true;
        tellMember(update);
        return;
    }
}

void GossipNode::tellMember(const MemberUpdate &update)
{
    items_.add(update, tellingsEverywhere());
}

void GossipNode::noteSender(const GossipMessage &message, Millis now)
{
    const MemberRecord *record = members_.find(message.sender);
    if (record == nullptr) {
        return;
    }
    members_.heardFrom(message.sender, now);
    dataCentreHeardAt_[record->update.dataCentre] = now;
}

unsigned GossipNode::tellingsHere() const
{
    return tellingsFor(localMembers().size());
}

unsigned GossipNode::tellingsEverywhere() const
{
    return tellingsFor(members_.records().size());
}

bool GossipNode::dataCentreHeard(const std::string &dataCentre, Millis now) const
{
    if (dataCentre == members_.self().dataCentre) {
        return true;
    }
    const auto heard = dataCentreHeardAt_.find(dataCentre);
    Millis latest = heard == dataCentreHeardAt_.end() ? startedAt_ : heard->second;
    // A large data centre hears directly of another only now and then: a fresh summary proves as much.
    latest = std::max(latest, figures_.summaryAt(dataCentre));
    return now < latest + config_.remoteSilence;
}

} // namespace Portpaddle
