// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Daemon records for tests.
#pragma once

#include "portpaddle/store_following/fleet_view.h"

#include <string>

namespace Portpaddle {

/// Returns the record of a daemon whose addresses equal its id; @p region has one data centre.
inline DaemonRecord daemonIn(const std::string &id, const std::string &region, bool leaving = false)
{
    DaemonRecord record;
    record.id = id;
    record.region = region;
    record.dataCentre = region + "-1";
    record.entryAddress = id;
    record.linkAddress = id;
    record.leaving = leaving;
    return record;
}

} // namespace Portpaddle
