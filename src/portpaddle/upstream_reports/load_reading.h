// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads the load that an upstream reports in the head of an answer.
#pragma once

#include "portpaddle/upstream_reports/reported_load.h"

#include <boost/beast/http/fields.hpp>

#include <string>

namespace Portpaddle {

/// Whether the head of an answer reports a load.
enum class LoadReadingKind { Absent, Reported, Unreadable };

/// The load that the head of an answer reports.
struct LoadReading
{
    LoadReadingKind kind = LoadReadingKind::Absent;
    /// Set if a load is reported.
    ReportedLoad load;
};

/// Reads the header @p name: "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE" in decimal digits, without spaces. If the
/// header occurs several times with different loads, it is unreadable.
LoadReading readReportedLoad(const boost::beast::http::fields &head, const std::string &name);

} // namespace Portpaddle
