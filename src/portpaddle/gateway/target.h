// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Where one attempt of a request goes.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/placement.h"

#include <memory>
#include <optional>
#include <string>

namespace Portpaddle {

/// A target chosen for one attempt.
struct Target
{
    Placement placement;
    /// Of the service; null where it is unknown.
    std::shared_ptr<const ServiceSpec> spec;
    /// Set for an upstream of the own region.
    std::optional<UpstreamRecord> upstream;
    /// Address of the upstream from which it is to fetch kept parts; empty where it reads them.
    std::string fetchFrom;
    /// Set for a daemon of another region.
    std::optional<DaemonRecord> daemon;
};

} // namespace Portpaddle
