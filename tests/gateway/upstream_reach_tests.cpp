// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// A daemon whose paths to the upstreams fail: what becomes of its callers' requests, and of those that other daemons forward.

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

/// A daemon that reaches neither of its two upstreams, and another daemon of its region.
class CutOffFixture : public GatewaySite
{
public:
    CutOffFixture()
    {
        addUpstream("u1", first.address());
        addUpstream("u2", second.address());
        addDaemonBeside("beside", beside.address());
    }

    void cutOff()
    {
        first.refuseConnections();
        second.refuseConnections();
    }

    ScriptedUpstream first{ echo };
    ScriptedUpstream second{ echo };
    ScriptedUpstream beside{ echo };
};

} // namespace

TEST_CASE_FIXTURE(CutOffFixture,
                  "Daemon cut off from all upstreams, a daemon beside it reaches them, serves its callers through it")
{
    cutOff();
    for (const std::string id : { "id1", "id2", "id3" }) {
        const SeenAnswer answer = ask("/single/a", id, {}, "body");
        CHECK(answer.status == 200);
        CHECK(answer.body == "body");
    }
    CHECK(beside.seen().size() == 3);
}
