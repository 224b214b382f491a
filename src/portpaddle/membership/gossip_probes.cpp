// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Probes of other members, and pings of seeds, by a gossip node.

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/membership/gossip_node.h"

#include <iterator>

namespace Portpaddle {

namespace {

constexpr unsigned indirectProbes = 2;
/// Member records that each probe repeats for anti-entropy; more would crowd out load figures.
constexpr unsigned antiEntropyRecords = 1;
/// A member that is believed dead is probed once in this many probe rounds, as it may have come back.
constexpr unsigned deadProbeInterval = 5;
/// While other members are known, a seed without a known member is pinged once in this many probe rounds: groups of members that
/// forgot each other, or never knew each other, have no other way to meet.
constexpr unsigned seedPingInterval = 5;

} // namespace

void GossipNode::beginProbeRound(Millis now, std::vector<Datagram> &out)
{
    ++probeRound_;
    for (const MemberUpdate &died :
         members_.expireSuspects(config_.probePeriod * (config_.suspicionPeriods + localTransmissions()), now)) {
        updates_.membersChanged = true;
        announceMember(died);
    }
    members_.forgetDead(config_.deadRetention, now);
    std::erase_if(relays_, [&](const auto &relay) { return relay.first + maxRelays < sequence_; });
    const std::optional<std::string> local = targets_.nextLocal();
    if (local) {
        probeTarget(*local, false, now, out);
    }
    const std::optional<std::string> remote = targets_.randomRemote();
    if (remote) {
        probeTarget(*remote, true, now, out);
    }
    const std::optional<std::string> dead = probeRound_ % deadProbeInterval == 0 ? targets_.randomDead() : std::nullopt;
    if (dead) {
        probeTarget(*dead, true, now, out);
    }
    if (!local && !remote) {
        for (const SocketAddress &seed : seeds_) {
            pingSeed(seed, now, out);
        }
    } else if (probeRound_ % seedPingInterval == 0) {
        if (const std::optional<SocketAddress> seed = targets_.unknownSeed(seeds_)) {
            pingSeed(*seed, now, out);
        }
    }
}

void GossipNode::checkProbes(Millis now, std::vector<Datagram> &out)
{
    std::vector<Probe> open;
    for (Probe probe : probes_) {
        if (now >= probe.startedAt + config_.probePeriod) {
            // Only members of the same data centre are suspected: in a partition between data centres every remote member
            // would appear dead.
            if (!probe.remote && members_.suspect(probe.target, now)) {
                updates_.membersChanged = true;
                announceMember(members_.find(probe.target)->update);
            }
            continue;
        }
        if (!probe.indirect && !probe.remote && now >= probe.startedAt + config_.ackTimeout) {
            probe.indirect = true;
            std::vector<std::string> helpers = members_.activeMembers(members_.self().dataCentre);
            std::erase(helpers, probe.target);
            for (unsigned count = 0; count < indirectProbes && !helpers.empty(); ++count) {
                const std::string helper = *targets_.pickRandom(helpers);
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
        // A suspected member is sent its own record, so that it can refute the suspicion.
        message.members.push_back(update);
    }
    addAntiEntropyRecords(message);
    send(std::move(message), update.gossip, members_.isLocal(target), now, out);
}

void GossipNode::addAntiEntropyRecords(GossipMessage &message)
{
    // Items are sent a bounded number of times, and all of these may be lost in a partition. Repeating random records of
    // all members makes the views converge regardless of losses.
    const auto &records = members_.records();
    for (unsigned count = 0; count < antiEntropyRecords; ++count) {
        const auto chosen = std::next(records.begin(), static_cast<std::ptrdiff_t>(random_.below(records.size())));
        message.members.push_back(chosen->second.update);
    }
}

void GossipNode::pingSeed(const SocketAddress &seed, Millis now, std::vector<Datagram> &out)
{
    if (seed == members_.self().gossip) {
        return;
    }
    GossipMessage message = newMessage(GossipKind::Ping, {}, ++sequence_);
    message.members.push_back(members_.self());
    send(std::move(message), seed, false, now, out);
}

} // namespace Portpaddle
