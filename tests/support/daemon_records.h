// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Records of daemons for tests.
#pragma once

#include "portpaddle/gateway/fleet_view.h"

#include <string>

namespace Portpaddle {

/// A daemon that callers reach at its own id; @p region has one data centre.
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
