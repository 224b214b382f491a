// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The order in which requests of several organisations and routes are served, and the few classes in which load is counted.

#include "portpaddle/admission/priority_order.h"
#include "portpaddle/store_following/service_map.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

/// A configuration with routes of the priorities 0 and 2.
class PriorityFixture
{
public:
    PriorityFixture()
    {
        addRoute(0);
        addRoute(2);
    }

    void addRoute(unsigned priority)
    {
        Route route;
        route.priority = priority;
        services.routes.push_back(route);
    }

    void addOrganisation(const std::string &name, std::optional<unsigned> priority, double perSecond)
    {
        Organisation organisation;
        organisation.name = name;
        organisation.priority = priority;
        organisation.limit.perSecond = perSecond;
        services.organisations.add(organisation, {});
    }

    Urgency urgencyOf(unsigned organisation, unsigned route) const
    {
        return services.priorities().urgencyOf({ organisation, route });
    }

    unsigned upstreamPriorityOf(unsigned organisation, unsigned route) const
    {
        return services.priorities().upstreamPriorityOf({ organisation, route });
    }

    ServiceMap services;
};

} // namespace

TEST_CASE_FIXTURE(PriorityFixture, "Priority order, no organisations, is that of the routes")
{
    addRoute(5);
    addRoute(7);
    services.index();
    CHECK(urgencyOf(0, 0) == Urgency::Urgent);
    CHECK(urgencyOf(2, 2) == Urgency::Usual);
    CHECK(urgencyOf(5, 5) == Urgency::Patient);
    CHECK(urgencyOf(7, 7) == Urgency::Patient);
    CHECK(upstreamPriorityOf(7, 7) == 7);
}

// Without this an organisation's urgent and less urgent requests wait in one queue at the upstreams.
TEST_CASE_FIXTURE(PriorityFixture, "Priority order, organisations of one priority, distinguishes their routes")
{
    addOrganisation("a", 1, 100);
    addOrganisation("b", 1, 300);
    services.index();
    CHECK(urgencyOf(1, 0) == Urgency::Urgent);
    CHECK(urgencyOf(1, 2) == Urgency::Usual);
}

TEST_CASE_FIXTURE(PriorityFixture, "Priority order, organisation with precedence, comes before all routes of the others")
{
    addOrganisation("small", 0, 10);
    addOrganisation("large", 1, 1'000);
    services.index();
    CHECK(upstreamPriorityOf(0, 0) == 0);
    CHECK(upstreamPriorityOf(0, 2) == 1);
    CHECK(upstreamPriorityOf(1, 0) == 2);
    CHECK(upstreamPriorityOf(1, 2) == 3);
}

TEST_CASE_FIXTURE(PriorityFixture, "Priority order, priorities at the end of the scale, stay apart and above late requests")
{
    addOrganisation("only", 9, 10);
    services.index();
    CHECK(upstreamPriorityOf(9, 0) == 7);
    CHECK(upstreamPriorityOf(9, 2) == 8);
}

// Load is counted in three classes; the requests of a small organisation must not take two of them.
TEST_CASE_FIXTURE(PriorityFixture, "Priority order, more priorities than classes, merges those with the least demand")
{
    addOrganisation("small", 0, 10);
    addOrganisation("large", 1, 1'000);
    services.index();
    CHECK(urgencyOf(0, 0) == Urgency::Urgent);
    CHECK(urgencyOf(0, 2) == Urgency::Urgent);
    CHECK(urgencyOf(1, 0) == Urgency::Usual);
    CHECK(urgencyOf(1, 2) == Urgency::Patient);
}

TEST_CASE_FIXTURE(PriorityFixture, "Priority order, priority that is not in force, gets the class of the next one")
{
    services.index();
    CHECK(urgencyOf(1, 1) == Urgency::Usual);
    CHECK(urgencyOf(9, 9) == Urgency::Patient);
}

TEST_CASE_FIXTURE(PriorityFixture, "Priority of a request, organisation without one, is that of the route")
{
    Organisation organisation;
    CHECK(ServiceMap::priorityOf(services.routes[1], &organisation) == RequestPriority{ 2, 2 });
    organisation.priority = 1;
    CHECK(ServiceMap::priorityOf(services.routes[1], &organisation) == RequestPriority{ 1, 2 });
    CHECK(ServiceMap::priorityOf(services.routes[1], nullptr) == RequestPriority{ 2, 2 });
}
