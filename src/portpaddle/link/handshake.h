// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Mutual authentication of the ends of a link by the cluster key.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

class FrameSocket;
class RandomSource;

/// The name and the data centre that a daemon presents to its peer.
struct PeerIdentity
{
    std::string node;
    std::string dataCentre;
};

/// Runs the accepting side; returns the peer's identity, or no value if authentication failed.
std::optional<PeerIdentity> acceptHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey);
/// Runs the connecting side; returns the peer's identity, or no value if authentication failed.
std::optional<PeerIdentity> offerHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey);

} // namespace Portpaddle
