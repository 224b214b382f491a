#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A part of prompts that crashes each upstream that begins to answer on it. Usage: crashing_parts_tests.py PROGRAM

Guards against requests with one such part, no two alike, that crash upstream after upstream.
"""
import asyncio
import time
import unittest

from crashing_requests_tests import CONFIGURATION, CONTACT, FragileUpstream
from small_fleet import SmallFleet

REGIONS = ("north", "north", "south", "south")  # of the daemons
UPSTREAMS_IN_REGION = 5
SHARED, DEADLY = "aa01", "dead"  # the part that all prompts share, and the one that crashes upstreams
CRASHES_COUNTED = 5  # the times below count from this crash on
ARRIVALS_ALLOWED = 3  # of requests with the deadly part, later than CONTACT after it
SOUND_CALLERS, DEADLY_CALLERS = 16, 2
SOUND_PAUSE, DEADLY_PAUSE = 0.15, 0.4  # seconds between two requests of a caller
CALM = 2  # seconds with sound requests alone
OBSERVED = 3  # seconds for which sound requests are watched after 2 * CONTACT


class PartSensitiveUpstream(FragileUpstream):
    def is_deadly(self, request, body):
        parts = [part.split(":")[0] for part in request.headers.get("Portpaddle-Prompt-Prefix", "").split(",")]
        return DEADLY in parts


class CrashingParts(SmallFleet):
    regions = REGIONS
    configuration = CONFIGURATION

    async def begin_upstreams(self):
        self.crashes, self.ran, self.sound = [], [], []
        self.upstreams = [PartSensitiveUpstream(self, f"e-{region}-{number}", region) for region in sorted(set(REGIONS))
                          for number in range(UPSTREAMS_IN_REGION)]
        for upstream in self.upstreams:
            await upstream.begin()

    async def all_serve(self):
        return all([(await self.ask_with(daemon, SHARED, "sound0"))[0] == 200 for daemon in self.daemons])

    async def ask_with(self, daemon, parts, caller):
        """Sends a request with these parts, and a last part and a body of its own."""
        own = self.attempts + 1
        prefix = ",".join(f"{part}:100" for part in [*parts.split(","), f"f{own:x}"])
        more = [("Portpaddle-Prompt-Prefix", prefix), ("Authorization", "Bearer " + caller)]
        return await self.ask(daemon, "/ask/x", f"body {own}".encode(), more)

    async def send_for(self, seconds, parts, caller, pause):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            at = time.monotonic()
            status = (await self.ask_with(self.random.choice(self.daemons), parts, caller))[0]
            if DEADLY not in parts:
                self.sound.append((at, status == 200))
            await asyncio.sleep(pause)

    async def load_for(self, seconds, deadly_parts=None):
        callers = [self.send_for(seconds, SHARED, f"sound{number}", SOUND_PAUSE) for number in range(SOUND_CALLERS)]
        if deadly_parts:
            callers += [self.send_for(seconds, deadly_parts, f"deadly{number}", DEADLY_PAUSE) for number in range(DEADLY_CALLERS)]
        await asyncio.gather(*callers)

    def served_share(self, begin, end):
        served = [ok for at, ok in self.sound if begin <= at < end]
        self.assertGreaterEqual(len(served), 20, "too few requests to tell")
        return sum(served) / len(served)

    async def check_deadly_part(self, parts):
        begin = time.monotonic()
        await self.load_for(CALM)
        deadly_since = time.monotonic()
        await self.load_for(1 + 2 * CONTACT + OBSERVED, parts)
        times = sorted(crash[0] for crash in self.crashes)
        self.assertGreaterEqual(len(times), 1, "no upstream crashed, so nothing was tested")
        counted = times[min(CRASHES_COUNTED, len(times)) - 1]
        late = [at for at in times if at > counted + CONTACT]
        self.assertLessEqual(len(late), ARRIVALS_ALLOWED, f"{len(times)} upstreams crashed")
        before = self.served_share(begin, deadly_since)
        after = self.served_share(counted + 2 * CONTACT, time.monotonic())
        self.assertGreaterEqual(after, before / 2)

    async def test_deadly_part_in_the_middle_reaches_no_more_upstreams_and_sound_requests_are_served(self):
        await self.check_deadly_part(f"{SHARED},{DEADLY}")

    async def test_deadly_part_at_the_front_reaches_no_more_upstreams_and_sound_requests_are_served(self):
        await self.check_deadly_part(f"{DEADLY},bb02")

    async def test_deadly_part_stays_quarantined_after_all_daemons_lost_power(self):
        await self.load_for(CONTACT, f"{SHARED},{DEADLY}")
        await self.restart_all()
        await self.eventually(self.all_serve)
        before = len(self.crashes)
        await self.load_for(CONTACT, f"{SHARED},{DEADLY}")
        self.assertLessEqual(len(self.crashes) - before, ARRIVALS_ALLOWED)

    async def test_shared_parts_are_not_accused_where_upstreams_crash_at_random(self):
        async def crash_at_random():
            for _ in range(20):
                self.tasks.append(asyncio.create_task(self.random.choice(self.upstreams).end()))
                await asyncio.sleep(0.25)

        crashing = asyncio.create_task(crash_at_random())
        await self.load_for(CONTACT)
        await crashing
        self.refusals.clear()
        await self.eventually(self.all_serve)
        begin = time.monotonic()
        await self.load_for(CALM)
        self.assertGreaterEqual(self.served_share(begin, time.monotonic()), 0.95)
        self.assertEqual([text for text in self.refusals if "crashed" in text], [])


if __name__ == "__main__":
    unittest.main()
