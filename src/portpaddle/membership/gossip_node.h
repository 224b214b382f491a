// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The gossip protocol for membership and load between daemons, without any I/O of its own.
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

/// Intervals, timeouts and limits of the gossip protocol.
struct GossipConfig
{
    Millis probePeriod{ 1'000 };
    Millis ackTimeout{ 400 };
    /// Interval of push messages, which carry queued items besides the probes.
    Millis pushInterval{ 200 };
    /// Bytes per second that this daemon may send.
    double bytesPerSecond = 2'800;
    /// Probe periods after which an unrefuted suspect is declared dead; more are added in large data centres.
    unsigned suspicionPeriods = 4;
    /// A data centre without contact for this long counts as unreachable.
    Millis remoteContactTimeout{ 10'000 };
    /// Dead members are kept, and probed now and then, for this long.
    Millis deadRetention{ 24 * 3'600'000 };
    /// Dead members count in the division of rate limits for this long.
    Millis limitRetention{ 600'000 };
};

/// Changes that the node learned since they were last taken.
struct GossipUpdates
{
    std::vector<UpstreamDigest> upstreams;
    bool membersChanged = false;
    bool summariesChanged = false;
    /// The highest settings version that a peer announced; zero if none is newer than this daemon's.
    std::uint64_t settingsVersion = 0;
    /// The peer that announced this version.
    std::string settingsPeer;
};

/// One daemon's side of the protocol. Not thread-safe; time and randomness are passed in.
class GossipNode
{
public:
    GossipNode(GossipConfig config, const MemberUpdate &self, std::string clusterKey, RandomSource &random, Millis now);

    /// Returns the datagrams that are due; to be called every few tens of milliseconds.
    std::vector<Datagram> tick(Millis now);
    /// Handles a received datagram; returns the datagrams to send in response.
    std::vector<Datagram> receive(const SocketAddress &from, std::string_view bytes, Millis now);

    /// Sets the addresses of daemons that may be running. All are pinged while no other member is known, and now and then those
    /// at which no member is known.
    void setSeeds(std::vector<SocketAddress> seeds);
    /// Announces that this daemon leaves; cannot be undone in this incarnation.
    void leave();
    void setSettingsVersion(std::uint64_t version);
    /// Announces the load of an upstream within the data centre.
    void announceUpstream(const UpstreamReport &report);
    /// Announces to all what this data centre offers, if this daemon is responsible for its summary.
    void announceSummaries(const std::vector<SummaryEntry> &summaries, Millis now);
    /// Announces the demand of organisations at this daemon within the data centre, and to all the data centre's total of those
    /// organisations that this daemon is responsible for.
    void announceDemand(const std::vector<OwnDemand> &demand, Millis now);

    /// Returns the changes since the last call.
    GossipUpdates takeUpdates();
    MemberTable memberTable(Millis now) const;
    /// Returns the newest summary of each data centre, by its name.
    const std::map<std::string, DataCentreSummary> &summaries() const;
    std::vector<OthersDemand> othersDemand(Millis now) const;
    const MemberList &members() const;
    /// Returns the live members of the local data centre, this one included, sorted by id.
    std::vector<std::string> localMembers() const;
    /// Whether this daemon is among the first @p places of its data centre's rendezvous ranking for @p subject.
    bool isResponsibleFor(const std::string &subject, unsigned places = 1) const;
    /// Returns the number of datagrams that failed authentication or decoding.
    std::uint64_t rejectedDatagrams() const;

private:
    struct Probe
    {
        std::string target;
        std::uint32_t sequence = 0;
        Millis startedAt{ 0 };
        bool indirect = false;
        bool remote = false;
    };
    /// A probe made on behalf of another member, to which the acknowledgement is forwarded.
    struct Relay
    {
        SocketAddress requester;
        std::uint32_t requesterSequence = 0;
        std::string target;
    };

    static constexpr std::size_t maxRelays = 256;

    GossipMessage newMessage(GossipKind kind, const std::string &target, std::uint32_t sequence) const;
    void send(GossipMessage message, const SocketAddress &to, bool sameDataCentre, Millis now, std::vector<Datagram> &out);
    void beginProbeRound(Millis now, std::vector<Datagram> &out);
    void checkProbes(Millis now, std::vector<Datagram> &out);
    void probeTarget(const std::string &target, bool remote, Millis now, std::vector<Datagram> &out);
    void addAntiEntropyRecords(GossipMessage &message);
    void push(Millis now, std::vector<Datagram> &out);
    /// Sends all members to a newcomer, regardless of the byte budget: this happens once or twice per start of a daemon.
    void sendMembers(const SocketAddress &newcomer, Millis now, std::vector<Datagram> &out);
    /// Asks for all members at the address of a daemon that may not know this one.
    void pingSeed(const SocketAddress &seed, Millis now, std::vector<Datagram> &out);
    void applyMessage(const GossipMessage &message, Millis now);
    void applyUpdate(const MemberUpdate &update, Millis now);
    void announceMember(const MemberUpdate &update);
    void noteSender(const GossipMessage &message, Millis now);
    /// Returns how often an item is sent to reach the local data centre, or all members.
    unsigned localTransmissions() const;
    unsigned globalTransmissions() const;
    bool isDataCentreReachable(const std::string &dataCentre, Millis now) const;

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
    std::unordered_map<std::string, Millis> dataCentreContactAt_;
    GossipUpdates updates_;
    std::uint64_t settingsVersion_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint64_t demandSequence_ = 0;
    std::uint64_t rejectedDatagrams_ = 0;
    unsigned probeRound_ = 0;
    Millis startedAt_;
    Millis nextProbeAt_;
    Millis nextPushAt_;
    Millis byteBudgetAt_;
    double byteBudget_;
};

} // namespace Portpaddle
