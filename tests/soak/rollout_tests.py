#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Rollouts by real daemons: a good version completes, a bad one is rolled back, and a rollout outlives its daemons.
Usage: rollout_tests.py PROGRAM

The bounds of exposure are counted over all arrivals. No result depends on the speed of the machine: the test goes on until the
daemons have decided.
"""
import asyncio
import json
import unittest

from aiohttp import web

from small_fleet import PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

DURATION_S = 12
CALLERS = 4  # for each daemon
ALLOWED_SHARE, ALLOWED_EXTRA = 0.1, 50
ORDER_KEY, STATUS_KEY = "op/rollout/app", "status/rollout/app"


class VersionedUpstream(PlainUpstream):
    def __init__(self, fleet, name, region, version):
        super().__init__(fleet, name, region)
        self.version = version

    async def begin(self):
        await super().begin()
        key = f"servers/{self.name}"
        self.fleet.store.write(key, self.fleet.store.items[key][0].replace('"v1"', f'"{self.version}"'))

    async def serve(self, request):
        self.fleet.arrivals[self.version] += 1
        self.fleet.running[self.version] += 1
        await request.read()
        await asyncio.sleep(0.01)
        self.fleet.running[self.version] -= 1
        head = {"Portpaddle-Attempt-Id": request.headers.get("Portpaddle-Attempt-Id", "")}
        if self.version == "v2" and self.fleet.new_version_fails:
            return web.Response(status=500, headers={**head, "Portpaddle-Server-Seal": "s"})
        return web.Response(headers={**head, "Portpaddle-Server-Seal": "s"}, text="whole")


class Rollouts(SmallFleet):
    regions = ("north", "north", "south")
    configuration = PLAIN_CONFIGURATION
    new_version_fails = False

    async def begin_upstreams(self):
        self.arrivals, self.running = {"v1": 0, "v2": 0}, {"v1": 0, "v2": 0}
        self.calling = True
        for region in sorted(set(self.regions)):
            for number in range(2):
                await VersionedUpstream(self, f"old-{region}-{number}", region, "v1").begin()

    async def all_serve(self):
        return all([(await self.ask(daemon, "/look/x", b""))[0] == 200 for daemon in self.daemons])

    async def order(self):
        """Orders the rollout, starts the new version and callers at all daemons."""
        self.store.write(ORDER_KEY, {"service": "app", "targetVersion": "v2", "durationS": DURATION_S})
        for region in sorted(set(self.regions)):
            for number in range(2):
                await VersionedUpstream(self, f"new-{region}-{number}", region, "v2").begin()
        for daemon in self.daemons:
            self.tasks += [asyncio.create_task(self.call(daemon)) for _ in range(CALLERS)]

    async def call(self, daemon):
        while self.calling:
            await self.ask(daemon, "/look/x", b"")
            await asyncio.sleep(0.01)

    def state(self):
        return json.loads(self.store.items[STATUS_KEY][0])["state"] if STATUS_KEY in self.store.items else None

    async def ended(self):
        return self.state() in ("completed", "rolled_back")

    async def test_good_version_completes_with_nothing_running_at_the_old_one(self):
        await self.order()
        await self.eventually(self.ended)
        self.assertEqual(self.state(), "completed")
        self.assertEqual(self.running["v1"], 0)
        before = self.arrivals["v1"]
        await self.burst()
        self.assertEqual(self.arrivals["v1"], before)

    async def test_bad_version_is_rolled_back_within_its_share(self):
        self.new_version_fails = True
        await self.order()
        await self.eventually(self.ended)
        self.assertEqual(self.state(), "rolled_back")
        allowed = ALLOWED_SHARE * sum(self.arrivals.values()) + ALLOWED_EXTRA
        self.assertLessEqual(self.arrivals["v2"], allowed)

        async def is_left():
            before = self.arrivals["v2"]
            await self.burst()
            return self.arrivals["v2"] == before

        await self.eventually(is_left)

    async def test_rollout_goes_on_after_all_daemons_were_killed(self):
        await self.order()

        async def runs():
            return self.state() == "running"

        await self.eventually(runs)
        await self.restart_all()
        await self.eventually(self.ended)
        self.assertEqual(self.state(), "completed")

    async def burst(self):
        """Sends requests until all daemons have answered some."""
        for daemon in self.daemons:
            for _ in range(20):
                await self.ask(daemon, "/look/x", b"")


if __name__ == "__main__":
    unittest.main()
