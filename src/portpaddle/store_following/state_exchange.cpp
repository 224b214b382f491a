// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/state_exchange.h"

#include "portpaddle/fleet/feed_server.h"
#include "portpaddle/net/bounded_body.h"
#include "portpaddle/net/bounded_client.h"
#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/wire/state_generated.h"

#include <httplib.h>

#include <algorithm>

namespace Portpaddle {

namespace {

// Peers are one or two hops away; one that takes longer hangs or is cut off.
constexpr Millis peerTimeout{ 400 };
constexpr std::size_t maxPeersAsked = 3;
// Upper bound of a reported age; a greater age means that the state was never confirmed.
constexpr std::int64_t maxAgeMs = 3'600'000;

Error peerStateError(const char *why)
{
    return Error{ ErrorCode::BadRequest, std::string("peer state: ") + why, RunState::NotRun, {} };
}

Result<PeerState> askPeer(const std::string &address, const std::string &target)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return peerStateError("invalid peer address");
    }
    BoundedClient client(endpoint->address().to_string(), endpoint->port());
    client.set_connection_timeout(peerTimeout);
    client.set_read_timeout(peerTimeout);
    BoundedBody body(PeerBounds::stateBytes, BootClock::now() + PeerBounds::stateTime);
    const httplib::Result result
        = client.Get(target, [&body](const char *data, std::size_t size) { return body.append(data, size); });
    if (!result || result->status != 200) {
        return peerStateError("request failed");
    }
    const SteadyTime now = BootClock::now();
    Result<FeedUpdate> update = decodeChanges(body.bytes(), now);
    if (!isOk(update)) {
        return errorOf(update);
    }
    PeerState peer;
    peer.address = address;
    peer.confirmed = isConfirmed(valueOf(update), now);
    peer.state.revision = valueOf(update).revision;
    peer.state.scope = std::move(valueOf(update).scope);
    for (KeyChange &change : valueOf(update).changes) {
        peer.state.items.push_back(std::move(change.item));
    }
    return peer;
}

} // namespace

std::string encodeState(const std::string &daemon, const std::vector<KeyValue> &items, const FeedUpdate &update)
{
    FeedUpdate all = update;
    all.incomplete = false;
    all.changes.clear();
    for (const KeyValue &item : items) {
        all.changes.push_back({ item, false });
    }
    return encodeChanges(daemon, all);
}

std::string encodeChanges(const std::string &daemon, const FeedUpdate &update)
{
    Wire::FleetStateT state;
    state.daemon = daemon;
    state.revision = update.revision;
    state.reachable = update.reachable;
    state.incomplete = update.incomplete;
    state.scope = update.scope;
    const auto age = std::chrono::duration_cast<Millis>(BootClock::now() - update.confirmedAt).count();
    state.confirmed_age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, maxAgeMs));
    for (const KeyChange &change : update.changes) {
        auto entry = std::make_unique<Wire::StateItemT>();
        entry->key = change.item.key;
        entry->value = change.item.value;
        entry->revision = change.item.revision;
        entry->removed = change.removed;
        state.items.push_back(std::move(entry));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::FleetState::Pack(builder, &state));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

Result<FeedUpdate> decodeChanges(const std::string &bytes, SteadyTime now)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.size() > PeerBounds::stateBytes || !verifier.VerifyBuffer<Wire::FleetState>(nullptr)) {
        return peerStateError("malformed");
    }
    Wire::FleetStateT state;
    flatbuffers::GetRoot<Wire::FleetState>(data)->UnPackTo(&state);
    FeedUpdate update;
    update.revision = state.revision;
    update.confirmedAt = now - Millis(std::min<std::int64_t>(state.confirmed_age_ms, maxAgeMs));
    update.reachable = state.reachable;
    update.incomplete = state.incomplete;
    update.scope = std::move(state.scope);
    for (const std::unique_ptr<Wire::StateItemT> &item : state.items) {
        if (item) {
            update.changes.push_back({ { item->key, item->value, item->revision }, item->removed });
        }
    }
    return update;
}

bool isConfirmed(const FeedUpdate &update, SteadyTime now)
{
    return update.reachable && update.revision > 0 && now - update.confirmedAt < maxConfirmationAge;
}

Result<PeerState> fetchItems(const std::string &address, const std::string &prefix)
{
    return askPeer(address, itemsPath + prefix);
}

PeerStateClient::PeerStateClient(std::function<std::vector<std::string>()> peers) : peers_(std::move(peers))
{
}

Result<PeerState> PeerStateClient::fetch(const std::function<bool()> &isOver) const
{
    std::size_t asked = 0;
    for (const std::string &address : peers_()) {
        if (asked == maxPeersAsked || (asked > 0 && isOver())) {
            break;
        }
        ++asked;
        Result<PeerState> peer = askPeer(address, statePath);
        if (isOk(peer) && !valueOf(peer).state.items.empty()) {
            return peer;
        }
    }
    return Error{ ErrorCode::PeerUnreachable, "no other daemon returned its state", RunState::NotRun, {} };
}

} // namespace Portpaddle
