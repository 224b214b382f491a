// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon that loses the paths to its upstreams must not take that for the end of the upstreams.

#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

#include <atomic>
#include <list>

using namespace Portpaddle;

namespace {

/// Upstreams that lose all connections at once while each of them runs a request, and take no new ones.
class LostPathsFixture : public GatewaySite
{
public:
    LostPathsFixture()
    {
        addUpstream("u1", first.address());
        addUpstream("u2", second.address());
        addUpstream("u3", third.address());
    }

    /// Sends the same request until two upstreams run it; then the paths to all of them are lost.
    void losePathsDuringRuns()
    {
        std::list<RawCaller> callers;
        for (int index = 0; running() < 2; ++index) {
            callers.emplace_back(address());
            callers.back().send(request("/plain/a", "id" + std::to_string(index), {}, "body"));
            const std::size_t sent = callers.size();
            CHECK(eventually([&] { return first.seen().size() + second.seen().size() + third.seen().size() >= sent; }));
        }
        for (ScriptedUpstream *upstream : { &first, &second, &third }) {
            upstream->refuseConnections();
        }
        lost = true;
        for (RawCaller &caller : callers) {
            caller.receive();
        }
    }

    std::atomic<bool> lost{ false };
    ScriptedUpstream::Script breakWhenLost = [this](const SeenRequest &) {
        eventually([this] { return lost.load(); });
        return ScriptedAnswer{ {}, ScriptedAnswer::Then::Reset };
    };
    ScriptedUpstream first{ breakWhenLost };
    ScriptedUpstream second{ breakWhenLost };
    ScriptedUpstream third{ breakWhenLost };

private:
    int running() const
    {
        int count = 0;
        for (const ScriptedUpstream *upstream : { &first, &second, &third }) {
            count += upstream->seen().empty() ? 0 : 1;
        }
        return count;
    }
};

} // namespace

TEST_CASE_FIXTURE(LostPathsFixture, "Request, paths to all upstreams lost while two of them run it, is not quarantined")
{
    losePathsDuringRuns();
    ScriptedUpstream fourth(echo);
    addUpstream("u4", fourth.address());
    // The daemon refuses requests until it has found out that the new upstream accepts connections.
    const Suspension probeInterval(std::chrono::seconds(1));
    CHECK(eventually([this] {
        onLoop([](Gateway &gateway) { gateway.tick(); });
        return ask("/plain/a", "again", {}, "body").status == 200;
    }));
}
