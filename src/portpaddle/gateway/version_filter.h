// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps requests to the versions of a service that a rollout gives them, and streams to the version that began them.
#pragma once

#include "portpaddle/placement/placement.h"
#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/stream_versions/stream_key.h"

#include <optional>
#include <vector>

namespace Portpaddle {

/// Excludes the upstreams that a request of @p arm may not be sent to. @p records are those to which the candidates' indexes
/// refer.
void excludeOtherVersions(const std::optional<VersionRule> &rule, VersionArm arm, std::vector<UpstreamCandidate> &candidates,
                          const std::vector<const UpstreamRecord *> &records);
/// Excludes the upstreams at which a stream that began at @p version cannot go on: those of other versions, and all if @p rule
/// does not admit the version any more.
void keepToVersion(VersionKey version, const std::optional<VersionRule> &rule, std::vector<UpstreamCandidate> &candidates,
                   const std::vector<const UpstreamRecord *> &records);

} // namespace Portpaddle
