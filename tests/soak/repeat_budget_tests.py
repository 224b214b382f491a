#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Retries by all daemons together, across their restarts. Usage: repeat_budget_tests.py PROGRAM

Guards against upstreams getting more retries than the budget of the system allows after many daemons start at once. This happens if
each incarnation of a daemon begins with its whole share of the budget, whatever the previous one spent a second earlier, and
divides the budget by eight daemons until it knows how many there are.

The window of the budget is an hour, so that a whole test lies in one window and no result depends on how long a step takes.
"""
import asyncio
import unittest
from collections import Counter

from aiohttp import web

from small_fleet import PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

RATIO, EXTRA = 0.2, 54
WINDOW_S = 3_600
BURST = 30  # requests to each daemon in each of its incarnations
INCARNATIONS = 4
GOOD, FAILING, DECLINED = b"answered", b"failing", b"declined"


class CountingUpstream(PlainUpstream):
    """Fails or declines a request depending on its body, and counts arrivals."""

    async def serve(self, request):
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        self.fleet.arrivals[attempt] += 1
        body = await request.read()
        if body == DECLINED:
            return web.Response(status=503, headers={"Portpaddle-Attempt-Id": attempt, "Portpaddle-Not-Executed": "1"})
        head = {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": f"{self.name}.{attempt}"}
        return web.Response(status=200 if body == GOOD else 500, headers=head, text="whole")


class BudgetFleet(SmallFleet):
    configuration = PLAIN_CONFIGURATION
    bounds = {"budgetRatio": RATIO, "budgetExtraAttempts": EXTRA, "budgetWindowS": WINDOW_S}

    async def begin_upstreams(self):
        self.arrivals = Counter()
        for region in sorted(set(self.regions)):
            for number in range(3):
                await CountingUpstream(self, f"a-{region}-{number}", region).begin()

    async def all_serve(self):
        return all([(await self.ask(daemon, "/look/x", GOOD))[0] == 200 for daemon in self.daemons])

    async def burst(self, body):
        await asyncio.gather(*(self.ask(daemon, "/look/x", body) for daemon in self.daemons for _ in range(BURST)))

    def retry_count(self):
        return sum(count - 1 for count in self.arrivals.values())

    def check(self, body):
        self.assertLessEqual(self.retry_count(), RATIO * self.attempts + EXTRA, f"of {self.attempts} requests, {body}")
        self.assertGreater(self.retry_count(), 0, "no retry was made, so the budget was not tested")


class RestartsInSeries(BudgetFleet):
    regions = ("north", "north", "south", "south", "west", "west")

    async def bursts_between_restarts(self, body):
        await self.burst(body)
        for _ in range(INCARNATIONS - 1):
            await self.restart_all()
            await self.eventually(self.all_serve)
            await self.burst(body)
        self.check(body)

    async def test_retries_of_failing_requests_stay_within_one_budget_across_restarts(self):
        await self.bursts_between_restarts(FAILING)

    async def test_retries_of_declined_requests_stay_within_one_budget_across_restarts(self):
        await self.bursts_between_restarts(DECLINED)


class ManyDaemonsAfterStart(BudgetFleet):
    regions = ("north", "south", "west") * 8

    async def test_retries_stay_within_the_budget(self):
        """Sends requests to each daemon as soon as it serves, however many other daemons it knows by then."""
        await self.restart_all()

        async def request_once_serving(daemon):
            async def serves():
                return (await self.ask(daemon, "/look/x", GOOD))[0] == 200

            await self.eventually(serves)
            await asyncio.gather(*(self.ask(daemon, "/look/x", FAILING) for _ in range(BURST)))

        await asyncio.gather(*(request_once_serving(daemon) for daemon in self.daemons))
        self.check(FAILING)


if __name__ == "__main__":
    unittest.main()
