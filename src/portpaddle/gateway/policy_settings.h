// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Weights and switches of the placement policy; an operator changes each of them by name.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/placement/placement.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Portpaddle {

/// All mechanisms are on by default. docs/settings.md lists the names.
struct PolicySettings
{
    PlacementWeights weights;
    /// Shared parts of prompts have a preferred region and preferred upstreams (prefix affinity).
    bool prefixAffinity = true;
    /// Engines fetch cached parts of prompts from each other.
    bool fetching = true;
    /// Requests that miss their target anyway are prefilled after those that can meet it.
    bool lateLast = true;
    /// The time to the first token and its error are learned for each service, and the slowness of each upstream.
    bool learnedSlowness = true;
    /// Upstreams that failed several times in a row are avoided for a while.
    bool avoidFailing = true;
    /// Upstreams that have requests in progress and send nothing are avoided until they send something.
    bool avoidSilent = true;
    /// Daemons announce to each other which parts of prompts they placed where.
    bool announceParts = true;
    /// Runs are moved away from upstreams that announce their end.
    bool moves = true;
    /// Cold upstreams are reserved for callers of their own region.
    bool reserveColdUpstreams = true;
};

/// One setting as the reference page shows it.
struct PolicySettingDescription
{
    std::string name;
    /// "number from 0 to N" or "switch".
    std::string type;
    std::string defaultValue;
    std::string meaning;
};

/// Returns all settings, sorted by name.
std::vector<PolicySettingDescription> policyCatalogue();

/// Parses the settings in @p json; SettingsInvalid for an unknown name, a wrong type or a number out of its bounds.
Result<PolicySettings> parsePolicy(const nlohmann::json &json);

} // namespace Portpaddle
