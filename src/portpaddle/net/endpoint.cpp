// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/endpoint.h"

#include <charconv>
#include <cstdint>

namespace Portpaddle {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [last, failed] = std::from_chars(text.data() + colon + 1, end, port);
    if (failed != std::errc{} || last != end) {
        return std::nullopt;
    }
    NetError error;
    const auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    if (error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace Portpaddle
