// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The gossip datagrams between daemons and their authenticated encoding.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/socket_address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// The state of a member; of two updates with the same incarnation the one with the later enumerator wins.
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };
std::string_view nameOf(MemberState state);

/// The addresses and the state of a member, as gossiped.
struct MemberUpdate
{
    std::string id;
    std::string region;
    std::string dataCentre;
    SocketAddress gossip;
    std::string linkAddress;
    std::string entryAddress;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
};

/// The load of an upstream, gossiped within its data centre.
struct UpstreamDigest
{
    /// Hash of the upstream's name, by shortKey().
    std::uint32_t key = 0;
    std::uint64_t sequence = 0;
    Millis observedAt{ 0 };
    unsigned running = 0;
    unsigned queuedInteractive = 0;
    unsigned queuedDeferrable = 0;
    bool leaving = false;
    bool reachable = true;
};

/// Returns the hash that stands for the name of an upstream, a service or a version in gossip; never zero.
std::uint32_t shortKey(std::string_view name);

/// The capacity and the load of one service in a data centre.
struct ServiceFigures
{
    std::uint32_t key = 0;
    /// Hashes of the versions offered, at most two, by shortKey(); zero stands for none.
    std::uint32_t version = 0;
    std::uint32_t otherVersion = 0;
    unsigned capacity = 0;
    unsigned busy = 0;
    unsigned queued = 0;
};

/// The services that a data centre offers, gossiped to all data centres.
struct DataCentreSummary
{
    std::string dataCentre;
    std::uint64_t sequence = 0;
    Millis observedAt{ 0 };
    std::vector<ServiceFigures> services;
};

/// The request rate of an organisation at one daemon (gossiped within its data centre) or at a data centre (gossiped to all).
struct DemandReport
{
    /// The name of a daemon, or "dc:" and the name of a data centre.
    std::string source;
    std::string organisation;
    std::uint64_t sequence = 0;
    double requestsPerSecond = 0;
};

enum class GossipKind : std::uint8_t { Ping, Ack, PingRequest, Push };

/// One datagram.
struct GossipMessage
{
    GossipKind kind = GossipKind::Push;
    std::uint32_t sequence = 0;
    std::string sender;
    std::uint64_t senderIncarnation = 0;
    std::string target;
    std::uint64_t settingsVersion = 0;
    std::vector<MemberUpdate> members;
    std::vector<UpstreamDigest> upstreams;
    std::vector<DataCentreSummary> summaries;
    std::vector<DemandReport> demands;
};

/// Bytes to be sent to an address.
struct Datagram
{
    SocketAddress to;
    std::string bytes;
};

/// Largest datagram sent or accepted, in bytes; below the usual path MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;

/// Encodes @p message, with ages relative to @p now, and appends an authentication code under @p clusterKey.
std::string encodeGossip(const GossipMessage &message, std::string_view clusterKey, Millis now);
/// Returns no value if the datagram was not authenticated under @p clusterKey or is malformed.
std::optional<GossipMessage> decodeGossip(std::string_view datagram, std::string_view clusterKey, Millis now);

} // namespace Portpaddle
