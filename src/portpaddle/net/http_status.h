// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The HTTP status codes that the gateway sends or evaluates.
#pragma once

namespace Portpaddle::HttpStatus {

inline constexpr unsigned continueRequest = 100;
inline constexpr unsigned ok = 200;
inline constexpr unsigned noContent = 204;
inline constexpr unsigned notModified = 304;
inline constexpr unsigned badRequest = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned notFound = 404;
inline constexpr unsigned requestTimeout = 408;
inline constexpr unsigned conflict = 409;
inline constexpr unsigned tooLarge = 413;
inline constexpr unsigned misdirected = 421;
inline constexpr unsigned tooMany = 429;
inline constexpr unsigned headerTooLarge = 431;
inline constexpr unsigned internalError = 500;
inline constexpr unsigned badGateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gatewayTimeout = 504;

/// Whether @p status can be that of an answer, interim or not. Any three digits pass for one in a status line.
constexpr bool isValid(unsigned status)
{
    return status >= 100 && status < 600;
}

constexpr bool isInformational(unsigned status)
{
    return status >= 100 && status < 200;
}

constexpr bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace Portpaddle::HttpStatus
