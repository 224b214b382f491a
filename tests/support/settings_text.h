// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Builds settings trees for tests.
#pragma once

#include "portpaddle/settings/compiled.h"
#include "portpaddle/settings/tree.h"

#include <string>

namespace Portpaddle {

/// Returns the tree that @p text describes, as version 1; throws std::runtime_error when the text is malformed.
inline SettingsTree treeFrom(const std::string &text)
{
    const Result<SettingsPatch> patch = parseSettings(text, "test");
    if (!isOk(patch)) {
        throw std::runtime_error(errorOf(patch).message);
    }
    return SettingsTree().with(valueOf(patch), 1);
}

/// Compiles @p text for the data centre "n1" of region "north".
inline std::shared_ptr<const CompiledSettings> compiledFrom(const std::string &text)
{
    return CompiledSettings::compile(treeFrom(text), Place{ "north", "n1" });
}

} // namespace Portpaddle
