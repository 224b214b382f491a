#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Limits that upstreams announce, across all daemons and their restarts. Usage: upstream_limits_tests.py PROGRAM

Guards against daemons that ignore the requests per second which an upstream announces in its answers for all daemons together: an
upstream that announced 2 a second got 53 requests in four seconds, as many as any other.

The limits are so low that a whole test takes only a few of their periods; a slow machine only makes the bounds wider.
"""
import asyncio
import time
import unittest

from aiohttp import web

from small_fleet import PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

LIMIT = 0.05  # requests per second
SHORT_LIMIT = 2.0  # requests per second, where a test waits until the upstreams got several requests
TOLERATED, SLACK = 1.5, 5  # factor on the limit, and requests on top of it
CONTACT = 5.0  # seconds within which all connected daemons have to know a limit
LIMIT_REASON = "upstream_limit"  # reason that refusals state
BURST = 20  # requests to each daemon at once


class LimitAnnouncingUpstream(PlainUpstream):
    """Counts arrivals, and announces a limit while one is set."""

    def __init__(self, fleet, name, region):
        super().__init__(fleet, name, region)
        self.limit = None
        self.arrivals = []

    async def serve(self, request):
        self.arrivals.append(time.monotonic())
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        await request.read()
        head = {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": f"{self.name}.{attempt}"}
        if self.limit is not None:
            head["Server-Limit"] = f"{self.limit:g}"
        return web.Response(headers=head, text="whole")


class LimitFleet(SmallFleet):
    configuration = PLAIN_CONFIGURATION
    upstreams_in_region = 3

    async def begin_upstreams(self):
        self.upstreams = [LimitAnnouncingUpstream(self, f"a-{region}-{number}", region) for region in sorted(set(self.regions))
                          for number in range(self.upstreams_in_region)]
        for upstream in self.upstreams:
            await upstream.begin()

    async def all_serve(self):
        return all([(await self.ask(daemon, "/look/x", b""))[0] == 200 for daemon in self.daemons])

    async def burst(self, daemons=None):
        await asyncio.gather(*(self.ask(daemon, "/look/x", b"") for daemon in daemons or self.daemons for _ in range(BURST)))

    async def announce_limits(self, upstreams, limit=LIMIT):
        """Makes the upstreams announce limits, and waits until all daemons have had time to learn them."""
        self.limited = upstreams
        for upstream in upstreams:
            upstream.limit = limit
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

    async def test_all_daemons_together_stay_within_the_limits(self):
        await self.announce_limits(self.upstreams[:2])
        self.refusals.clear()
        for _ in range(3):
            await self.burst()
        self.check()
        self.assertEqual([text for text in self.refusals if LIMIT_REASON in text], [], "the third upstream has no limit")

    async def test_limits_hold_while_daemons_are_killed_one_after_another(self):
        await self.announce_limits(self.upstreams[:2])
        for daemon in self.daemons:
            await daemon.kill()
            await daemon.start()
            await self.eventually(self.all_serve)
            await self.burst([daemon])
        self.check()

    async def test_limits_hold_across_power_losses(self):
        await self.announce_limits(self.upstreams[:2])
        for _ in range(3):
            await self.restart_all()
            await self.eventually(self.all_serve)
            await self.burst()
        self.check()

    async def test_upstreams_that_no_longer_announce_a_limit_get_requests_again(self):
        await self.announce_limits(self.upstreams[:2], SHORT_LIMIT)
        for upstream in self.limited:
            upstream.limit = None

        async def got_requests_again():
            before = [len(upstream.arrivals) for upstream in self.limited]
            await self.burst()
            return all(len(upstream.arrivals) - had >= BURST for upstream, had in zip(self.limited, before))

        await self.eventually(got_requests_again)


class WholeService(LimitFleet):
    regions = ("north", "north", "south", "south")
    upstreams_in_region = 2

    async def test_a_service_whose_upstreams_all_announce_limits_refuses_requests_beyond_them(self):
        await self.announce_limits(self.upstreams)
        self.refusals.clear()
        await self.burst()
        self.check()
        self.assertTrue(any(LIMIT_REASON in text for text in self.refusals), self.refusals[:3])


if __name__ == "__main__":
    unittest.main()
