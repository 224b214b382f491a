// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/file.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace Portpaddle {

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return Error{ ErrorCode::NotFound, fmt::format("{}: the file cannot be read or is empty", path), RunState::NotRun,
                      std::nullopt };
    }
    return text.str();
}

} // namespace Portpaddle
