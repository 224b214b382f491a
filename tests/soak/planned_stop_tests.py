#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Requests that a real daemon accepts after the order to stop. Usage: planned_stop_tests.py PROGRAM

The upstream holds its streams until the daemon's process has ended, so that no result depends on how long a step takes: a stream
that is accepted after the order is always cut.
"""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import unittest
from types import SimpleNamespace

import aiohttp
from aiohttp import web

from daemons import Daemon, free_ports, own_host
from store import Store
from upstreams import event

PROGRAM = sys.argv.pop(1)
HANG_BOUND = 60  # only to turn a hang into a failure
DEADLINE_MS = 30_000  # longer than a stop lasts
# At 3 ms per token these streams take more than twice the 7.5 s of a stop.
LONG = {"Portpaddle-Token-Counts": "1000,6000", "Portpaddle-Prompt-Prefix": "a1:1000"}
SHORT = {**LONG, "Portpaddle-Token-Counts": "1000,300"}
PAUSE = 3.0  # seconds
CONFIGURATION = {
    "version": 1, "limits": {},
    "routes": [{"name": "long", "host": "a.example", "pathPrefix": "/stream/", "kind": "stream", "service": "engines", "attempts": 1,
                "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 0},
               {"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "engines",
                "attempts": 2, "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 0},
               {"name": "slow", "host": "a.example", "pathPrefix": "/slow/", "kind": "idempotent", "service": "engines",
                "attempts": 2, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 400, "priority": 0},
               {"name": "once", "host": "a.example", "pathPrefix": "/once/", "kind": "non_idempotent", "service": "engines",
                "attempts": 1, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 400, "priority": 0}],
    "services": [{"name": "engines", "connectionLimit": 100, "coldStartS": 0, "coldPerS": 0,
                  "engine": {"kvCapacityTokens": 600_000, "stride": 1, "moves": False}}]}


class HoldingUpstream:
    """Answers short requests at once and others after the release; sends one event of a stream before it and one after it."""

    def __init__(self):
        self.release = asyncio.Event()
        self.streams = 0
        self.held = 0

    async def start(self, host):
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def serve(self, request):
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        head = {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": "e." + attempt}
        await request.read()
        if request.path.startswith(("/slow", "/once")):
            self.held += 1
            await self.release.wait()
        if not request.path.startswith("/stream"):
            return web.Response(headers=head, text="whole")
        self.streams += 1
        answer = web.StreamResponse(headers={**head, "Content-Type": "text/event-stream"})
        await answer.prepare(request)
        await answer.write(event(attempt, 1).encode())
        await self.release.wait()
        await answer.write(event(attempt, 2).encode())
        return answer


class Start(unittest.IsolatedAsyncioTestCase):
    async def test_reload_that_comes_while_a_daemon_starts_is_kept(self):
        directory = tempfile.TemporaryDirectory(prefix="portpaddle-start-")
        self.addCleanup(directory.cleanup)
        settings = os.path.join(directory.name, "settings")
        os.mkfifo(settings)
        process = await asyncio.create_subprocess_exec(PROGRAM, "--platform", env={**os.environ, "PORTPADDLE_NODE_FILE": settings},
                                                       stdout=asyncio.subprocess.PIPE)
        # The daemon has the file open for reading as soon as it can be opened for writing.
        writer = await asyncio.to_thread(open, settings, "w")
        process.send_signal(signal.SIGHUP)
        writer.write("no settings")
        writer.close()
        output, _ = await asyncio.wait_for(process.communicate(), HANG_BOUND)
        self.assertIn(b"daemon_start_failed", output, "the signal ended the daemon")


class PlannedStop(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory(prefix="portpaddle-stop-")
        self.addCleanup(self.directory.cleanup)
        store = self.store = Store()
        store.random = random.Random(1)
        host = own_host(0)
        store_port = await store.start(host)
        self.upstream = HoldingUpstream()
        upstream_port = await self.upstream.start("127.0.0.1")
        soak = SimpleNamespace(program=PROGRAM, directory=self.directory.name, daemons=[], bounds={}, limits={}, now=time.monotonic,
                               process_ended=lambda *_: None)
        ports = dict(zip(("entry", "readiness", "directory", "link"), free_ports(host, 4)))
        self.daemon = Daemon(soak, "d0", "north", "north-1", host, ports, store_port)
        self.daemon.store_proxy = SimpleNamespace(port=store_port)
        soak.daemons.append(self.daemon)
        store.write("op/config", CONFIGURATION)
        store.write("servers/e-1", {"service": "engines", "address": f"127.0.0.1:{upstream_port}", "zone": "north-1", "version": "v1",
                                    "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1})
        self.session = aiohttp.ClientSession()
        self.attempts = 0
        await self.daemon.start(is_first=True)
        await self.eventually(lambda: self.readiness(200))

    async def asyncTearDown(self):
        self.upstream.release.set()
        await self.session.close()
        if self.daemon.running():
            await self.daemon.kill()
        await self.upstream.runner.cleanup()
        await self.store.runner.cleanup()

    async def eventually(self, condition):
        end = time.monotonic() + HANG_BOUND
        while not await condition():
            self.assertLess(time.monotonic(), end, "the condition did not become true")
            await asyncio.sleep(0.02)

    async def readiness(self, status):
        try:
            async with self.session.get(f"http://{self.daemon.address('readiness')}/v1/readiness") as answer:
                return answer.status == status
        except aiohttp.ClientError:
            return False

    async def order_to_stop(self):
        self.daemon.send(signal.SIGTERM)
        await self.eventually(lambda: self.readiness(503))

    async def ask(self, path, part="entry", headers=(), deadline=DEADLINE_MS):
        """Returns the status, whether the answer was complete, and its headers."""
        self.attempts += 1
        sent = {"Host": "a.example", "Portpaddle-Attempt-Id": f"a{self.attempts}", "Portpaddle-Deadline-Remaining": str(deadline),
                **dict(headers)}
        async with self.session.post(f"http://{self.daemon.address(part)}{path}", headers=sent) as answer:
            try:
                await answer.read()
            except aiohttp.ClientPayloadError:
                return answer.status, False, answer.headers
            return answer.status, True, answer.headers

    async def test_long_stream_of_a_caller_is_refused_at_once(self):
        await self.order_to_stop()
        status, whole, headers = await self.ask("/stream/x", headers=LONG)
        self.assertEqual((status, whole), (503, True), "accepted, and cut when the process ended")
        self.assertIn("Retry-After", headers)
        self.assertEqual(self.upstream.streams, 0)

    async def test_long_stream_from_another_daemon_is_refused_at_once(self):
        await self.order_to_stop()
        status, whole, headers = await self.ask("/stream/x", "link", LONG)
        self.assertEqual((status, whole), (503, True), "accepted, and cut when the process ended")
        self.assertEqual(headers.get("X-Portpaddle-Outcome"), "not_run")
        self.assertEqual(self.upstream.streams, 0)

    async def test_stop_deadline_of_a_paused_daemon_counts_from_the_order(self):
        # The pause is longer than the time in which a stopping daemon accepts streams by their predicted length.
        self.daemon.pause()
        self.daemon.send(signal.SIGTERM)
        await asyncio.sleep(PAUSE)
        self.daemon.resume()
        await self.eventually(lambda: self.readiness(503))
        status, whole, _ = await self.ask("/stream/x", headers=SHORT)
        self.assertEqual((status, whole), (503, True), "accepted long after the order to stop")

    async def test_short_request_after_the_order_to_stop_is_served(self):
        # Another stream keeps the process running meanwhile.
        held = asyncio.create_task(self.ask("/stream/x"))
        await self.eventually(self.holds_a_stream)
        await self.order_to_stop()
        status, whole, _ = await self.ask("/look/x", deadline=1000)
        self.assertEqual((status, whole), (200, True))
        self.upstream.release.set()
        self.assertEqual((await held)[:2], (200, True))

    async def test_request_that_may_run_once_and_has_a_long_deadline_is_refused_at_once(self):
        await self.order_to_stop()
        status, whole, headers = await self.ask("/once/x")
        self.assertEqual((status, whole), (503, True))
        self.assertIn("Retry-After", headers)
        self.assertEqual(self.upstream.held, 0)

    async def test_requests_in_progress_at_the_end_of_a_stop_are_answered(self):
        held = [asyncio.create_task(self.ask(path)) for path in ("/slow/x", "/once/x", "/slow/y")]
        await self.eventually(self.holds_three_requests)
        await self.order_to_stop()
        answers = await asyncio.gather(*held, return_exceptions=True)
        self.assertEqual([answer[:2] if isinstance(answer, tuple) else answer for answer in answers], [(502, True)] * 3,
                         "cut without an answer")

    async def holds_three_requests(self):
        return self.upstream.held == 3

    async def holds_a_stream(self):
        return self.upstream.streams == 1


if __name__ == "__main__":
    unittest.main()
