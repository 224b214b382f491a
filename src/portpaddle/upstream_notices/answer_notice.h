// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What the head of an answer says about the upstream that gave it, read in one place from every answer.
#pragma once

#include "portpaddle/gateway/header_names.h"
#include "portpaddle/upstream_limits/limit_reading.h"
#include "portpaddle/upstream_notices/retry_after.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <string>

namespace Portpaddle {

/// Whether an upstream says that it leaves.
enum class LeavingNotice { Absent, Leaving, Unreadable };

struct AnswerNotice
{
    /// The name of the life that answers; empty where the head does not tell.
    std::string incarnation;
    /// It proves that the upstream itself gave the answer after it ran the request.
    bool fromUpstream = false;
    LimitReading limit;
    LeavingNotice leaving = LeavingNotice::Absent;
    /// For how long the upstream wants nothing from this daemon.
    RetryAfter backoff;
};

/// Any answer with the proof that its upstream did not run the request, as its head says.
bool provesNotRun(const boost::beast::http::response_header<> &head, const HeaderNames &names);
/// Whether the head has the signature of an upstream; true where @p names know none.
bool isSigned(const boost::beast::http::fields &head, const HeaderNames &names);
/// @p wall: when the head arrived.
AnswerNotice readNotice(const boost::beast::http::response_header<> &head, const HeaderNames &names,
                        std::chrono::system_clock::time_point wall);

} // namespace Portpaddle
