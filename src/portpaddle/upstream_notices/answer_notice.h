// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads from the head of an answer what it says about the upstream that gave it.
#pragma once

#include "portpaddle/callers/header_names.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_notices/retry_after.h"
#include "portpaddle/upstream_reports/load_reading.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <string>

namespace Portpaddle {

/// Whether an upstream announces that it leaves.
enum class LeavingNotice { Absent, Leaving, Unreadable };

/// What an answer says about its upstream.
struct AnswerNotice
{
    /// Id of the incarnation that answered; empty if the head does not name it.
    std::string incarnation;
    /// Whether the head proves that the upstream itself gave the answer after it ran the request.
    bool fromUpstream = false;
    LimitReading limit;
    /// Rejections per second that the upstream bears.
    LimitReading brittle;
    /// Whether the upstream rejected the request for want of room.
    bool full = false;
    LeavingNotice leaving = LeavingNotice::Absent;
    LoadReading load;
    /// How long the upstream asks this daemon not to send requests.
    RetryAfter backoff;
};

/// Returns whether the head of an answer proves that the upstream did not run the request.
bool provesNotRun(const boost::beast::http::response_header<> &head, const HeaderNames &names);
/// Returns whether the head has the signature header of an upstream; true if @p names has no such header.
bool isSigned(const boost::beast::http::fields &head, const HeaderNames &names);
/// Reads the notice in @p head, which arrived at @p wall.
AnswerNotice readNotice(const boost::beast::http::response_header<> &head, const HeaderNames &names,
                        std::chrono::system_clock::time_point wall);

} // namespace Portpaddle
