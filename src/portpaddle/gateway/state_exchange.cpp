// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/state_exchange.h"

#include "portpaddle/net/endpoint.h"
#include "portpaddle/wire/state_generated.h"

#include <httplib.h>

namespace Portpaddle {

namespace {

// Peers are one or two hops away; one that takes longer hangs or is cut off.
constexpr Millis peerTimeout{ 400 };
constexpr std::size_t mostPeersAsked = 3;

Error malformed(const char *why)
{
    return Error{ ErrorCode::BadRequest, std::string("a peer's state ") + why, RunState::NotRun, {} };
}

Result<std::vector<KeyValue>> askPeer(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return malformed("has no address");
    }
    httplib::Client client(endpoint->address().to_string(), endpoint->port());
    client.set_connection_timeout(peerTimeout);
    client.set_read_timeout(peerTimeout);
    std::string body;
    const httplib::Result result = client.Get(statePath, [&body](const char *data, std::size_t size) {
        body.append(data, size);
        return body.size() <= largestStateBytes;
    });
    if (!result || result->status != 200) {
        return malformed("did not come");
    }
    return decodeState(body);
}

} // namespace

std::string encodeState(const std::string &daemon, const std::vector<KeyValue> &items)
{
    Wire::FleetStateT state;
    state.daemon = daemon;
    for (const KeyValue &item : items) {
        auto entry = std::make_unique<Wire::StateItemT>();
        entry->key = item.key;
        entry->value = item.value;
        entry->revision = item.revision;
        state.items.push_back(std::move(entry));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::FleetState::Pack(builder, &state));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

Result<std::vector<KeyValue>> decodeState(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.size() > largestStateBytes || !verifier.VerifyBuffer<Wire::FleetState>(nullptr)) {
        return malformed("is malformed");
    }
    Wire::FleetStateT state;
    flatbuffers::GetRoot<Wire::FleetState>(data)->UnPackTo(&state);
    std::vector<KeyValue> items;
    for (const std::unique_ptr<Wire::StateItemT> &item : state.items) {
        if (item) {
            items.push_back({ item->key, item->value, item->revision });
        }
    }
    return items;
}

PeerStateClient::PeerStateClient(std::function<std::vector<std::string>()> peers) : peers_(std::move(peers))
{
}

Result<std::vector<KeyValue>> PeerStateClient::fetch() const
{
    std::size_t asked = 0;
    for (const std::string &address : peers_()) {
        if (asked++ == mostPeersAsked) {
            break;
        }
        Result<std::vector<KeyValue>> items = askPeer(address);
        if (isOk(items) && !valueOf(items).empty()) {
            return items;
        }
    }
    return Error{ ErrorCode::PeerUnreachable, "no other daemon hands on its state", RunState::NotRun, {} };
}

} // namespace Portpaddle
