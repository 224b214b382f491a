// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/region_division.h"

#include <algorithm>
#include <numeric>

namespace Portpaddle {

std::vector<double> divideLimit(std::span<const ByLimitClass> demands, double limit)
{
    std::vector<double> result(demands.size(), 0);
    double left = std::max(0.0, limit);
    for (std::size_t index = 0; index < limitClassCount; ++index) {
        double demand = 0;
        for (const ByLimitClass &region : demands) {
            demand += region.at(index);
        }
        const double fraction = demand > left ? left / demand : 1;
        for (std::size_t region = 0; region < demands.size(); ++region) {
            result[region] += fraction * demands[region].at(index);
        }
        left = std::max(0.0, left - fraction * demand);
    }
    const double divided = std::accumulate(result.begin(), result.end(), 0.0);
    for (double &each : result) {
        each += divided > 0 ? left * each / divided : 0;
    }
    return result;
}

} // namespace Portpaddle
