// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// How a daemon weighs and which mechanisms it uses; each has a name under which an operator changes it.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/gateway/placement.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Portpaddle {

/// All on unless an operator says otherwise. docs/settings.md lists the names.
struct PolicySettings
{
    PlacementWeights weights;
    /// Shared parts of prompts have regions and upstreams where they are at home.
    bool promptHomes = true;
    /// Upstreams fetch kept parts of prompts from each other.
    bool fetching = true;
    /// Requests that miss their target anyway are read after those that can meet it.
    bool lateLast = true;
    /// The time of first tokens against its prediction is learned by upstream.
    bool learnedSlowness = true;
    /// Upstreams that failed several times in a row are avoided for a while.
    bool avoidFailing = true;
    /// Upstreams that owe answers and say nothing are avoided until they are heard.
    bool avoidSilent = true;
    /// Daemons tell each other which parts of prompts they placed where.
    bool toldParts = true;
    /// Runs are moved away from upstreams that announce their end.
    bool moves = true;
    /// Cold upstreams are left to callers of their own region.
    bool coldAtHome = true;
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

/// All settings by name.
std::vector<PolicySettingDescription> policyCatalogue();

/// Reads what @p json sets, by name; SettingsInvalid for an unknown name, a wrong type or a number out of its bounds.
Result<PolicySettings> parsePolicy(const nlohmann::json &json);

} // namespace Portpaddle
