// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Both ends of a link prove that they hold the cluster key.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

class FrameSocket;
class RandomSource;

/// How one daemon names itself to another.
struct PeerIdentity
{
    std::string node;
    std::string dataCentre;
};

/// The accepting side; the peer's identity, or none when it could not prove itself.
std::optional<PeerIdentity> acceptHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey);
/// The connecting side; the peer's identity, or none when it could not prove itself.
std::optional<PeerIdentity> offerHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey);

} // namespace Portpaddle
