// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/error.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<ErrorCode, 26> errorNames{ {
    "bad_request",          "body_too_large",    "unauthenticated",   "unknown_service",
    "unknown_path",         "residency_forbids", "loop_refused",      "hop_limit_reached",
    "overloaded",           "limit_reached",     "stopping",          "no_upstream",
    "upstream_failed",      "deadline_exceeded", "duplicate_request", "claim_unavailable",
    "platform_unavailable", "version_conflict",  "settings_invalid",  "settings_too_old",
    "peer_unreachable",     "not_found",         "history_gone",      "cancelled",
    "ends_upstreams",       "internal",
} };

constexpr std::array<int, 26> statuses{ 400, 413, 401, 404, 404, 403, 508, 508, 503, 429, 503, 503, 502,
                                        504, 409, 503, 503, 409, 400, 503, 502, 404, 410, 499, 503, 500 };

constexpr NameTable<RunState, 3> runStateNames{ { "not_run", "may_have_run", "ran" } };

} // namespace

std::string_view nameOf(ErrorCode code)
{
    return errorNames[code];
}

std::string_view nameOf(RunState state)
{
    return runStateNames[state];
}

int httpStatusOf(ErrorCode code)
{
    return statuses.at(static_cast<std::size_t>(code));
}

ErrorCode errorCodeFromName(std::string_view name)
{
    return errorNames.find(name).value_or(ErrorCode::Internal);
}

} // namespace Portpaddle
