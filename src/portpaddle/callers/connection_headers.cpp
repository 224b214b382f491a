// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/callers/connection_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view relayPrefix = "X-Portpaddle-";
// The most that daemons add to a head in lines of their own: some fifteen short ones and ids of organisations, upstreams and
// events.
constexpr std::uint32_t maxAddedHeadBytes = 8 * 1024;
// The shortest line, a name of one letter with a colon and an end, is written again with one byte more: a space after the colon.
constexpr std::uint32_t shortestLineBytes = 4;

bool equalsIgnoringCase(std::string_view name, std::string_view other)
{
    return boost::beast::iequals({ name.data(), name.size() }, { other.data(), other.size() });
}

} // namespace

std::uint32_t greatestRelayedHead(std::uint32_t callerHead)
{
    return callerHead + callerHead / shortestLineBytes + maxAddedHeadBytes;
}

bool isHopByHop(http::field field, std::string_view name, const http::fields &fields)
{
    switch (field) {
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        break;
    }
    const auto connection = fields[http::field::connection];
    return !connection.empty() && http::token_list(connection).exists({ name.data(), name.size() });
}

bool isSetByDaemons(std::string_view name, const HeaderNames &names)
{
    for (const std::string *own :
         { &names.expectedUpstream, &names.priority, &names.timeLeft, &names.memoryHold, &names.pinFor, &names.memoryBackup,
           &names.memoryFrom, &names.memoryFetch, &names.expectedVersion, &names.organisation }) {
        if (equalsIgnoringCase(name, *own)) {
            return true;
        }
    }
    return isInterDaemonHeader(name);
}

bool isInterDaemonHeader(std::string_view name)
{
    return name.size() > relayPrefix.size() && equalsIgnoringCase(name.substr(0, relayPrefix.size()), relayPrefix);
}

} // namespace Portpaddle
