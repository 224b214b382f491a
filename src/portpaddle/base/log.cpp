// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/log.h"

#include <array>
#include <chrono>
#include <cstdio>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr std::array<LogEventDescription, 25> catalogue{ {
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
    { LogEvent::UpstreamEjected, "upstream_ejected", "warning", "An upstream failed repeatedly and gets no work for a while." },
    { LogEvent::UpstreamReadmitted, "upstream_readmitted", "info", "An ejected upstream gets work again, slowly." },
    { LogEvent::ClaimConflict, "claim_conflict", "info", "A non-repeatable call came again with a key already in use." },
    { LogEvent::DrainOrdered, "drain_ordered", "info", "An operator ordered this daemon to drain." },
    { LogEvent::OrderSent, "order_sent", "info", "A fenced order was sent to an engine." },
    { LogEvent::OrderWithheld, "order_withheld", "warning", "An order was not sent because the lease could not be proved." },
} };

std::string &sourceName()
{
    static std::string name = "portpaddle";
    return name;
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

} // namespace

std::span<const LogEventDescription> logCatalogue()
{
    return catalogue;
}

void setLogSource(std::string source)
{
    sourceName() = std::move(source);
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const LogEventDescription &row = describe(event);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line;
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    line["source"] = sourceName();
    line["event"] = static_cast<int>(event);
    line["name"] = row.name;
    line["level"] = row.level;
    for (const LogField &field : fields) {
        line[std::string(field.key)] = field.value;
    }
    // Peers choose some of the values: invalid UTF-8 is replaced rather than thrown at the logger.
    fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace Portpaddle
