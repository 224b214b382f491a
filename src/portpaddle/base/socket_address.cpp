// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/socket_address.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace Portpaddle {

Result<SocketAddress> parseSocketAddress(const std::string &text)
{
    const Error error{ ErrorCode::BadRequest, fmt::format("'{}' is not an IPv4 address with a port", text), RunState::NotRun,
                       std::nullopt };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return error;
    }
    SocketAddress address;
    address.host = text.substr(0, colon);
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(begin, end, address.port);
    in_addr parsed{};
    if (status != std::errc{} || rest != end || inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return error;
    }
    return address;
}

std::string toText(const SocketAddress &address)
{
    return fmt::format("{}:{}", address.host, address.port);
}

sockaddr_in toNative(const SocketAddress &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    return native;
}

SocketAddress fromNative(const sockaddr_in &native)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &native.sin_addr, text, sizeof text);
    return SocketAddress{ text, ntohs(native.sin_port) };
}

} // namespace Portpaddle
