// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Load that the daemons of one region forward to another one between two summaries of it.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/placement/region_table.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

/// A daemon beside 28 others, and another region of ten upstreams that prefill 50 tokens in a millisecond each.
class RegionRoomFixture
{
public:
    RegionRoomFixture()
    {
        regions.setOwnRegion("north");
        regions.setDaemons(view(), now);
        for (unsigned peer = 0; peer < 28; ++peer) {
            hear("north-" + std::to_string(peer), "north", {});
        }
        regions.tick(now);
        summarise();
    }

    static FleetView view()
    {
        FleetView view;
        DaemonRecord daemon;
        daemon.id = "south-0";
        daemon.region = "south";
        view.daemons = SharedList<DaemonRecord>(std::vector<DaemonRecord>{ daemon });
        return view;
    }

    void hear(const std::string &daemon, const std::string &region, std::vector<Wire::ServiceWait> services)
    {
        Wire::LoadDigestT digest;
        digest.daemon = daemon;
        digest.region = region;
        digest.sequence = ++sequence;
        digest.services = std::move(services);
        regions.applyDigest(digest, now);
    }

    /// The other region reports that nothing waits there.
    void summarise()
    {
        hear("south-0", "south", { Wire::ServiceWait(serviceKey("s"), 0, 0, 0, 10, 50, 0, 0) });
    }

    void forward(unsigned tokens)
    {
        PromptFacts prompt;
        prompt.promptTokens = tokens;
        regions.recordForwarded("south", "s", prompt, now);
    }

    double waitMs() const
    {
        std::vector<std::string> names;
        const std::vector<RegionCandidate> candidates = regions.candidates("s", {}, {}, Urgency::Usual, now, names);
        return candidates.empty() ? -1 : candidates.front().waitMs;
    }

    RegionTable regions;
    SteadyTime now{ 1h };
    std::uint64_t sequence = 0;
};

} // namespace

// All daemons see the same idle region. Without counting the others, each sends it a burst, and its queue stands at a second.
TEST_CASE_FIXTURE(RegionRoomFixture, "Region, request forwarded there, counts for all daemons that choose the same way")
{
    CHECK(waitMs() == 0);
    forward(12'000);
    CHECK(waitMs() > 400);
    CHECK(waitMs() < 700);
}

TEST_CASE_FIXTURE(RegionRoomFixture, "Region, summary after a forwarded request, still misses what is on its way")
{
    forward(12'000);
    now += 100ms;
    summarise();
    CHECK(waitMs() > 250);
}

TEST_CASE_FIXTURE(RegionRoomFixture, "Region, nothing forwarded for a second, has its room again")
{
    forward(12'000);
    now += 1s;
    summarise();
    CHECK(waitMs() < 30);
}

// A peer may name any number of services.
TEST_CASE_FIXTURE(RegionRoomFixture, "Region, more services than can be configured, keeps the known ones")
{
    for (std::uint64_t service = 1; service <= 2'000; ++service) {
        hear("south-0", "south", { Wire::ServiceWait(service, 0, 0, 0, 10, 50, 0, 0) });
    }
    forward(12'000);
    summarise();
    CHECK(waitMs() > 400);
}

// What is forwarded all the time shows in the summaries and would otherwise count twice.
TEST_CASE_FIXTURE(RegionRoomFixture, "Region, requests forwarded at a constant rate, add little to its summaries")
{
    for (unsigned count = 0; count < 100; ++count) {
        forward(1'000);
        now += 100ms;
        summarise();
    }
    CHECK(waitMs() < 60);
}
