// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// IPv4 addresses with ports.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <string>

#include <netinet/in.h>

namespace Portpaddle {

/// An IPv4 address and a port.
struct SocketAddress
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
};

/// Parses a text like "10.0.0.1:8000"; host names are rejected.
Result<SocketAddress> parseSocketAddress(const std::string &text);
std::string toText(const SocketAddress &address);
sockaddr_in toNative(const SocketAddress &address);
SocketAddress fromNative(const sockaddr_in &native);

} // namespace Portpaddle
