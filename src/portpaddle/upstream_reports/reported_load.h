// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The load that an upstream reports of itself.
#pragma once

#include <cstdint>

namespace Portpaddle {

/// Upper bounds of the figures; larger ones are taken for errors.
inline constexpr std::uint32_t maxReportedRequests = 1'000'000;
inline constexpr std::uint32_t maxReportedPacePercent = 10'000;
/// The pace of an upstream that reports none.
inline constexpr std::uint32_t usualPacePercent = 100;

/// One report of an upstream.
struct ReportedLoad
{
    /// Requests that the upstream runs now.
    std::uint32_t running = 0;
    /// Requests that wait in its queue.
    std::uint32_t waiting = 0;
    /// Requests that it runs at most at the same time; at least 1.
    std::uint32_t slots = 1;
    /// The time that work currently takes, in percent of the usual time; at least 1.
    std::uint32_t pacePercent = usualPacePercent;

    bool operator==(const ReportedLoad &) const = default;
};

/// Returns whether all figures are within their bounds.
constexpr bool isPlausible(const ReportedLoad &load)
{
    return load.running <= maxReportedRequests && load.waiting <= maxReportedRequests && load.slots >= 1
        && load.slots <= maxReportedRequests && load.pacePercent >= 1 && load.pacePercent <= maxReportedPacePercent;
}

/// The newest report of an upstream, as a choice of an upstream uses it.
struct LoadReportView
{
    /// Requests that the upstream ran and that waited in its queue when it made the report.
    double running = 0;
    double waiting = 0;
    double slots = 1;
    /// The time that work took, as a multiple of the usual time.
    double pace = 1;
    /// Time since the report reached any daemon of the region, in milliseconds; too low by the time between daemons.
    double ageMs = 0;
    /// Requests that this daemon has sent to the upstream since then.
    double sentSince = 0;
};

} // namespace Portpaddle
