// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/routing/routing_snapshot.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<LeavingSignal, 4> leavingSignalNames{ { "none", "settings", "own_report", "vm_list" } };

} // namespace

std::string_view nameOf(LeavingSignal signal)
{
    return leavingSignalNames[signal];
}

const ServiceRoutes &RoutingSnapshot::routesOf(const std::string &service) const
{
    static const ServiceRoutes none;
    const auto found = routes.find(service);
    return found == routes.end() ? none : found->second;
}

} // namespace Portpaddle
