// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/endpoint.h"

#include "portpaddle/base/socket_address.h"

#include <cstdint>

namespace Portpaddle {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const Result<SocketAddress> parsed = parseSocketAddress(text);
    if (!isOk(parsed)) {
        return std::nullopt;
    }
    NetError error;
    const auto address = boost::asio::ip::make_address_v4(valueOf(parsed).host, error);
    if (error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, valueOf(parsed).port);
}

} // namespace Portpaddle
