// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/gossip_node.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

/// Leaves room for the authentication code and for errors of the size estimate.
constexpr std::size_t fillLimit = maxDatagramBytes - 160;
/// Size at which a datagram of members for a newcomer is sent; leaves room for one more member with long names.
constexpr std::size_t memberDatagramLimit = 900;
constexpr double budgetBurstSeconds = 1;
/// Daemons that announce the summary of their data centre; the second covers an undetected failure of the first.
constexpr unsigned summaryAnnouncers = 2;
/// Bytes that the budget must hold before a push with load figures is sent.
constexpr double minPushBudget = 600;

/// Returns how often each member sends an item so that the item reaches a group of this size.
unsigned transmissionsFor(std::size_t groupSize)
{
    return 2 + static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(groupSize) + 1)));
}

bool isActive(MemberState state)
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
    , byteBudgetAt_(now)
    , byteBudget_(config.bytesPerSecond * budgetBurstSeconds)
{
    announceMember(members_.self());
}

std::vector<Datagram> GossipNode::tick(Millis now)
{
    std::vector<Datagram> out;
    const double seconds = static_cast<double>((now - byteBudgetAt_).count()) / 1000;
    byteBudget_ = std::min(config_.bytesPerSecond * budgetBurstSeconds, byteBudget_ + seconds * config_.bytesPerSecond);
    byteBudgetAt_ = now;
    checkProbes(now, out);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + config_.probePeriod;
        beginProbeRound(now, out);
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
        rejectedDatagrams_ += message ? 0 : 1;
        return out;
    }
    applyMessage(*message, now);
    noteSender(*message, now);
    const bool local = members_.isLocal(message->sender);
    switch (message->kind) {
    case GossipKind::Ping:
        // A probe for a member that had this address before is not answered: that member is gone.
        if (message->target.empty() || message->target == members_.self().id) {
            send(newMessage(GossipKind::Ack, members_.self().id, message->sequence), from, local, now, out);
        }
        if (message->target.empty()) {
            sendMembers(from, now, out);
        }
        break;
    case GossipKind::PingRequest: {
        const MemberRecord *target = members_.find(message->target);
        if (target != nullptr && relays_.size() < maxRelays) {
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
            send(newMessage(GossipKind::Ack, message->target, relay->second.requesterSequence), relay->second.requester, true,
                 now, out);
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
    announceMember(members_.self());
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
    figures_.storeIfNewer(digest);
    items_.add(digest, localTransmissions());
}

void GossipNode::announceSummaries(const std::vector<SummaryEntry> &entries, Millis now)
{
    if (entries.empty() || !isResponsibleFor("summary", summaryAnnouncers)) {
        return;
    }
    items_.add(figures_.nextSummary(entries, now), globalTransmissions());
}

void GossipNode::announceDemand(const std::vector<OwnDemand> &demand, Millis now)
{
    ++demandSequence_;
    for (const OwnDemand &own : demand) {
        items_.add(figures_.ownDemand(own, demandSequence_), localTransmissions());
        if (isResponsibleFor(own.organisation)) {
            items_.add(figures_.nextDemandTotal(own, now), globalTransmissions());
        }
    }
}

GossipUpdates GossipNode::takeUpdates()
{
    return std::exchange(updates_, GossipUpdates{});
}

MemberTable GossipNode::memberTable(Millis now) const
{
    MemberTable table;
    table.counted = 0;
    for (const auto &[id, record] : members_.records()) {
        const MemberUpdate &update = record.update;
        MemberView view{ id, update.region, update.dataCentre, update.entryAddress, update.linkAddress, false, false, false };
        view.alive = isActive(update.state);
        view.leaving = update.state == MemberState::Leaving;
        view.suspected = update.state == MemberState::Suspect || !isDataCentreReachable(update.dataCentre, now);
        const bool diedRecently = update.state == MemberState::Dead && now < record.since + config_.limitRetention;
        table.counted += view.alive || diedRecently ? 1 : 0;
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
    return figures_.othersDemand([&](const std::string &dataCentre) { return isDataCentreReachable(dataCentre, now); }, now);
}

const MemberList &GossipNode::members() const
{
    return members_;
}

std::vector<std::string> GossipNode::localMembers() const
{
    std::vector<std::string> result = members_.activeMembers(members_.self().dataCentre);
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
    const double ownScore = rendezvousScore(key, stableHash(members_.self().id), 1);
    const std::vector<std::string> local = localMembers();
    // A leaving daemon is responsible for nothing, unless no other member is left.
    if (members_.self().state == MemberState::Leaving && !local.empty()) {
        return false;
    }
    unsigned before = 0;
    for (const std::string &id : local) {
        if (id != members_.self().id && rendezvousScore(key, stableHash(id), 1) > ownScore) {
            ++before;
        }
    }
    return before < places;
}

std::uint64_t GossipNode::rejectedDatagrams() const
{
    return rejectedDatagrams_;
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
    // Probes, acknowledgements and member updates are rare and always sent. Load figures are limited to the rest of the budget.
    const double room = std::clamp(byteBudget_, 0.0, static_cast<double>(fillLimit));
    items_.fill(message, FillLimits{ fillLimit, static_cast<std::size_t>(room) }, sameDataCentre);
    std::string bytes = encodeGossip(message, clusterKey_, now);
    byteBudget_ -= static_cast<double>(bytes.size());
    out.push_back(Datagram{ to, std::move(bytes) });
}

void GossipNode::push(Millis now, std::vector<Datagram> &out)
{
    if (!items_.hasMemberUpdates() && (items_.size() == 0 || byteBudget_ < minPushBudget)) {
        return;
    }
    const std::optional<std::string> target = targets_.pickRandom(members_.activeMembers(members_.self().dataCentre));
    if (target) {
        send(newMessage(GossipKind::Push, {}, 0), members_.find(*target)->update.gossip, true, now, out);
    }
}

void GossipNode::sendMembers(const SocketAddress &newcomer, Millis now, std::vector<Datagram> &out)
{
    GossipMessage message = newMessage(GossipKind::Push, {}, 0);
    for (const auto &[id, record] : members_.records()) {
        if (isActive(record.update.state)) {
            message.members.push_back(record.update);
        }
        if (estimatedMessageSize(message) > memberDatagramLimit) {
            out.push_back(Datagram{ newcomer, encodeGossip(message, clusterKey_, now) });
            message.members.clear();
        }
    }
    out.push_back(Datagram{ newcomer, encodeGossip(message, clusterKey_, now) });
}

void GossipNode::applyMessage(const GossipMessage &message, Millis now)
{
    for (const MemberUpdate &update : message.members) {
        applyUpdate(update, now);
    }
    if (message.settingsVersion > std::max(updates_.settingsVersion, settingsVersion_)) {
        updates_.settingsVersion = message.settingsVersion;
        updates_.settingsPeer = message.sender;
    }
    for (const UpstreamDigest &digest : message.upstreams) {
        if (members_.isLocal(message.sender) && figures_.storeIfNewer(digest)) {
            updates_.upstreams.push_back(digest);
            items_.add(digest, localTransmissions());
        }
    }
    for (const DataCentreSummary &summary : message.summaries) {
        if (figures_.storeIfNewer(summary)) {
            updates_.summariesChanged = true;
            items_.add(summary, globalTransmissions());
        }
    }
    for (const DemandReport &report : message.demands) {
        if (figures_.storeIfNewer(report, now)) {
            items_.add(report, localTransmissions());
        }
    }
}

void GossipNode::applyUpdate(const MemberUpdate &update, Millis now)
{
    switch (members_.apply(update, now)) {
    case UpdateEffect::Nothing:
        return;
    case UpdateEffect::RefutationNeeded:
        announceMember(members_.self());
        return;
    case UpdateEffect::Changed:
        updates_.membersChanged = true;
        announceMember(update);
        return;
    }
}

void GossipNode::announceMember(const MemberUpdate &update)
{
    items_.add(update, globalTransmissions());
}

void GossipNode::noteSender(const GossipMessage &message, Millis now)
{
    const MemberRecord *record = members_.find(message.sender);
    if (record == nullptr) {
        return;
    }
    members_.recordContact(message.sender, now);
    dataCentreContactAt_[record->update.dataCentre] = now;
}

unsigned GossipNode::localTransmissions() const
{
    return transmissionsFor(localMembers().size());
}

unsigned GossipNode::globalTransmissions() const
{
    return transmissionsFor(members_.records().size());
}

bool GossipNode::isDataCentreReachable(const std::string &dataCentre, Millis now) const
{
    if (dataCentre == members_.self().dataCentre) {
        return true;
    }
    const auto contact = dataCentreContactAt_.find(dataCentre);
    Millis latest = contact == dataCentreContactAt_.end() ? startedAt_ : contact->second;
    // In a large data centre each daemon rarely receives datagrams directly from another one: a fresh summary is equal proof.
    latest = std::max(latest, figures_.summaryAt(dataCentre));
    return now < latest + config_.remoteContactTimeout;
}

} // namespace Portpaddle
