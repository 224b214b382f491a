// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Compression of message bodies.
#pragma once

#include "portpaddle/base/error.h"

#include <string>
#include <string_view>

namespace Portpaddle {

/// Returns @p bytes in the gzip format, compressed for speed; Internal if the library fails.
Result<std::string> gzip(std::string_view bytes);

} // namespace Portpaddle
