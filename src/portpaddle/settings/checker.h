// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Checks a whole tree of settings before it is accepted.
#pragma once

#include <string>
#include <vector>

namespace Portpaddle {

class SettingsTree;

/// One thing wrong in the settings.
struct SettingsProblem
{
    std::string path;
    std::string key;
    std::string found;
    std::string allowed;
};

/// Every problem of @p tree; empty when it may be accepted.
std::vector<SettingsProblem> checkSettings(const SettingsTree &tree);
/// The problem as one line for people.
std::string describe(const SettingsProblem &problem);

} // namespace Portpaddle
