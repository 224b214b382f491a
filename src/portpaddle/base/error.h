// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Errors as values: a stable code, whether the request ran, and when to retry.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Portpaddle {

using Millis = std::chrono::milliseconds;

/// Tells whether an upstream executed the caller's request.
enum class RunState { NotRun, MayHaveRun, Ran };

/// The error codes, whose names are stable and visible to callers, operators and other daemons.
enum class ErrorCode {
    BadRequest,
    BodyTooLarge,
    Unauthenticated,
    UnknownService,
    UnknownPath,
    ResidencyForbids,
    LoopRefused,
    HopLimitReached,
    Overloaded,
    LimitReached,
    Stopping,
    NoUpstream,
    UpstreamFailed,
    DeadlineExceeded,
    DuplicateRequest,
    ClaimUnavailable,
    PlatformUnavailable,
    VersionConflict,
    SettingsInvalid,
    SettingsTooOld,
    PeerUnreachable,
    NotFound,
    HistoryCompacted,
    Cancelled,
    EndsUpstreams,
    Internal,
};

/// Returns the stable name of @p code, for example "limit_reached".
std::string_view nameOf(ErrorCode code);
/// Returns the stable name of @p state: "not_run", "may_have_run" or "ran".
std::string_view nameOf(RunState state);
/// Returns the HTTP status of responses with @p code.
int httpStatusOf(ErrorCode code);
/// Returns the code called @p name; Internal when there is none.
ErrorCode errorCodeFromName(std::string_view name);

/// The description of a failure.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    RunState run = RunState::NotRun;
    /// The time after which a retry may succeed; no value where waiting does not help.
    std::optional<Millis> retryAfter;
};

/// Either a value or an Error.
template<typename T>
using Result = std::variant<T, Error>;

/// The outcome of an operation that returns no value.
using Status = Result<std::monostate>;

/// Returns a successful Status.
inline Status success()
{
    return std::monostate{};
}

template<typename T>
bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

template<typename T>
T &valueOf(Result<T> &result)
{
    return std::get<0>(result);
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<0>(result);
}

template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<1>(result);
}

} // namespace Portpaddle
