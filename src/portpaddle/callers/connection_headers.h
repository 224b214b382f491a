// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Decides which HTTP headers are not forwarded.
#pragma once

#include "portpaddle/callers/header_names.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <string_view>

namespace Portpaddle {

/// Returns the maximum size in bytes of the head of a request from another daemon, which accepted a head of at most @p
/// callerHead.
std::uint32_t greatestRelayedHead(std::uint32_t callerHead);

/// Whether the header concerns one connection only, by its name or because the message's Connection header lists it.
bool isHopByHop(boost::beast::http::field field, std::string_view name, const boost::beast::http::fields &fields);

/// Whether only daemons set the header; a header of this name from a caller is dropped.
bool isSetByDaemons(std::string_view name, const HeaderNames &names);
/// Whether the header is sent between daemons only; it reaches neither callers nor upstreams.
bool isInterDaemonHeader(std::string_view name);

} // namespace Portpaddle
