// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A stand-in for the platform's services over HTTP that can simulate their faults.
#pragma once

#include "portpaddle/base/http_server.h"
#include "portpaddle/platform/memory_platform.h"

#include <functional>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

class Clock;

/// Serves a MemoryPlatform. Requests under /control set its faults, VMs and clients.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(const Clock &clock);
    Result<SocketAddress> start(const SocketAddress &address = {});
    void stop();
    MemoryPlatform &platform();

private:
    using Operation = std::function<nlohmann::json(const nlohmann::json &arguments)>;

    void addRoutes();
    void addOperation(const std::string &name, Operation operation);

    MemoryPlatform platform_;
    HttpServer server_;
};

} // namespace Portpaddle
