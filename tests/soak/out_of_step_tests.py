#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Streams of a new software version that broke off, and are taken up at a real daemon that is out of step with the others.
Usage: out_of_step_tests.py PROGRAM

The daemon's open call for changes gets no answer any more, its cheap reads of the store are old, and no datagram reaches it.
"""
import asyncio
import json
import time
import unittest
from types import SimpleNamespace

from aiohttp import web

from version_fleet import VersionFleet

LAG = 6.0  # seconds by which cheap reads are old
TRIED = 8.0  # seconds for which streams are taken up
UNREACHABLE = 1  # port where nobody listens


class StoreContact:
    """The store as one daemon sees it."""

    def __init__(self, store):
        self.store = store
        self.lag = 0.0
        self.losing = False
        self.seen = []  # (time, revision)

    async def start(self, host):
        app = web.Application()
        app.add_routes([
            web.get("/v1/kv-key", self.key), web.get("/v1/kv-range", self.store.range), web.get("/v1/kv-watch", self.watch),
            web.post("/v1/kv-txn", self.store.transact), web.post("/v1/kv-lease", self.store.grant),
            web.post("/v1/kv-keep/{id}", self.store.keep), web.delete("/v1/kv-lease-end/{id}", self.store.end)])
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def record(self):
        while True:
            self.seen.append((time.monotonic(), self.store.revision))
            await asyncio.sleep(0.02)

    async def key(self, request):
        answer = json.loads((await self.store.key(request)).text)
        if "serializable" in request.query:
            old = [revision for at, revision in self.seen if at <= time.monotonic() - self.lag]
            answer["storeRevision"] = old[-1] if old else self.seen[0][1]
        return web.json_response(answer)

    async def watch(self, request):
        losing = asyncio.ensure_future(self.lost())
        answer = asyncio.ensure_future(self.store.watch(request))
        await asyncio.wait({losing, answer}, return_when=asyncio.FIRST_COMPLETED)
        if losing.done():
            answer.cancel()
            await asyncio.Event().wait()  # nothing more is said on this connection
        losing.cancel()
        return await answer

    async def lost(self):
        while not self.losing:
            await asyncio.sleep(0.01)


class OutOfStep(VersionFleet):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.late = self.daemons[2]
        self.contact = StoreContact(self.store)
        await self.contact.start(self.host)
        self.tasks.append(asyncio.create_task(self.contact.record()))
        await self.eventually(self.versions_recorded)
        await self.late.kill()
        self.late.store_proxy = SimpleNamespace(port=self.contact.port)
        await self.late.start()
        await self.eventually(self.all_serve)

    async def asyncTearDown(self):
        await super().asyncTearDown()
        await self.contact.runner.cleanup()

    async def versions_recorded(self):
        """Whether the store has a complete record of each region's versions, as after a first start."""
        records = [value for key, (value, _, _) in self.store.items.items() if key.startswith("portpaddle/versions/")]
        return len(records) == len(set(self.regions)) and all(json.loads(record)["complete"] for record in records)

    def cut_datagrams(self):
        """Lets the other daemons send to the late one what never arrives."""
        for key, (value, _, lease) in list(self.store.items.items()):
            if key.startswith("portpaddle/") and self.late.address("link") in value and f'"{self.late.name}"' in value:
                unreachable = value.replace(self.late.address("link"), f"{self.host}:{UNREACHABLE}")
                self.store.write(key, unreachable, lease)

    async def take_up_at_late(self):
        return any([await self.take_up(stream, self.late) for stream in list(self.begun)])

    async def lose_open_call(self):
        self.contact.losing = True
        await asyncio.sleep(0.1)
        self.contact.losing = False

    async def begin_new_streams(self):
        others = [daemon for daemon in self.daemons if daemon is not self.late]
        began = await asyncio.gather(*(self.begin_stream(daemon) for daemon in others for _ in range(2)))
        return "v2" in began

    async def play_release(self, pause):
        """Releases "v2" while the late daemon is out of step and stands still for @p pause seconds, and takes streams up there."""
        await self.begin_streams({"v1"})
        await self.eventually(self.take_up_at_late)
        self.begun = {}
        self.cut_datagrams()
        await asyncio.sleep(LAG + 1)  # a read that is older than what the daemon knows would make it doubt
        self.contact.lag = LAG
        await self.lose_open_call()
        await self.begin_version("v2")
        self.late.pause()
        await asyncio.sleep(pause)
        self.late.resume()
        await self.eventually(self.begin_new_streams)
        end = time.monotonic() + TRIED
        while time.monotonic() < end:
            await asyncio.gather(*(self.take_up(stream, self.late) for stream in self.begun))
            await asyncio.sleep(0.1)

    async def test_streams_are_not_joined_by_a_daemon_whose_reads_of_the_store_are_old(self):
        await self.play_release(pause=0)

    async def test_streams_are_not_joined_by_a_daemon_that_stood_still_for_less_than_a_second(self):
        await self.play_release(pause=0.9)

    async def test_streams_are_not_joined_by_a_daemon_that_stood_still_for_seconds(self):
        await self.play_release(pause=2.5)


if __name__ == "__main__":
    unittest.main()
