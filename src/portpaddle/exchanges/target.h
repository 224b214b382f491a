// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The target of one attempt of a request.
#pragma once

#include "portpaddle/placement/placement.h"
#include "portpaddle/store_following/fleet_view.h"

#include <memory>
#include <optional>
#include <string>

namespace Portpaddle {

/// The target chosen for one attempt.
struct Target
{
    Placement placement;
    /// The spec of the service; null where the service is unknown.
    std::shared_ptr<const ServiceSpec> spec;
    /// Set for an upstream of the own region.
    std::optional<UpstreamRecord> upstream;
    /// Address of the upstream from which cached parts are to be fetched; empty where nothing is fetched.
    std::string fetchFrom;
    /// Set for another daemon.
    std::optional<DaemonRecord> daemon;
};

} // namespace Portpaddle
