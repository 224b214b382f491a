// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The start-up configuration of a daemon: its id, location, addresses and keys.
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

/// The configuration of a platform that runs inside the process, for trials on one machine.
struct EmbeddedPlatformConfig
{
    std::string settingsText;
    /// The organisation of each bearer key.
    std::map<std::string, std::string> clients;
};

/// The start-up configuration of a daemon.
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
    /// The timeout of one watch of the settings. A planned stop waits for a watch in progress.
    Millis settingsWatch{ 5'000 };
};

/// Reads a configuration file; an error names the file and the invalid member.
Result<DaemonConfig> readDaemonConfig(const std::string &path);
/// Parses the configuration in @p text. Relative file names in the configuration are resolved against @p directory.
Result<DaemonConfig> parseDaemonConfig(const std::string &text, const std::string &source, const std::string &directory);

} // namespace Portpaddle
