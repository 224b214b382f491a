// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Parses texts of the form IP:PORT.
#pragma once

#include "portpaddle/net/asio.h"

#include <optional>
#include <string>

namespace Portpaddle {

/// Returns the endpoint that @p text denotes; no value unless the text is an IPv4 address, a colon and a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace Portpaddle
