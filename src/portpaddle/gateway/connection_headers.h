// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which HTTP headers are not passed on.
#pragma once

#include "portpaddle/gateway/header_names.h"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace Portpaddle {

/// The header concerns one connection only, by its name or because the message's Connection header lists it.
bool concernsConnection(boost::beast::http::field field, std::string_view name, const boost::beast::http::fields &fields);

/// The header is set by daemons only; what a caller sent under its name is dropped.
bool isSetBySystem(std::string_view name, const HeaderNames &names);
/// Headers that daemons send each other; they reach neither callers nor upstreams.
bool isBetweenDaemons(std::string_view name);

} // namespace Portpaddle
