// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Errors as values: a stable code, what it means for the request, and when to come back.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Portpaddle {

using Millis = std::chrono::milliseconds;

/// Whether the caller's request was executed by an upstream.
enum class RunState { NotRun, MayHaveRun, Ran };

/// Stable codes shown to callers, operators and other daemons.
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

/// The stable text of @p code, for example "limit_reached".
std::string_view nameOf(ErrorCode code);
/// The stable text of @p state: "not_run", "may_have_run" or "ran".
std::string_view nameOf(RunState state);
/// The HTTP status with which @p code is answered.
int httpStatusOf(ErrorCode code);
/// Finds the code with the given name; Internal when there is none.
ErrorCode errorCodeFromName(std::string_view name);

/// A failed outcome.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    RunState run = RunState::NotRun;
    /// Set where waiting helps.
    std::optional<Millis> retryAfter;
};

/// Either a value or an Error.
template<typename T>
using Result = std::variant<T, Error>;

/// The outcome of something that yields no value.
using Status = Result<std::monostate>;

/// A successful Status.
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
