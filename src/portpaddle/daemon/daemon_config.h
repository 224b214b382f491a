// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a daemon is told at its start: who and where it is, its addresses and keys.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/socket_address.h"
#include "portpaddle/membership/gossip_node.h"
#include "portpaddle/settings/compiled.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

/// The platform inside the process, for trials on one machine.
struct EmbeddedPlatformConfig
{
    std::string settingsText;
    /// Bearer keys and the organisations they belong to.
    std::map<std::string, std::string> clients;
};

/// Everything a daemon needs to start.
struct DaemonConfig
{
    std::string id;
    Place place;
    SocketAddress entry;
    SocketAddress admin;
    SocketAddress gossip;
    SocketAddress link;
    std::string clusterKey;
    std::string operatorKey;
    std::optional<SocketAddress> platform;
    std::optional<EmbeddedPlatformConfig> embedded;
    std::vector<SocketAddress> seeds;
    std::size_t maximumStreams = 1024;
    GossipConfig gossipConfig;
    /// How long one watch of the settings waits; a planned stop waits for it.
    Millis settingsWatch{ 5'000 };
};

/// Reads a configuration file; every error names the file and the member at fault.
Result<DaemonConfig> readDaemonConfig(const std::string &path);
/// The same from text; @p directory is where the files it names are looked for.
Result<DaemonConfig> parseDaemonConfig(const std::string &text, const std::string &source, const std::string &directory);

} // namespace Portpaddle
