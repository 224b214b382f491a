// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The protocol of membership and load between daemons, without any I/O of its own.
#pragma once

#include "portpaddle/membership/fleet_figures.h"
#include "portpaddle/membership/gossip_items.h"
#include "portpaddle/membership/gossip_message.h"
#include "portpaddle/membership/member_list.h"
#include "portpaddle/membership/probe_targets.h"
#include "portpaddle/routing/blackboard.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class RandomSource;

/// Times and bounds of the protocol.
struct GossipConfig
{
    Millis probePeriod{ 1'000 };
    Millis ackTimeout{ 400 };
    /// How often news is pushed when nothing needs probing.
    Millis pushInterval{ 200 };
    /// Bytes a second that this daemon may send.
    double bytesPerSecond = 2'800;
    /// A suspect that stays silent this many probe periods, and more in large data centres, is dead.
    unsigned suspicionPeriods = 4;
    /// A data centre that was not heard of this long counts as cut off.
    Millis remoteSilence{ 10'000 };
    /// The dead are remembered, and tried now and then, this long.
    Millis deadMemory{ 24 * 3'600'000 };
    /// Vanished daemons count for limits this long.
    Millis limitMemory{ 600'000 };
};

/// What the node learned that others act on.
struct GossipUpdates
{
    std::vector<UpstreamDigest> upstreams;
    bool membersChanged = false;
    bool summariesChanged = false;
    /// The highest version of the settings that a peer holds, and that peer.
    std::uint64_t settingsVersion = 0;
    std::string settingsHolder;
};

/// One daemon's part in the protocol. Not thread-safe; time and randomness are passed in.
class GossipNode
{
public:
    GossipNode(GossipConfig config, const MemberUpdate &self, std::string clusterKey, RandomSource &random, Millis now);

    /// To be called every few tens of milliseconds.
    std::vector<Datagram> tick(Millis now);
    std::vector<Datagram> receive(const SocketAddress &from, std::string_view bytes, Millis now);

    /// Addresses to try while nobody else is known.
    void setSeeds(std::vector<SocketAddress> seeds);
    /// Tells everyone that this daemon leaves; sticky for this incarnation.
    void leave();
    void setSettingsVersion(std::uint64_t version);
    /// Tells the data centre what this daemon saw of an upstream.
    void announceUpstream(const UpstreamReport &report);
    /// Tells everyone what this data centre offers, if this daemon speaks for it.
    void announceSummaries(const std::vector<SummaryEntry> &summaries, Millis now);
    /// Tells the data centre what organisations ask of this daemon, and everyone the total, for those it speaks for.
    void announceDemand(const std::vector<OwnDemand> &demand, Millis now);

    GossipUpdates takeUpdates();
    MemberTable memberTable(Millis now) const;
    /// The newest summary of each data centre, by its name.
    const std::map<std::string, DataCentreSummary> &summaries() const;
    std::vector<OthersDemand> othersDemand(Millis now) const;
    const MemberList &members() const;
    /// Live members of the own data centre, this one included, in a common order.
    std::vector<std::string> localMembers() const;
    /// Whether this daemon is among the first @p places of the ranking of its data centre for @p subject.
    bool isResponsibleFor(const std::string &subject, unsigned places = 1) const;
    std::uint64_t rejected() const;

private:
    struct Probe
    {
        std::string target;
        std::uint32_t sequence = 0;
        Millis startedAt{ 0 };
        bool indirect = false;
        bool remote = false;
    };
    /// A probe made for another member: its answer is handed on.
    struct Relay
    {
        SocketAddress asker;
        std::uint32_t askerSequence = 0;
        std::string target;
    };

    GossipMessage newMessage(GossipKind kind, const std::string &target, std::uint32_t sequence) const;
    void send(GossipMessage message, const SocketAddress &to, bool sameDataCentre, Millis now, std::vector<Datagram> &out);
    void beginProbe(Millis now, std::vector<Datagram> &out);
    void followProbe(Millis now, std::vector<Datagram> &out);
    void probeTarget(const std::string &target, bool remote, Millis now, std::vector<Datagram> &out);
    void addOldNews(GossipMessage &message);
    void push(Millis now, std::vector<Datagram> &out);
    /// Tells a newcomer of everyone, outside the budget: it happens once per start of a daemon.
    void introduceMembers(const SocketAddress &newcomer, Millis now, std::vector<Datagram> &out);
    void trySeeds(Millis now, std::vector<Datagram> &out);
    void takeNewsOf(const GossipMessage &message, Millis now);
    void applyUpdate(const MemberUpdate &update, Millis now);
    void tellMember(const MemberUpdate &update);
    void noteSender(const GossipMessage &message, Millis now);
    /// How often news for the own data centre, or for everyone, is told.
    unsigned tellingsHere() const;
    unsigned tellingsEverywhere() const;
    bool dataCentreHeard(const std::string &dataCentre, Millis now) const;

    const GossipConfig config_;
    const std::string clusterKey_;
    RandomSource &random_;
    MemberList members_;
    ProbeTargets targets_;
    FleetFigures figures_;
    GossipItems items_;
    std::vector<SocketAddress> seeds_;
    std::vector<Probe> probes_;
    std::map<std::uint32_t, Relay> relays_;
    std::unordered_map<std::string, Millis> dataCentreHeardAt_;
    GossipUpdates news_;
    std::uint64_t settingsVersion_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint64_t demandSequence_ = 0;
    std::uint64_t rejected_ = 0;
    unsigned period_ = 0;
    Millis startedAt_;
    Millis nextProbeAt_;
    Millis nextPushAt_;
    Millis allowanceAt_;
    double allowance_;
};

} // namespace Portpaddle
