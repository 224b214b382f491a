// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <mutex>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

namespace Portpaddle {

namespace {

constexpr std::array<LogEventDescription, 64> catalogue{ {
    { LogEvent::DaemonStarted, "daemon_started", "info", "The daemon listens on all its addresses." },
    { LogEvent::DaemonStopping, "daemon_stopping", "info",
      "A planned stop began: no new requests are accepted, those in progress continue." },
    { LogEvent::DaemonStopped, "daemon_stopped", "info", "The last request ended and the daemon exits." },
    { LogEvent::DaemonStartFailed, "daemon_start_failed", "error", "The daemon could not start; the message gives the reason." },
    { LogEvent::SettingsAccepted, "settings_accepted", "info", "A change of settings was written to the platform." },
    { LogEvent::SettingsRejected, "settings_rejected", "warning",
      "A proposed change of settings was invalid or conflicted with another change." },
    { LogEvent::SettingsApplied, "settings_applied", "info", "A newer version of the settings is in force on this daemon." },
    { LogEvent::PlatformUnreachable, "platform_unreachable", "warning",
      "Calls to the platform fail; the daemon continues with the data it has." },
    { LogEvent::PlatformReachable, "platform_reachable", "info", "The platform answers again." },
    { LogEvent::FollowSourceLeft, "follow_source_left", "warning",
      "A daemon that relayed the platform's changes is not used as a source for a while; the reason field says why." },
    { LogEvent::FollowRoleChanged, "follow_role_changed", "info",
      "This daemon now follows the platform directly, or through other daemons." },
    { LogEvent::PeerStateTaken, "peer_state_taken", "info",
      "The daemon took newer changes from the state of another daemon: it has no contact with the platform, or that one named a "
      "newer version of the configuration." },
    { LogEvent::CatchUpFailed, "catch_up_failed", "warning",
      "Another daemon named a newer version of the configuration and did not hand it over." },
    { LogEvent::MemberJoined, "member_joined", "info", "Another daemon was discovered or returned." },
    { LogEvent::MemberSuspected, "member_suspected", "warning", "Another daemon does not answer probes." },
    { LogEvent::MemberDied, "member_died", "warning",
      "A suspected daemon did not refute the suspicion in time, or announced that it left." },
    { LogEvent::LinkOpened, "link_opened", "info", "A link between daemons was authenticated." },
    { LogEvent::LinkClosed, "link_closed", "info", "A link between daemons ended." },
    { LogEvent::LinkRejected, "link_rejected", "warning", "A peer failed authentication or broke the protocol." },
    { LogEvent::RequestRefused, "request_refused", "info",
      "A request was refused; the line gives the error code and the run state." },
    { LogEvent::RequestRetried, "request_retried", "info", "A request that provably did not run is retried elsewhere." },
    { LogEvent::RequestResumed, "request_resumed", "warning",
      "A stream broke and continues at the next token on another engine." },
    { LogEvent::RequestFailed, "request_failed", "warning", "A request ended without a complete answer." },
    { LogEvent::RequestServed, "request_served", "info", "The complete answer of an upstream was sent to the caller." },
    { LogEvent::RequestAbandoned, "request_abandoned", "info", "The caller disconnected before its answer was complete." },
    { LogEvent::RunMoveEnded, "run_move_ended", "info",
      "An engine was ordered to stop a run and to move its memory; the message gives the outcome." },
    { LogEvent::SessionTimedOut, "session_timed_out", "warning",
      "A connection with a request on it was closed because its peer did not send, or did not read, for too long." },
    { LogEvent::SessionRejected, "session_rejected", "warning",
      "A request was refused and its connection closed because it broke the protocol or a bound; the line says which." },
    { LogEvent::ConnectionRefused, "connection_refused", "warning",
      "A connection was closed on arrival because its listener has as many as it may have." },
    { LogEvent::RestRejected, "rest_rejected", "warning",
      "What came in place of the rest of a stream does not go on after its last event; the line gives both ids." },
    { LogEvent::UpstreamEjected, "upstream_ejected", "warning",
      "An upstream failed repeatedly and receives no requests for a while." },
    { LogEvent::UpstreamReadmitted, "upstream_readmitted", "info", "An ejected upstream receives requests again, few at first." },
    { LogEvent::UpstreamChanged, "upstream_changed", "info", "An upstream registered or changed its record." },
    { LogEvent::UpstreamGone, "upstream_gone", "info", "The record of an upstream was removed." },
    { LogEvent::EvacuationChanged, "evacuation_changed", "info",
      "An operator ordered the evacuation of a data centre, or revoked the order." },
    { LogEvent::UpstreamEnded, "upstream_ended", "warning",
      "An upstream ended while it had requests of this daemon; the line gives how many of them may have caused the end." },
    { LogEvent::RequestQuarantined, "request_quarantined", "warning",
      "Upstreams ended while they ran requests with this fingerprint, or with this part of their prompts, as the kind says; all "
      "daemons refuse such requests from now on." },
    { LogEvent::QuarantineNotWritten, "quarantine_not_written", "warning",
      "The platform did not accept the record of a quarantined request; the write is retried." },
    { LogEvent::UpstreamLimitNamed, "upstream_limit_named", "warning",
      "An upstream announced or changed the number of requests per second it accepts from all daemons; own_share is this "
      "daemon's share." },
    { LogEvent::UpstreamLimitEnded, "upstream_limit_ended", "info",
      "An upstream no longer announces a limit; the rate of requests to it is raised step by step." },
    { LogEvent::UpstreamLimitUnreadable, "upstream_limit_unreadable", "warning",
      "An upstream announced a limit that is not a rate; its previous limit stays in force." },
    { LogEvent::UpstreamLimitNotWritten, "upstream_limit_not_written", "warning",
      "The platform did not accept the record of an upstream's limit; the write is retried." },
    { LogEvent::UpstreamLeavingHeard, "upstream_leaving_heard", "info",
      "An upstream announced in an answer that it is leaving; this daemon sends it no more new requests." },
    { LogEvent::UpstreamBackoffAsked, "upstream_backoff_asked", "info",
      "An upstream refused a request and asked for a backoff; later answers may extend the backoff." },
    { LogEvent::UpstreamNoticeUnreadable, "upstream_notice_unreadable", "warning",
      "An answer carries a notice about its upstream that cannot be parsed; earlier notices stay in force." },
    { LogEvent::UpstreamLoadUnreadable, "upstream_load_unreadable", "warning",
      "An upstream reported a load that cannot be parsed or is out of range; the report is ignored." },
    { LogEvent::ReachChanged, "reach_changed", "warning",
      "Whether this daemon reaches the upstreams of a service has changed: by new connections, only by open ones, or not at "
      "all." },
    { LogEvent::ServiceBrittle, "service_brittle", "warning",
      "The upstreams of a service fall over when they reject more requests in a second than the line gives; from now on each "
      "request needs a place at its upstream." },
    { LogEvent::ServiceBrittleEnded, "service_brittle_ended", "info",
      "The upstreams of a service no longer say that they are brittle." },
    { LogEvent::UpstreamRejected, "upstream_rejected", "info",
      "A brittle upstream rejected a request for want of room; the line gives how many rejections it bears in a second and how "
      "many requests this daemon had there." },
    { LogEvent::ClaimConflict, "claim_conflict", "info", "A non-repeatable call arrived with a key that is already in use." },
    { LogEvent::RolloutOrdered, "rollout_ordered", "info", "An operator ordered that a service change over to a version." },
    { LogEvent::RolloutStageWritten, "rollout_stage_written", "info",
      "This daemon decided a step of a rollout; the line gives the share of the new version and the reason of a rollback." },
    { LogEvent::RolloutStageChanged, "rollout_stage_changed", "info", "A step of a rollout is in force on this daemon." },
    { LogEvent::RolloutNotWritten, "rollout_not_written", "warning",
      "A step of a rollout was not written; the step is decided again if it is still due." },
    { LogEvent::RolloutUnreadable, "rollout_unreadable", "warning", "An order or a record of a rollout could not be parsed." },
    { LogEvent::VersionSetChanged, "version_set_changed", "info",
      "The versions at which streams of a service may begin in a region have changed; announced ones follow soon." },
    { LogEvent::VersionSetNotWritten, "version_set_not_written", "warning",
      "The platform did not accept a changed set of versions; the write is retried." },
    { LogEvent::VersionSetUnreadable, "version_set_unreadable", "warning",
      "A stored set of versions cannot be parsed; streams of its service are taken up only where a daemon knows them." },
    { LogEvent::DrainOrdered, "drain_ordered", "info", "An operator ordered this daemon to drain." },
    { LogEvent::OrderSent, "order_sent", "info", "A fenced order was sent to an engine." },
    { LogEvent::OrderWithheld, "order_withheld", "warning", "An order was not sent because the lease could not be confirmed." },
    { LogEvent::LogLinesDropped, "log_lines_dropped", "warning",
      "Lines were dropped because the log exceeded its limit on volume; the line gives their number." },
    { LogEvent::TaskFailed, "task_failed", "error",
      "A task of the daemon ended with an exception; the work that it served was aborted." },
} };

// The maximum number of lines of one event per second; further lines are only counted. 400 lines of 300 bytes take about 1 % of
// the processor of a small VM.
constexpr unsigned maxLinesPerSecond = 400;
// Large enough that a reader that stalls for a second loses no lines.
constexpr std::size_t maxBufferedBytes = 256 * 1024;
// A pipe that is reported as writable accepts this many bytes without blocking.
constexpr std::size_t maxPipeWrite = 4'096;

/// The lines that are not written yet, and the counters for the rate limit.
struct LogState
{
    std::mutex mutex;
    std::string source = "portpaddle";
    std::string buffer;
    bool buffered = false;
    std::int64_t second = 0;
    std::map<LogEvent, unsigned> linesThisSecond;
    std::uint64_t dropped = 0;
};

LogState &logState()
{
    static LogState instance;
    return instance;
}

const LogEventDescription &describe(LogEvent event)
{
    for (const LogEventDescription &row : catalogue) {
        if (row.event == event) {
            return row;
        }
    }
    return catalogue.front();
}

std::int64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string formatLine(LogEvent event, std::initializer_list<LogField> fields, std::int64_t time, const std::string &source)
{
    const LogEventDescription &row = describe(event);
    nlohmann::ordered_json line;
    line["time_ms"] = time;
    line["source"] = source;
    line["event"] = static_cast<int>(event);
    line["name"] = row.name;
    line["level"] = row.level;
    for (const LogField &field : fields) {
        line[std::string(field.key)] = field.value;
    }
    // Some values come from peers: invalid UTF-8 is replaced, since dump() would otherwise throw an exception.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

/// Counts a line of @p event; returns false when the event has reached its limit for this second.
bool countLine(LogState &log, LogEvent event, std::int64_t time)
{
    const std::int64_t second = time / 1000;
    if (second != log.second) {
        log.second = second;
        log.linesThisSecond.clear();
        if (log.dropped > 0) {
            log.buffer += formatLine(LogEvent::LogLinesDropped, { { "lines", std::to_string(log.dropped) } }, time, log.source);
            log.dropped = 0;
        }
    }
    return ++log.linesThisSecond[event] <= maxLinesPerSecond;
}

/// Writes as much of the buffer as standard output accepts without blocking; the rest stays buffered.
void writeOut(LogState &log)
{
    while (!log.buffer.empty()) {
        pollfd ready{ STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = write(STDOUT_FILENO, log.buffer.data(), std::min(log.buffer.size(), maxPipeWrite));
        if (written <= 0) {
            return;
        }
        log.buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace

std::span<const LogEventDescription> logCatalogue()
{
    return catalogue;
}

void setLogSource(std::string source)
{
    LogState &log = logState();
    const std::lock_guard lock(log.mutex);
    log.source = std::move(source);
}

void bufferLog()
{
    LogState &log = logState();
    const std::lock_guard lock(log.mutex);
    log.buffered = true;
}

void flushLog()
{
    LogState &log = logState();
    const std::lock_guard lock(log.mutex);
    writeOut(log);
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    LogState &log = logState();
    const std::lock_guard lock(log.mutex);
    const std::int64_t time = wallMillis();
    if (!countLine(log, event, time) || log.buffer.size() > maxBufferedBytes) {
        ++log.dropped;
        return;
    }
    log.buffer += formatLine(event, fields, time, log.source);
    if (!log.buffered) {
        writeOut(log);
    }
}

} // namespace Portpaddle
