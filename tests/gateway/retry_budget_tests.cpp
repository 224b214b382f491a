// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The retry budget of a daemon before and after other daemons can count it.

#include "support/gateway_site.h"
#include "support/scripted_upstream.h"
#include "support/suspended_clock.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr const char *failure = "HTTP/1.1 500 Failed\r\nX-Request-Id: @id\r\nContent-Length: 0\r\n\r\n";

class FailingUpstreamsFixture : public GatewaySite
{
public:
    explicit FailingUpstreamsFixture(Registration registration = Registration::Listed)
        : GatewaySite(Routes::Published, registration)
    {
        addUpstream("u1", first.address());
        addUpstream("u2", second.address());
        terms.retryRatio = 0.2;
        terms.extraRetriesPerWindow = 100;
        setOptions();
    }

    /// Sends @p requests and returns the number of retries that arrived.
    std::size_t retriesOf(std::size_t requests)
    {
        const std::size_t before = first.seen().size() + second.seen().size();
        for (std::size_t index = 0; index < requests; ++index) {
            ask("/plain/a", "id" + std::to_string(index));
        }
        return first.seen().size() + second.seen().size() - before - requests;
    }

    ScriptedUpstream first{ [](const SeenRequest &) { return ScriptedAnswer{ failure }; } };
    ScriptedUpstream second{ [](const SeenRequest &) { return ScriptedAnswer{ failure }; } };
};

class UnlistedFixture : public FailingUpstreamsFixture
{
public:
    UnlistedFixture() : FailingUpstreamsFixture(Registration::Unlisted)
    {
    }
};

/// A daemon past the second after its start in which it sends nothing to cold upstreams.
class ColdUpstreamFixture : public GatewaySite
{
public:
    explicit ColdUpstreamFixture(Registration registration = Registration::Listed) : GatewaySite(Routes::Published, registration)
    {
        routes.services["s"].coldPerSecond = 100;
        publishRoutes();
        addColdUpstream("u1", upstream.address());
        elapsed = std::make_unique<Suspension>(5s);
        onLoop([](Gateway &gateway) { gateway.tick(); });
    }

    ScriptedUpstream upstream{ echo };
    std::unique_ptr<Suspension> elapsed;
};

class UnlistedColdUpstreamFixture : public ColdUpstreamFixture
{
public:
    UnlistedColdUpstreamFixture() : ColdUpstreamFixture(Registration::Unlisted)
    {
    }
};

} // namespace

TEST_CASE_FIXTURE(UnlistedFixture, "Daemon that has just started, failing upstreams, retries within the credit of its requests")
{
    CHECK(retriesOf(20) <= 4);
}

TEST_CASE_FIXTURE(FailingUpstreamsFixture,
                  "Daemon that was listed for a window, failing upstreams, retries beyond the credit of its requests")
{
    CHECK(retriesOf(20) > 4);
}

TEST_CASE_FIXTURE(ColdUpstreamFixture, "Cold upstream, listed daemon, is sent requests")
{
    CHECK(ask("/plain/a", "id1").status == 200);
}

// The rate of a cold upstream is divided by the number of listed daemons, at least one: if several daemons started before any
// was listed, each would use the whole rate.
TEST_CASE_FIXTURE(UnlistedColdUpstreamFixture, "Cold upstream, unlisted daemon, is sent nothing")
{
    CHECK(ask("/plain/a", "id1").status == 503);
    CHECK(upstream.seen().empty());
}

TEST_CASE_FIXTURE(GatewaySite, "Relayed request, refused before placement, reports no attempt")
{
    const SeenAnswer answer = askAsDaemon("/nowhere/a", "id1", "X-Portpaddle-Sends: 1\r\n");
    CHECK(answer.head.find("X-Portpaddle-Outcome: not_run") != std::string::npos);
    CHECK(answer.head.find("X-Portpaddle-Sends: 0") != std::string::npos);
}
