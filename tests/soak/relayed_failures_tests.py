#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Upstreams that break off within the head of an answer, seen from both regions. Usage: relayed_failures_tests.py PROGRAM

Guards against requests that may run twice and fail for good when their upstream breaks off in another region, while as many from its
own region are tried again.
"""
import asyncio
import unittest
from collections import defaultdict

from small_fleet import PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

UPSTREAMS = 4
REQUESTS = 200  # to each daemon
BROKEN_ONE_IN = 20  # far below the budget of 0.2 retries per request, of which half is saved


class BreakingUpstream(PlainUpstream):
    """Breaks off within the head of the first answer to a request that says so."""

    async def serve(self, request):
        body = await request.read()
        attempt = request.headers["Portpaddle-Attempt-Id"]
        runs = self.fleet.runs[attempt]
        runs.append(self.name)
        head = (f"HTTP/1.1 200 OK\r\nPortpaddle-Attempt-Id: {attempt}\r\nPortpaddle-Server-Seal: e.{attempt}\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        breaks = body == b"break" and len(runs) == 1
        cut = 1 + len(self.fleet.runs) % (len(head) - 1)
        request.transport.write(head[:cut] if breaks else head + body)
        request.transport.close()
        await asyncio.sleep(0)
        raise asyncio.CancelledError  # the connection is closed: the framework must not answer as well


class RelayedFailures(SmallFleet):
    regions = ("north", "north", "south", "south")
    configuration = PLAIN_CONFIGURATION

    async def begin_upstreams(self):
        self.runs = defaultdict(list)  # names of the upstreams that ran an attempt
        for number in range(UPSTREAMS):
            await BreakingUpstream(self, f"u{number}", "north").begin()

    async def all_serve(self):
        answers = [await self.ask(daemon, "/look/ready", b"whole") for daemon in self.daemons]
        return all(status == 200 for status, *_ in answers)

    async def broken_requests(self, daemon):
        """Sends requests to @p daemon; returns the statuses and attempts of those that broke."""
        broken = []
        for number in range(REQUESTS):
            breaks = number % BROKEN_ONE_IN == BROKEN_ONE_IN - 1  # the budget has been earned by then
            status, whole, _, attempt = await self.ask(daemon, f"/look/{number}", b"break" if breaks else b"whole")
            self.assertTrue(whole)
            if breaks:
                broken.append((status, attempt))
            else:
                self.assertEqual(status, 200)
            await asyncio.sleep(0.01)
        return broken

    async def test_run_broken_in_another_region_is_tried_again_as_often_as_in_the_own_one(self):
        broken = await asyncio.gather(*(self.broken_requests(daemon) for daemon in self.daemons))
        own, relayed = broken[0] + broken[1], broken[2] + broken[3]
        served = [sum(status == 200 for status, _ in broken) for broken in (own, relayed)]
        print(f"broken in each region: {len(own)}; served by another upstream: own region {served[0]}, other region {served[1]}")
        self.assertEqual(served, [len(own), len(relayed)])
        for _, attempt in own + relayed:
            self.assertEqual(len(self.runs[attempt]), len(set(self.runs[attempt])), "an upstream ran a request twice")


if __name__ == "__main__":
    unittest.main()
