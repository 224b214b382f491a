// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Finds out which engine can fetch cached parts of a prompt from which other engine.
#pragma once

#include "portpaddle/placement/placement.h"
#include "portpaddle/store_following/fleet_view.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Address of the engine to fetch from, by the group of the fetching engine.
using FetchSources = std::unordered_map<std::string, std::string>;

/// Returns the group of engines that may fetch from each other: those of one data centre and one software version.
std::string fetchGroupOf(const UpstreamRecord &upstream);

/// Sets for each of @p upstreams what it can fetch and returns the sources; @p records holds the records of the upstreams by
/// index. Returns no sources for services whose engines do not fetch.
FetchSources offerFetching(const ServiceSpec &spec, std::vector<UpstreamCandidate> &upstreams,
                           const std::vector<const UpstreamRecord *> &records);

} // namespace Portpaddle
