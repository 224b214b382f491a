#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Streams that may be resumed, sent to real daemons as soon as they say that they are ready, on the first start of a fleet.
Usage: first_readiness_tests.py PROGRAM
"""
import asyncio
import unittest

import aiohttp

from version_fleet import VersionFleet

STREAMS = 30  # for each daemon
PAUSE = 0.03  # seconds between two streams


class FirstReadiness(VersionFleet):
    async def all_serve(self):
        """Only the readiness counts here."""
        return True

    async def is_ready(self, daemon):
        try:
            async with self.session.get(f"http://{daemon.address('readiness')}/v1/readiness") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def status_of_stream(self, daemon):
        _, sent = self.post(daemon)
        async with sent as answer:
            return answer.status

    async def statuses_from_readiness_on(self, daemon):
        while not await self.is_ready(daemon):
            await asyncio.sleep(0.01)
        sent = []
        for _ in range(STREAMS):
            sent.append(asyncio.create_task(self.status_of_stream(daemon)))
            await asyncio.sleep(PAUSE)
        return await asyncio.gather(*sent)

    async def test_every_stream_begins_at_a_daemon_that_says_that_it_is_ready(self):
        for statuses in await asyncio.gather(*(self.statuses_from_readiness_on(daemon) for daemon in self.daemons)):
            self.assertEqual(set(statuses), {200}, f"{statuses.count(503)} of {STREAMS} refused")


if __name__ == "__main__":
    unittest.main()
