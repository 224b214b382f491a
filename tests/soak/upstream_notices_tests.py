#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Upstreams that announce their leaving or ask for a backoff, across restarts of daemons and an unavailable store.
Usage: upstream_notices_tests.py PROGRAM

Guards against daemons that go on sending to such upstreams: one got requests 4.5 s after it had announced its leaving, another one
66 requests within the 3 s of the backoff that it had asked a daemon for.

No result depends on time: a request counts if its client sent it after an answer that shows that the daemon had read the notice.
"""
import asyncio
import time
import unittest

from aiohttp import web

from small_fleet import PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

DEADLINE_MS = 60_000  # long enough that no request times out on a slow machine
LONG = 1_000  # seconds; longer than a test
SHORT = 2.5  # seconds
BURST = 20  # requests to each daemon at once
# Waiting attempts of non-idempotent calls are not abandoned, so that every answer is read.
CONFIGURATION = {**PLAIN_CONFIGURATION, "routes": [
    {**PLAIN_CONFIGURATION["routes"][0], "kind": "non_idempotent", "timeoutMs": DEADLINE_MS}]}


class NotifyingUpstream(PlainUpstream):
    def __init__(self, fleet, name, region):
        super().__init__(fleet, name, region)
        self.leaving = False
        self.backoff = None  # requested backoff in seconds
        self.arrivals = 0

    async def serve(self, request):
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        self.arrivals += 1
        self.fleet.arrived(attempt, self)
        await request.read()
        head = {"Portpaddle-Attempt-Id": attempt}
        if self.leaving:
            head["Server-Leaving"] = "1"
        if self.leaving or self.backoff is not None:
            self.fleet.notices.setdefault(attempt, []).append(self.name)
        if self.backoff is not None:
            return web.Response(status=503, headers={**head, "Portpaddle-Not-Executed": "1", "Retry-After": f"{self.backoff:g}"})
        return web.Response(headers={**head, "Portpaddle-Server-Seal": f"{self.name}.{attempt}"}, text="whole")

    def record(self, state="ready"):
        key = f"servers/{self.name}"
        self.fleet.store.write(key, self.fleet.store.items[key][0].replace('"ready"', f'"{state}"'))


class NoticeFleet(SmallFleet):
    configuration = CONFIGURATION
    upstreams_in_region = 3

    async def begin_upstreams(self):
        self.notices = {}  # attempt: names of the upstreams whose answers to it held a notice
        self.notified = set()  # (incarnation of a daemon, upstream)
        self.notified_before = {}  # attempt: upstreams whose notices its daemon knew when it was sent
        self.violations = []  # requests that reached an upstream in spite of its notice
        self.upstreams = [NotifyingUpstream(self, f"a-{region}-{number}", region) for region in sorted(set(self.regions))
                          for number in range(self.upstreams_in_region)]
        for upstream in self.upstreams:
            await upstream.begin()

    def arrived(self, attempt, upstream):
        if upstream.name in self.notified_before.get(attempt, ()):
            self.violations.append((attempt, upstream.name))

    async def call(self, daemon):
        """Sends one request, and records the notices that its daemon has read with the answers."""
        incarnation = daemon.incarnation_id()
        attempt = f"a{self.attempts + 1}"
        self.notified_before[attempt] = {name for notified, name in self.notified if notified == incarnation}
        status, _, headers, _ = await self.ask(daemon, "/look/x", b"", {"Portpaddle-Deadline-Remaining": str(DEADLINE_MS)})
        if status:
            self.notified |= {(incarnation, name) for name in self.notices.get(attempt, ())}
        return status, headers

    async def all_serve(self):
        return all([(await self.call(daemon))[0] == 200 for daemon in self.daemons])

    async def burst(self, daemons=None):
        return [status for status, _ in
                await asyncio.gather(*(self.call(daemon) for daemon in daemons or self.daemons for _ in range(BURST)))]

    async def notify_all(self, upstreams):
        """Sends requests until every daemon has a notice from each of the upstreams."""
        async def all_notified():
            await self.burst()
            return all((daemon.incarnation_id(), upstream.name) in self.notified for daemon in self.daemons for upstream in upstreams)

        await self.eventually(all_notified)

    def check(self):
        self.assertEqual(self.violations, [])


class OneRegion(NoticeFleet):
    regions = ("north",) * 8

    async def test_leaving_upstreams_get_no_requests_while_daemons_are_killed_one_after_another(self):
        leaving = self.upstreams[:2]
        for upstream in leaving:
            upstream.leaving = True
        await self.notify_all(leaving)
        for daemon in self.daemons:
            await daemon.kill()
            await daemon.start()
            await self.eventually(self.all_serve)
            self.assertEqual(set(await self.burst()), {200})
        self.check()

    async def test_leaving_upstreams_get_no_requests_during_a_store_outage_and_after_an_older_record(self):
        leaving = self.upstreams[:2]
        self.store.down = True
        for upstream in leaving:
            upstream.leaving = True
        await self.notify_all(leaving)
        await self.burst()
        self.store.down = False
        for upstream in leaving:
            upstream.record("ready")
        await self.burst()
        for upstream in leaving:  # the entries expire and are written again
            text = self.store.items[f"servers/{upstream.name}"][0]
            self.store.remove(f"servers/{upstream.name}")
            await asyncio.sleep(1)
            self.store.write(f"servers/{upstream.name}", text)
        await asyncio.sleep(1)
        self.assertEqual(set(await self.burst()), {200})
        self.check()

    async def test_upstreams_in_backoff_get_no_requests_and_the_third_serves_all(self):
        asking = self.upstreams[:2]
        for upstream in asking:
            upstream.backoff = LONG
        await self.notify_all(asking)
        for daemon in self.daemons[:3]:
            await daemon.kill()
            await daemon.start()
            await self.eventually(self.all_serve)
        for _ in range(3):
            await self.burst()
        self.assertEqual(set(await self.burst(self.daemons[3:])), {200})
        self.check()

    async def test_upstreams_get_requests_again_after_their_backoff(self):
        for upstream in self.upstreams:
            upstream.backoff = SHORT
        await self.notify_all(self.upstreams)
        for upstream in self.upstreams:
            upstream.backoff = None
        self.notified.clear()

        async def got_requests_again():
            before = [upstream.arrivals for upstream in self.upstreams]
            await self.burst()
            return all(upstream.arrivals > had for upstream, had in zip(self.upstreams, before))

        await self.eventually(got_requests_again)


class TwoRegions(NoticeFleet):
    regions = ("north", "north", "south", "south")
    upstreams_in_region = 2

    async def test_requests_of_a_region_whose_upstreams_are_all_in_backoff_are_served_in_the_other(self):
        north = [upstream for upstream in self.upstreams if upstream.region == "north"]
        for upstream in north:
            upstream.backoff = LONG
        at_home = self.daemons[:2]

        async def served():
            return set(await self.burst(at_home)) == {200}

        await self.eventually(served)
        self.check()

    async def test_a_service_whose_upstreams_are_all_in_backoff_refuses_at_once_with_retry_after(self):
        for upstream in self.upstreams:
            upstream.backoff = LONG

        async def all_know():
            before = sum(upstream.arrivals for upstream in self.upstreams)
            await self.burst()
            return sum(upstream.arrivals for upstream in self.upstreams) == before

        await self.eventually(all_know)
        began = time.monotonic()
        status, headers = await self.call(self.daemons[0])
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 5)
        self.assertLess(time.monotonic() - began, DEADLINE_MS / 2_000, "the request waited for upstreams in backoff")


if __name__ == "__main__":
    unittest.main()
