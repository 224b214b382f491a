// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads whole files.
#pragma once

#include "portpaddle/base/error.h"

#include <string>

namespace Portpaddle {

/// Returns the contents of the file at @p path, which is read into memory; NotFound when it cannot be read or is empty.
Result<std::string> readFile(const std::string &path);

} // namespace Portpaddle
