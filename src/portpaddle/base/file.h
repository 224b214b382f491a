// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reading whole files.
#pragma once

#include "portpaddle/base/error.h"

#include <string>

namespace Portpaddle {

/// The contents of a file of moderate size.
Result<std::string> readFile(const std::string &path);

} // namespace Portpaddle
