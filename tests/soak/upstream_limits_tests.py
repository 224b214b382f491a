#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Requests to upstreams that name a limit, over all daemons and their restarts. Usage: upstream_limits_tests.py PROGRAM

What users saw: an upstream in need named in its answers how many requests a second it takes from all daemons together, and got as
many as any other: 53 in four seconds where it had named 2 a second.

The limits are so low that a whole test lies in a few of their periods; a slow machine only makes the bounds wider.
"""
import asyncio
import time
import unittest
from collections import Counter

from aiohttp import web

from small_fleet import SmallFleet

LIMIT = 0.05  # requests a second
TOLERATED, SLACK = 1.5, 5  # times the limit, and requests besides
CONTACT = 5.0  # seconds in which all daemons that are in touch have to know
BURST = 20  # requests to each daemon at a time
CONFIGURATION = {
    "version": 1, "limits": {},
    "routes": [{"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "app", "attempts": 2,
                "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 0}],
    "services": [{"name": "app", "connectionLimit": 200, "coldStartS": 0, "coldPerS": 0}]}


class NamingUpstream:
    """Counts what arrives; names a limit while it has one."""

    def __init__(self, fleet, name, region):
        self.fleet, self.name, self.region = fleet, name, region
        self.limit = None
        self.arrivals = []

    async def begin(self):
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.fleet.host, 0, backlog=1024)  # all daemons connect at once
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.fleet.store.write(f"servers/{self.name}", {
            "service": "app", "address": f"{self.fleet.host}:{port}", "zone": self.region + "-1", "version": "v1", "slots": 500,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    async def serve(self, request):
        self.arrivals.append(time.monotonic())
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        await request.read()
        head = {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": f"{self.name}.{attempt}"}
        if self.limit is not None:
            head["Server-Limit"] = f"{self.limit:g}"
        return web.Response(headers=head, text="whole")


class LimitFleet(SmallFleet):
    configuration = CONFIGURATION
    upstreams_in_region = 3

    async def begin_upstreams(self):
        self.upstreams = [NamingUpstream(self, f"a-{region}-{number}", region) for region in sorted(set(self.regions))
                          for number in range(self.upstreams_in_region)]
        for upstream in self.upstreams:
            await upstream.begin()

    async def all_serve(self):
        return all([(await self.ask(daemon, "/look/x", b""))[0] == 200 for daemon in self.daemons])

    async def burst(self, daemons=None):
        answers = await asyncio.gather(*(self.ask(daemon, "/look/x", b"") for daemon in daemons or self.daemons
                                         for _ in range(BURST)))
        return Counter(status for status, *_ in answers)

    async def name_limits(self, upstreams):
        """The upstreams name limits, and all daemons have had time to learn of it."""
        self.limited = upstreams
        for upstream in upstreams:
            upstream.limit = LIMIT
        await self.burst()
        await asyncio.sleep(CONTACT)
        self.since = time.monotonic()

    def check(self):
        allowed = TOLERATED * LIMIT * (time.monotonic() - self.since) + SLACK
        for upstream in self.limited:
            got = sum(at >= self.since for at in upstream.arrivals)
            self.assertLessEqual(got, allowed, f"requests to {upstream.name}")


class OneRegion(LimitFleet):
    regions = ("north",) * 8

    async def test_all_daemons_together_keep_to_the_limits(self):
        await self.name_limits(self.upstreams[:2])
        for _ in range(3):
            self.assertEqual(await self.burst(), {200: BURST * len(self.daemons)})
        self.check()

    async def test_limits_hold_over_daemons_killed_in_series(self):
        await self.name_limits(self.upstreams[:2])
        for daemon in self.daemons:
            await daemon.kill()
            await daemon.start()
            await self.eventually(self.all_serve)
            await self.burst([daemon])
        self.check()

    async def test_limits_hold_over_losses_of_power(self):
        await self.name_limits(self.upstreams[:2])
        for _ in range(3):
            await self.restart_all()
            await self.eventually(self.all_serve)
            await self.burst()
        self.check()

    async def test_upstreams_that_name_no_limit_any_more_are_asked_again(self):
        await self.name_limits(self.upstreams[:2])
        for upstream in self.limited:
            upstream.limit = None

        async def asked_again():
            before = [len(upstream.arrivals) for upstream in self.limited]
            await self.burst()
            return all(len(upstream.arrivals) - had >= BURST for upstream, had in zip(self.limited, before))

        await self.eventually(asked_again)


class WholeService(LimitFleet):
    regions = ("north", "north", "south", "south")
    upstreams_in_region = 2

    async def test_a_service_whose_upstreams_all_name_limits_refuses_the_rest(self):
        await self.name_limits(self.upstreams)
        answers = await self.burst()
        self.check()
        self.assertEqual(set(answers) - {200}, {503}, answers)


if __name__ == "__main__":
    unittest.main()
