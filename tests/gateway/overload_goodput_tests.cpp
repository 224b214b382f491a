// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Requests served in time when more is asked than the upstreams of a region can serve.

#include "support/overloaded_region.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Portpaddle;

// A queue that stands at its target serves nobody in time: the same upstreams then serve less the more is asked.
TEST_CASE("Overload, more asked than a region can serve, keeps the requests served in time at their most")
{
    for (const unsigned daemons : { 1U, 29U, 87U, 300U }) {
        CAPTURE(daemons);
        std::vector<unsigned> timely;
        for (const double load : { 0.9, 2.0, 3.0, 5.0 }) {
            OverloadedRegion region(daemons);
            region.play(load);
            timely.push_back(region.urgent.timely + region.usual.timely);
        }
        const double most = *std::max_element(timely.begin(), timely.end());
        for (const unsigned count : timely) {
            CHECK(count >= 0.95 * most);
        }
    }
}
