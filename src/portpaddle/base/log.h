// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Structured log: numbered events, one JSON object per line on standard output. Limited in volume; never blocks.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace Portpaddle {

/// The events that may be logged. The number of an event never changes its meaning.
enum class LogEvent : std::uint16_t {
    DaemonStarted = 1001,
    DaemonStopping = 1002,
    DaemonStopped = 1003,
    DaemonStartFailed = 1004,
    SettingsAccepted = 2001,
    SettingsRejected = 2002,
    SettingsApplied = 2003,
    PlatformUnreachable = 2101,
    PlatformReachable = 2102,
    FollowSourceLeft = 2103,
    FollowRoleChanged = 2104,
    PeerStateTaken = 2105,
    CatchUpFailed = 2106,
    MemberJoined = 3001,
    MemberSuspected = 3002,
    MemberDied = 3003,
    LinkOpened = 3101,
    LinkClosed = 3102,
    LinkRejected = 3103,
    RequestRefused = 4001,
    RequestRetried = 4002,
    RequestResumed = 4003,
    RequestFailed = 4004,
    RequestServed = 4005,
    RequestAbandoned = 4006,
    RunMoveEnded = 4007,
    SessionTimedOut = 4008,
    SessionRejected = 4009,
    ConnectionRefused = 4010,
    RestRejected = 4011,
    UpstreamEjected = 4101,
    UpstreamReadmitted = 4102,
    UpstreamChanged = 4103,
    UpstreamGone = 4104,
    EvacuationChanged = 4105,
    UpstreamEnded = 4106,
    RequestQuarantined = 4107,
    QuarantineNotWritten = 4108,
    UpstreamLimitNamed = 4109,
    UpstreamLimitEnded = 4110,
    UpstreamLimitUnreadable = 4111,
    UpstreamLimitNotWritten = 4112,
    UpstreamLeavingHeard = 4113,
    UpstreamBackoffAsked = 4114,
    UpstreamNoticeUnreadable = 4115,
    UpstreamLoadUnreadable = 4116,
    ReachChanged = 4117,
    ServiceBrittle = 4118,
    ServiceBrittleEnded = 4119,
    UpstreamRejected = 4120,
    ClaimConflict = 4201,
    RolloutOrdered = 4301,
    RolloutStageWritten = 4302,
    RolloutStageChanged = 4303,
    RolloutNotWritten = 4304,
    RolloutUnreadable = 4305,
    VersionSetChanged = 4401,
    VersionSetNotWritten = 4402,
    VersionSetUnreadable = 4403,
    DrainOrdered = 5001,
    OrderSent = 5101,
    OrderWithheld = 5102,
    LogLinesDropped = 9001,
    TaskFailed = 9002,
};

/// The description of one event in the catalogue.
struct LogEventDescription
{
    LogEvent event;
    std::string_view name;
    std::string_view level;
    std::string_view meaning;
};

/// Returns the descriptions of all events, in ascending order of their numbers.
std::span<const LogEventDescription> logCatalogue();

/// A named value logged with an event.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Logs one event. The fields must not hold the keys or bodies of requests.
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

/// Sets the value of the "source" field of all later lines.
void setLogSource(std::string source);

/// Keeps later lines in memory until flushLog() is called, which a daemon does several times a second.
void bufferLog();
/// Writes as many buffered lines as standard output accepts without blocking.
void flushLog();

} // namespace Portpaddle
