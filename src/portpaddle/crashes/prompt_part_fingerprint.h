// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Identifies the parts that prompts share.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"

#include <string_view>
#include <vector>

namespace Portpaddle {

/// Returns the fingerprints of all parts of the prompt but the last, which belongs to its request alone. @p partList is the
/// header that names the parts. The same part of prompts for different services has different fingerprints, and none has that of
/// a request.
std::vector<RequestFingerprint> sharedPartsOf(std::string_view service, std::string_view partList);

} // namespace Portpaddle
