// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Validation of a whole settings tree before a change is accepted.
#pragma once

#include <string>
#include <vector>

namespace Portpaddle {

class SettingsTree;

/// A path, node or value that is not allowed in the settings.
struct SettingsProblem
{
    std::string path;
    std::string key;
    std::string found;
    std::string allowed;
};

/// Returns every problem of @p tree; an empty list means that the tree is valid.
std::vector<SettingsProblem> checkSettings(const SettingsTree &tree);
/// Formats @p problem as one line for operators.
std::string describe(const SettingsProblem &problem);

} // namespace Portpaddle
