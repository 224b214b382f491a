// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What the most urgent requests get when more is asked than the upstreams of a region can serve.

#include "support/overloaded_region.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

// The most urgent requests lost their places behind short ones once they were predicted to be late.
TEST_CASE("Overload, less urgent requests beyond the capacity, cost the most urgent ones nothing")
{
    for (const unsigned daemons : { 1U, 29U, 87U, 300U }) {
        for (const double load : { 2.0, 5.0 }) {
            CAPTURE(daemons);
            CAPTURE(load);
            OverloadedRegion region(daemons);
            region.play(load);
            CHECK(region.urgent.share() >= 0.95);
            CHECK(region.usual.timely > 0);
        }
    }
}
