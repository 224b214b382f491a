// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// HTTP client of a daemon's operator address.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/socket_address.h"

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace Portpaddle {

/// Sends requests to one daemon. A request fails with PeerUnreachable without an answer, and with the daemon's own error
/// otherwise.
class AdminClient
{
public:
    AdminClient(SocketAddress address, std::string operatorKey);

    Result<nlohmann::json> get(const std::string &path, const std::multimap<std::string, std::string> &parameters = {}) const;
    Result<nlohmann::json> post(const std::string &path, const nlohmann::json &body) const;

private:
    SocketAddress address_;
    std::string operatorKey_;
};

} // namespace Portpaddle
