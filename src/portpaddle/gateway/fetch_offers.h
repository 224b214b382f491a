// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which engine can fetch kept parts of a prompt from which other one.
#pragma once

#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/gateway/placement.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Address to fetch from, by data centre.
using FetchSources = std::unordered_map<std::string, std::string>;

/// Notes at each of @p upstreams what it can fetch; @p records are theirs, by index. Gives nothing for services whose engines do
/// not fetch.
FetchSources offerFetching(const ServiceSpec &spec, std::vector<UpstreamCandidate> &upstreams,
                           const std::vector<const UpstreamRecord *> &records);

} // namespace Portpaddle
