// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Divides an organisation's limit among regions: a pure function of their demand.
#pragma once

#include "portpaddle/limits/urgency_fractions.h"

#include <span>
#include <vector>

namespace Portpaddle {

/// Returns what each region may spend of @p limit units a second, in the order of @p demands, which are in units a second: the
/// more urgent classes get their demand before the others, a class that does not fit is cut by the same fraction in all regions,
/// and what is left is divided in proportion to the demand.
std::vector<double> divideLimit(std::span<const ByLimitClass> demands, double limit);

} // namespace Portpaddle
