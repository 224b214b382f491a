// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/gossip_message.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/base/name_table.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/wire/peer_generated.h"

#include <algorithm>
#include <limits>

namespace Portpaddle {

namespace {

constexpr NameTable<MemberState, 4> memberStateNames{ { "alive", "suspect", "leaving", "dead" } };
/// Authentication codes are truncated to 16 bytes: infeasible to forge, yet datagrams stay small.
constexpr std::size_t macLength = 16;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxListLength = 64;

template<typename Integer>
Integer clampTo(std::uint64_t value)
{
    return static_cast<Integer>(std::min<std::uint64_t>(value, std::numeric_limits<Integer>::max()));
}

std::uint32_t ageOf(Millis observedAt, Millis now)
{
    return clampTo<std::uint32_t>(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - observedAt).count())));
}

std::string_view macBytes(const MessageCode &code)
{
    return std::string_view(reinterpret_cast<const char *>(code.data()), macLength);
}

std::unique_ptr<Wire::MemberUpdateT> toWire(const MemberUpdate &update)
{
    auto wire = std::make_unique<Wire::MemberUpdateT>();
    wire->id = update.id;
    wire->region = update.region;
    wire->data_centre = update.dataCentre;
    wire->gossip = toText(update.gossip);
    wire->link = update.linkAddress;
    wire->entry = update.entryAddress;
    wire->incarnation = update.incarnation;
    wire->state = static_cast<Wire::MemberState>(update.state);
    return wire;
}

Wire::UpstreamDigest toWire(const UpstreamDigest &digest, Millis now)
{
    return Wire::UpstreamDigest(digest.sequence, digest.key, ageOf(digest.observedAt, now),
                                clampTo<std::uint16_t>(digest.running), clampTo<std::uint16_t>(digest.queuedInteractive),
                                clampTo<std::uint16_t>(digest.queuedDeferrable), digest.leaving, digest.reachable);
}

std::unique_ptr<Wire::DataCentreSummaryT> toWire(const DataCentreSummary &summary, Millis now)
{
    auto wire = std::make_unique<Wire::DataCentreSummaryT>();
    wire->data_centre = summary.dataCentre;
    wire->sequence = summary.sequence;
    wire->age_ms = ageOf(summary.observedAt, now);
    for (const ServiceFigures &figures : summary.services) {
        wire->services.emplace_back(figures.key, figures.version, figures.otherVersion, clampTo<std::uint16_t>(figures.capacity),
                                    clampTo<std::uint16_t>(figures.busy), clampTo<std::uint16_t>(figures.queued));
    }
    return wire;
}

std::unique_ptr<Wire::OrganisationDemandT> toWire(const DemandReport &demand)
{
    auto wire = std::make_unique<Wire::OrganisationDemandT>();
    wire->daemon = demand.source;
    wire->organisation = demand.organisation;
    wire->sequence = demand.sequence;
    wire->requests_per_second = static_cast<float>(demand.requestsPerSecond);
    return wire;
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength;
}

std::optional<MemberUpdate> fromWire(const Wire::MemberUpdateT &wire)
{
    const Result<SocketAddress> gossip = parseSocketAddress(wire.gossip);
    const bool valid = isOk(gossip) && isName(wire.id) && isName(wire.data_centre) && wire.state <= Wire::MemberState::MAX
        && isOk(parseSocketAddress(wire.link)) && isOk(parseSocketAddress(wire.entry));
    if (!valid) {
        return std::nullopt;
    }
    return MemberUpdate{ wire.id,   wire.region, wire.data_centre, valueOf(gossip),
                         wire.link, wire.entry,  wire.incarnation, static_cast<MemberState>(wire.state) };
}

bool listsAreBounded(const Wire::GossipT &wire)
{
    return wire.members.size() <= maxListLength && wire.upstreams.size() <= maxListLength
        && wire.summaries.size() <= maxListLength && wire.demands.size() <= maxListLength;
}

GossipMessage fromWire(const Wire::GossipT &wire, Millis now)
{
    GossipMessage message;
    message.kind = static_cast<GossipKind>(wire.kind);
    message.sequence = wire.sequence;
    message.sender = wire.sender;
    message.senderIncarnation = wire.sender_incarnation;
    message.target = wire.target;
    message.settingsVersion = wire.settings_version;
    for (const auto &member : wire.members) {
        std::optional<MemberUpdate> update = fromWire(*member);
        if (update) {
            message.members.push_back(std::move(*update));
        }
    }
    for (const Wire::UpstreamDigest &digest : wire.upstreams) {
        message.upstreams.push_back(UpstreamDigest{ digest.key(), digest.sequence(), now - Millis{ digest.age_ms() },
                                                    digest.running(), digest.queued_interactive(), digest.queued_deferrable(),
                                                    digest.leaving(), digest.reachable() });
    }
    for (const auto &summary : wire.summaries) {
        DataCentreSummary read{ summary->data_centre, summary->sequence, now - Millis{ summary->age_ms }, {} };
        for (const Wire::ServiceFigures &figures : summary->services) {
            read.services.push_back(ServiceFigures{ figures.key(), figures.version(), figures.other_version(), figures.capacity(),
                                                    figures.busy(), figures.queued() });
        }
        message.summaries.push_back(std::move(read));
    }
    for (const auto &demand : wire.demands) {
        message.demands.push_back(
            DemandReport{ demand->daemon, demand->organisation, demand->sequence, std::max(0.0F, demand->requests_per_second) });
    }
    return message;
}

} // namespace

std::uint32_t shortKey(std::string_view name)
{
    return std::max(1U, static_cast<std::uint32_t>(stableHash(name)));
}

std::string_view nameOf(MemberState state)
{
    return memberStateNames[state];
}

std::string encodeGossip(const GossipMessage &message, std::string_view clusterKey, Millis now)
{
    Wire::GossipT wire;
    wire.kind = static_cast<Wire::GossipKind>(message.kind);
    wire.sequence = message.sequence;
    wire.sender = message.sender;
    wire.sender_incarnation = message.senderIncarnation;
    wire.target = message.target;
    wire.settings_version = message.settingsVersion;
    for (const MemberUpdate &update : message.members) {
        wire.members.push_back(toWire(update));
    }
    for (const UpstreamDigest &digest : message.upstreams) {
        wire.upstreams.push_back(toWire(digest, now));
    }
    for (const DataCentreSummary &summary : message.summaries) {
        wire.summaries.push_back(toWire(summary, now));
    }
    for (const DemandReport &demand : message.demands) {
        wire.demands.push_back(toWire(demand));
    }
    flatbuffers::FlatBufferBuilder builder(maxDatagramBytes);
    builder.Finish(Wire::Gossip::Pack(builder, &wire));
    std::string bytes(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    bytes.append(macBytes(messageCode(clusterKey, bytes)));
    return bytes;
}

std::optional<GossipMessage> decodeGossip(std::string_view datagram, std::string_view clusterKey, Millis now)
{
    if (datagram.size() <= macLength || datagram.size() > maxDatagramBytes) {
        return std::nullopt;
    }
    const std::string_view body = datagram.substr(0, datagram.size() - macLength);
    if (!equalInConstantTime(datagram.substr(body.size()), macBytes(messageCode(clusterKey, body)))) {
        return std::nullopt;
    }
    // FlatBuffers requires aligned data; the body of a datagram may be unaligned.
    const std::vector<std::uint8_t> aligned(body.begin(), body.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size());
    if (!verifier.VerifyBuffer<Wire::Gossip>(nullptr)) {
        return std::nullopt;
    }
    Wire::GossipT wire;
    flatbuffers::GetRoot<Wire::Gossip>(aligned.data())->UnPackTo(&wire);
    const bool valid = isName(wire.sender) && wire.kind <= Wire::GossipKind::MAX && listsAreBounded(wire);
    return valid ? std::optional{ fromWire(wire, now) } : std::nullopt;
}

} // namespace Portpaddle
