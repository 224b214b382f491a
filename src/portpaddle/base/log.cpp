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

constexpr std::array<LogEventDescription, 45> catalogue{ {
    { LogEvent::DaemonStarted, "daemon_started", "info", "The daemon listens on all its addresses." },
    { LogEvent::DaemonStopping, "daemon_stopping", "info",
      "A planned stop began: no new work is taken, work in progress goes on." },
    { LogEvent::DaemonStopped, "daemon_stopped", "info", "The last request ended and the daemon leaves." },
    { LogEvent::DaemonStartFailed, "daemon_start_failed", "error", "The daemon could not start; the message says why." },
    { LogEvent::SettingsAccepted, "settings_accepted", "info", "A change of settings was written to the platform." },
    { LogEvent::SettingsRejected, "settings_rejected", "warning", "A proposed change failed its check or lost a race." },
    { LogEvent::SettingsApplied, "settings_applied", "info", "A newer version of the settings is in force on this daemon." },
    { LogEvent::PlatformUnreachable, "platform_unreachable", "warning",
      "Calls to the platform fail; the daemon goes on with what it knows." },
    { LogEvent::PlatformReachable, "platform_reachable", "info", "The platform answers again." },
    { LogEvent::FollowSourceLeft, "follow_source_left", "warning",
      "A daemon that handed on the platform's changes is not asked for a while; the reason says why." },
    { LogEvent::FollowRoleChanged, "follow_role_changed", "info",
      "This daemon follows the platform itself from now on, or by way of others." },
    { LogEvent::MemberJoined, "member_joined", "info", "Another daemon became known or returned." },
    { LogEvent::MemberSuspected, "member_suspected", "warning", "Another daemon does not answer probes." },
    { LogEvent::MemberDied, "member_died", "warning", "A suspected daemon did not refute in time, or said that it left." },
    { LogEvent::LinkOpened, "link_opened", "info", "A link between daemons was authenticated." },
    { LogEvent::LinkClosed, "link_closed", "info", "A link between daemons ended." },
    { LogEvent::LinkRejected, "link_rejected", "warning", "A peer failed authentication or broke the protocol." },
    { LogEvent::RequestRefused, "request_refused", "info", "A request was refused; code and run state say how." },
    { LogEvent::RequestRetried, "request_retried", "info", "A request that provably did not run is tried elsewhere." },
    { LogEvent::RequestResumed, "request_resumed", "warning", "A stream broke and goes on at the next token on another engine." },
    { LogEvent::RequestFailed, "request_failed", "warning", "A request ended without its whole answer." },
    { LogEvent::RequestServed, "request_served", "info", "The whole answer of an upstream went to the caller." },
    { LogEvent::RequestAbandoned, "request_abandoned", "info", "The caller left before its answer was whole." },
    { LogEvent::RunMoveEnded, "run_move_ended", "info",
      "An engine was ordered to stop a run and to move its memory; the message says what came of it." },
    { LogEvent::UpstreamEjected, "upstream_ejected", "warning", "An upstream failed repeatedly and gets no work for a while." },
    { LogEvent::UpstreamReadmitted, "upstream_readmitted", "info", "An ejected upstream gets work again, slowly." },
    { LogEvent::UpstreamChanged, "upstream_changed", "info", "An upstream registered or changed its record." },
    { LogEvent::UpstreamGone, "upstream_gone", "info", "The record of an upstream was removed." },
    { LogEvent::EvacuationChanged, "evacuation_changed", "info",
      "An operator empties a data centre of requests, or takes that back." },
    { LogEvent::UpstreamEnded, "upstream_ended", "warning",
      "An upstream ended while it had requests of this daemon; the line tells how many of them may have ended it." },
    { LogEvent::RequestQuarantined, "request_quarantined", "warning",
      "Upstreams ended under requests with this fingerprint; such requests are refused from now on, by all daemons." },
    { LogEvent::QuarantineNotWritten, "quarantine_not_written", "warning",
      "The platform did not take the record of a held request; it is tried again." },
    { LogEvent::UpstreamLimitNamed, "upstream_limit_named", "warning",
      "An upstream said how many requests a second it takes from all daemons, or changed that; own_share is this daemon's." },
    { LogEvent::UpstreamLimitEnded, "upstream_limit_ended", "info",
      "An upstream names no limit any more; it is asked more often step by step." },
    { LogEvent::UpstreamLimitUnreadable, "upstream_limit_unreadable", "warning",
      "An upstream named a limit that is no rate; what it named before holds." },
    { LogEvent::UpstreamLimitNotWritten, "upstream_limit_not_written", "warning",
      "The platform did not take the record of an upstream's limit; it is tried again." },
    { LogEvent::UpstreamLeavingHeard, "upstream_leaving_heard", "info",
      "An upstream said in an answer that it leaves; this daemon sends it no new requests any more." },
    { LogEvent::UpstreamBackoffAsked, "upstream_backoff_asked", "info",
      "An upstream turned a request away and asked not to be sent anything for a time; later answers may ask for longer." },
    { LogEvent::UpstreamNoticeUnreadable, "upstream_notice_unreadable", "warning",
      "An answer says something of its upstream that cannot be read; what was known before holds." },
    { LogEvent::ClaimConflict, "claim_conflict", "info", "A non-repeatable call came again with a key already in use." },
    { LogEvent::DrainOrdered, "drain_ordered", "info", "An operator ordered this daemon to drain." },
    { LogEvent::OrderSent, "order_sent", "info", "A fenced order was sent to an engine." },
    { LogEvent::OrderWithheld, "order_withheld", "warning", "An order was not sent because the lease could not be proved." },
    { LogEvent::LogLinesDropped, "log_lines_dropped", "warning", "Lines that went beyond the bound on the volume of the log." },
    { LogEvent::TaskFailed, "task_failed", "error", "A part of the daemon ended by an exception; what it served was cut off." },
} };

// Lines of one event in a second, before the rest is only counted. Four hundred lines of 300 bytes cost a small VM about one
// hundredth of its processor.
constexpr unsigned maxLinesPerSecond = 400;
// A reader that is slow for a second loses nothing.
constexpr std::size_t maxBufferedBytes = 256 * 1024;
// A pipe that is writable takes this much without blocking.
constexpr std::size_t pipeStep = 4'096;

/// What the process has logged and not written yet.
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

LogState &state()
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
    // Peers choose some of the values: invalid UTF-8 is replaced rather than thrown at the logger.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

/// Counts the line; false if its event has had its share of this second.
bool admit(LogState &log, LogEvent event, std::int64_t time)
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

/// Writes without blocking where standard output can say that it is ready; the rest stays buffered.
void writeOut(LogState &log)
{
    while (!log.buffer.empty()) {
        pollfd ready{ STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = write(STDOUT_FILENO, log.buffer.data(), std::min(log.buffer.size(), pipeStep));
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
    LogState &log = state();
    const std::lock_guard lock(log.mutex);
    log.source = std::move(source);
}

void bufferLog()
{
    LogState &log = state();
    const std::lock_guard lock(log.mutex);
    log.buffered = true;
}

void flushLog()
{
    LogState &log = state();
    const std::lock_guard lock(log.mutex);
    writeOut(log);
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    LogState &log = state();
    const std::lock_guard lock(log.mutex);
    const std::int64_t time = wallMillis();
    if (!admit(log, event, time) || log.buffer.size() > maxBufferedBytes) {
        ++log.dropped;
        return;
    }
    log.buffer += formatLine(event, fields, time, log.source);
    if (!log.buffered) {
        writeOut(log);
    }
}

} // namespace Portpaddle
