# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A few real daemons with a store, for tests whose result depends on no seed."""
import asyncio
import random
import sys
import tempfile
import time
import unittest
from types import SimpleNamespace

import aiohttp
from aiohttp import web

from daemons import Daemon, free_ports, own_host
from store import Store

PROGRAM = sys.argv.pop(1)
HANG_BOUND = 60  # seconds until a hang fails
DEADLINE_MS = 3_000


# A configuration with a single service of plain upstreams, "app".
PLAIN_CONFIGURATION = {
    "version": 1, "limits": {},
    "routes": [{"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "app", "attempts": 2,
                "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 0}],
    "services": [{"name": "app", "connectionLimit": 200, "coldStartS": 0, "coldPerS": 0}]}


class PlainUpstream:
    """An upstream of service "app"; subclasses define its answers."""

    def __init__(self, fleet, name, region):
        self.fleet, self.name, self.region = fleet, name, region

    async def begin(self):
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.fleet.host, 0, backlog=1024)  # backlog for all daemons connecting at once
        await site.start()
        self.register(site._server.sockets[0].getsockname()[1])

    def register(self, port):
        self.fleet.store.write(f"servers/{self.name}", {
            "service": "app", "address": f"{self.fleet.host}:{port}", "zone": self.region + "-1", "version": "v1", "slots": 500,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    async def serve(self, request):
        raise NotImplementedError


class SmallFleet(unittest.IsolatedAsyncioTestCase):
    """Starts the daemons; subclasses define their configuration and the upstreams."""

    regions = ("north",)  # region of each daemon
    configuration = {}
    bounds = {}  # settings of the daemons that differ from those of the soak
    limits = {}  # limits of their machines that differ from those of the soak

    async def begin_upstreams(self):
        raise NotImplementedError

    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory(prefix="portpaddle-fleet-")
        self.addCleanup(self.directory.cleanup)
        self.random = random.Random(1)
        self.tasks = []
        self.attempts = 0
        self.refusals = []  # bodies of 503 answers
        self.store = Store()
        self.store.random = random.Random(1)
        self.host = own_host(0)
        store_port = await self.store.start(self.host)
        self.store.write("op/config", self.configuration)
        await self.begin_upstreams()
        self.daemons = []
        soak = SimpleNamespace(program=PROGRAM, directory=self.directory.name, daemons=self.daemons, bounds=self.bounds,
                               limits=self.limits, now=time.monotonic, process_ended=lambda *_: None)
        ports = free_ports(self.host, 4 * len(self.regions))
        for number, region in enumerate(self.regions):
            own = dict(zip(("entry", "readiness", "directory", "link"), ports[4 * number:4 * number + 4]))
            daemon = Daemon(soak, f"d{number}", region, region + "-1", self.host, own, store_port)
            daemon.store_proxy = SimpleNamespace(port=store_port)
            self.daemons.append(daemon)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True, limit=0))
        await asyncio.gather(*(daemon.start(is_first=True) for daemon in self.daemons))
        await self.eventually(self.all_serve)

    async def asyncTearDown(self):
        await self.session.close()
        for daemon in self.daemons:
            if daemon.running():
                await daemon.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.runner.cleanup()

    async def restart_all(self):
        """Kills all daemons at once and starts them again, as after a power loss."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def eventually(self, condition):
        end = time.monotonic() + HANG_BOUND
        while not await condition():
            self.assertLess(time.monotonic(), end, "the condition did not become true")
            await asyncio.sleep(0.05)

    async def all_serve(self):
        raise NotImplementedError

    async def ask(self, daemon, path, body, more=()):
        """Returns the status, whether the answer was complete, the headers and the id of the attempt."""
        self.attempts += 1
        attempt = f"a{self.attempts}"
        headers = {"Host": "a.example", "Portpaddle-Attempt-Id": attempt, "Portpaddle-Deadline-Remaining": str(DEADLINE_MS),
                   "Portpaddle-Token-Counts": "100,30", "Portpaddle-Prompt-Prefix": f"{self.attempts:x}:100", **dict(more)}
        try:
            async with self.session.post(f"http://{daemon.address('entry')}{path}", data=body, headers=headers) as answer:
                text = await answer.read()
                if answer.status == 503:
                    self.refusals.append(text.decode())
                return answer.status, True, answer.headers, attempt
        except (aiohttp.ClientError, OSError):
            return 0, False, {}, attempt
