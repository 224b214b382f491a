#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A request that crashes each upstream that begins to run it. Usage: crashing_requests_tests.py PROGRAM

Guards against one request that crashes engine after engine, while most short requests of their regions are refused for a quarter of
a minute at a time. Its caller sends the same path and body to any daemon again, each time as a new attempt with a new id. If
daemons remember a request only for one attempt, each attempt crashes one engine and then a second one. 27 engines ended this way,
each 48 to 82 ms after the request had begun to run.
"""
import asyncio
import time
import unittest

from aiohttp import web

from small_fleet import DEADLINE_MS, HANG_BOUND, SmallFleet
from upstreams import event

CONTACT = 5.0  # seconds within which all connected daemons have to know
RETRIES_ALLOWED = 3  # after CONTACT
BACK_AFTER = 0.6  # seconds from the crash of an upstream to its next incarnation
RECORD_REMAINS = 0.3  # seconds after its crash for which the record of an upstream remains in the store
REQUEST_INTERVAL = 0.25
REGIONS = ("north", "north", "south")  # of the daemons
UPSTREAMS_IN_REGION = 3
BAD, GOOD = b"a question that ends engines", b"a harmless question"
CONFIGURATION = {
    "version": 1, "limits": {},
    "routes": [{"name": "ask", "host": "a.example", "pathPrefix": "/ask/", "kind": "stream", "resumable": True, "service": "engines",
                "attempts": 2, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 600, "priority": 0}],
    "services": [{"name": "engines", "connectionLimit": 100, "coldStartS": 0, "coldPerS": 0,
                  "engine": {"kvCapacityTokens": 600_000, "stride": 1, "moves": False}}]}


class FragileUpstream:
    """Streams three events; crashes when it begins to run the bad request, and restarts after BACK_AFTER."""

    def __init__(self, fleet, name, region):
        self.fleet, self.name, self.region = fleet, name, region
        self.incarnation = 0
        self.port = 0
        self.transports = set()
        self.site = None

    async def begin(self):
        self.incarnation += 1
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.fleet.host, self.port, reuse_address=True, shutdown_timeout=0.01)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.fleet.store.write(f"servers/{self.id()}", {
            "service": "engines", "address": f"{self.fleet.host}:{self.port}", "zone": self.region + "-1", "version": "v1", "slots": 64,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    def id(self):
        return f"{self.name}-{self.incarnation}"

    async def end(self):
        """Acts as a crashed process: the port is closed, all connections are reset, and the record remains for a while."""
        if self.runner is None:
            return
        runner, self.runner = self.runner, None
        for site in list(runner.sites):
            site._server.close()
        for transport in list(self.transports):
            transport.abort()
        await runner.cleanup()
        await asyncio.sleep(RECORD_REMAINS)
        self.fleet.store.remove(f"servers/{self.id()}")
        await asyncio.sleep(BACK_AFTER - RECORD_REMAINS)
        await self.begin()

    def is_deadly(self, request, body):
        return body == BAD

    async def serve(self, request):
        self.transports.add(request.transport)
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        body = await request.read()
        if self.is_deadly(request, body):
            self.fleet.crashes.append((time.monotonic(), attempt, self.id()))
            self.fleet.tasks.append(asyncio.create_task(self.end()))
            await asyncio.sleep(HANG_BOUND)
        self.fleet.ran.append(attempt)
        answer = web.StreamResponse(headers={"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": "e." + attempt,
                                             "Content-Type": "text/event-stream"})
        await answer.prepare(request)
        for number in (1, 2, 3):
            await answer.write(event(attempt, number).encode())
        return answer


class CrashingRequests(SmallFleet):
    regions = REGIONS
    configuration = CONFIGURATION

    async def begin_upstreams(self):
        self.crashes, self.ran = [], []
        self.upstreams = [FragileUpstream(self, f"e-{region}-{number}", region) for region in sorted(set(REGIONS))
                          for number in range(UPSTREAMS_IN_REGION)]
        for upstream in self.upstreams:
            await upstream.begin()

    async def all_serve(self):
        return all([(await self.ask(daemon, GOOD + str(self.attempts).encode()))[0] == 200 for daemon in self.daemons])

    async def ask(self, daemon, body, more=()):
        return await super().ask(daemon, "/ask/x", body, more)

    async def send_bad_request_for(self, seconds):
        """Sends the bad request to random daemons, each time as a new attempt; returns the results that its caller got."""
        seen = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            seen.append(await self.ask(self.random.choice(self.daemons), BAD))
            await asyncio.sleep(REQUEST_INTERVAL)
        return seen

    def retries_too_late(self):
        times = sorted(crash[0] for crash in self.crashes)
        return [at for at in times[3:] if at > times[2] + CONTACT]

    async def test_crashing_request_that_is_sent_again_reaches_no_more_upstreams(self):
        seen = await self.send_bad_request_for(2 * CONTACT)
        self.assertGreaterEqual(len(self.crashes), 1, "the request crashed no upstream, so nothing was tested")
        self.assertLessEqual(len(self.retries_too_late()), RETRIES_ALLOWED, f"{len(self.crashes)} upstreams crashed")
        ran = {attempt for _, attempt, _ in self.crashes}
        for status, whole, headers, attempt in seen:
            if status == 503:
                self.assertNotIn(attempt, ran, "refused as not run, but had run")
                self.assertIn("Retry-After", headers)
            self.assertNotEqual(status, 200)
        self.assertEqual(seen[-1][0], 503, "never refused before it was sent to an upstream")

    async def test_crashing_request_stays_quarantined_after_all_daemons_lost_power(self):
        await self.send_bad_request_for(CONTACT)
        await self.restart_all()
        await self.eventually(self.all_serve)
        before = len(self.crashes)
        await self.send_bad_request_for(CONTACT)
        self.assertLessEqual(len(self.crashes) - before, RETRIES_ALLOWED, "the restart of all daemons lost the quarantine")

    async def test_other_requests_of_the_same_path_are_served(self):
        await self.send_bad_request_for(CONTACT)
        await self.eventually(self.all_serve)
        for daemon in self.daemons:
            status, whole, _, _ = await self.ask(daemon, GOOD)
            self.assertEqual((status, whole), (200, True))

    async def test_the_same_body_of_another_caller_is_sent_to_an_upstream(self):
        await self.send_bad_request_for(CONTACT)
        await self.eventually(self.all_serve)
        before = len(self.crashes)
        await self.ask(self.daemons[0], BAD, [("Authorization", "Bearer another")])
        self.assertGreater(len(self.crashes), before)

    async def test_harmless_repeated_request_is_served_after_upstreams_crashed_while_running_it(self):
        """Sends one body repeatedly, as a monitor does; it completed before, so it does not cause the crashes."""
        await self.eventually(lambda: self.served(GOOD))
        for upstream in self.upstreams[:3] + self.upstreams[3:]:
            requests = [asyncio.create_task(self.ask(daemon, GOOD)) for daemon in self.daemons for _ in range(4)]
            self.tasks.append(asyncio.create_task(upstream.end()))
            await asyncio.gather(*requests)
            await asyncio.sleep(BACK_AFTER)
        await self.eventually(lambda: self.served(GOOD))

    async def served(self, body):
        return all([(await self.ask(daemon, body))[0] == 200 for daemon in self.daemons])


if __name__ == "__main__":
    unittest.main()
