# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A few real daemons beside upstreams of several software versions, whose streams break off and are taken up.

Upstreams hold each new stream after its first events, so that every stream is cut in its middle however fast the machine is.
"""
import asyncio

import aiohttp
from aiohttp import web

from small_fleet import PlainUpstream, SmallFleet
from upstreams import event, versions_in

FIRST_PART, LAST = 3, 6  # events of a stream before it is cut, and of the whole
STREAMS = 6  # for each daemon
DEADLINE_MS = 5_000
POLL = 0.2  # seconds


def numbered(stream, first, last, version):
    return "".join(event(stream, number, version) for number in range(first, last + 1))


class Engine(PlainUpstream):
    """Holds new streams after their first part, and sends the rest of those that are taken up."""

    def __init__(self, fleet, name, region, version):
        super().__init__(fleet, name, region)
        self.version = version

    def register(self, port):
        self.fleet.store.write(f"servers/{self.name}", {
            "service": "engines", "address": f"{self.fleet.host}:{port}", "zone": self.region + "-1", "version": self.version,
            "slots": 500, "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    async def serve(self, request):
        attempt = request.headers.get("Portpaddle-Attempt-Id", "")
        head = {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": "e." + attempt}
        await request.read()
        if request.headers.get("Portpaddle-Expected-Instance", self.name) != self.name:
            return web.Response(status=421, headers={**head, "Portpaddle-Not-Executed": "1"})
        if not request.path.startswith("/stream"):
            return web.Response(headers=head, text="whole")
        answer = web.StreamResponse(headers={**head, "Content-Type": "text/event-stream"})
        await answer.prepare(request)
        stream = request.headers.get("Resumes", attempt)
        if "Last-Event-Id" not in request.headers:
            await answer.write(numbered(stream, 1, FIRST_PART, self.version).encode())
            await self.fleet.release.wait()
            if request.transport is None:  # the daemon was killed meanwhile
                return answer
        first = int(request.headers.get("Last-Event-Id", FIRST_PART)) + 1
        await answer.write(numbered(stream, first, LAST, self.version).encode())
        return answer


class VersionFleet(SmallFleet):
    regions = ("north", "north", "south", "west")
    configuration = {
        "version": 1, "limits": {},
        "routes": [{"name": "ask", "host": "a.example", "pathPrefix": "/stream/", "kind": "stream", "service": "engines",
                    "attempts": 2, "resumable": True, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 0},
                   {"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "engines",
                    "attempts": 2, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 0}],
        "services": [{"name": "engines", "connectionLimit": 500, "coldStartS": 0, "coldPerS": 0,
                      "engine": {"kvCapacityTokens": 600_000, "stride": 1, "moves": False}}]}

    async def begin_upstreams(self):
        self.release = asyncio.Event()
        self.engines = []
        self.begun = {}  # stream: the version that wrote its first part
        await self.begin_version("v1")

    async def asyncTearDown(self):
        self.release.set()
        await super().asyncTearDown()
        for engine in self.engines:
            await engine.runner.cleanup()

    async def begin_version(self, version):
        for region in sorted(set(self.regions)):
            engine = Engine(self, f"{version}-{region}", region, version)
            await engine.begin()
            self.engines.append(engine)

    def remove_version(self, version):
        for engine in self.engines:
            if engine.version == version:
                self.store.remove(f"servers/{engine.name}")

    async def all_serve(self):
        return all([(await self.ask(daemon, "/look/x", b""))[0] == 200 for daemon in self.daemons])

    def post(self, daemon, more=()):
        self.attempts += 1
        headers = {"Host": "a.example", "Portpaddle-Attempt-Id": f"s{self.attempts}",
                   "Portpaddle-Deadline-Remaining": str(DEADLINE_MS), "Portpaddle-Token-Counts": "100,30",
                   "Portpaddle-Prompt-Prefix": f"{self.attempts:x}:100", **dict(more)}
        return f"s{self.attempts}", self.session.post(f"http://{daemon.address('entry')}/stream/x", data=b"", headers=headers)

    async def begin_stream(self, daemon):
        """Returns the version that wrote the first part of a new stream; None if no stream began. Reads on until it breaks off."""
        stream, sent = self.post(daemon)
        text, started = "", asyncio.get_running_loop().create_future()

        async def read():
            nonlocal text
            try:
                async with sent as answer:
                    async for chunk in answer.content.iter_any():
                        text += chunk.decode()
                        if answer.status == 200 and text.count("\n\n") >= FIRST_PART and not started.done():
                            started.set_result(min(versions_in(text)))
            except (aiohttp.ClientError, OSError):
                pass
            if not started.done():
                started.set_result(None)

        self.tasks.append(asyncio.create_task(read()))
        version = await started
        if version:
            self.begun[stream] = version
        return version

    async def await_version(self, version):
        """Waits until new streams begin at @p version; forgets those."""
        before = dict(self.begun)

        async def is_begun():
            await asyncio.sleep(POLL)
            return version in await asyncio.gather(*(self.begin_stream(daemon) for daemon in self.daemons))

        await self.eventually(is_begun)
        self.begun = before

    async def begin_streams(self, versions):
        """Begins streams at all daemons, until each of @p versions has begun some."""
        for version in versions:
            await self.await_version(version)

        async def all_began():
            began = await asyncio.gather(*(self.begin_stream(daemon) for daemon in self.daemons for _ in range(STREAMS)))
            return None not in began and versions <= set(self.begun.values())

        await self.eventually(all_began)

    async def take_up(self, stream, daemon):
        """Returns whether the stream went on; fails if another version than the one that began it wrote the rest."""
        _, sent = self.post(daemon, {"Resumes": stream, "Last-Event-Id": str(FIRST_PART)})
        try:
            async with sent as answer:
                text = (await answer.read()).decode()
        except (aiohttp.ClientError, OSError):
            return False
        if answer.status != 200:
            return False
        self.assertLessEqual(versions_in(text), {self.begun[stream]}, f"{stream} is joined from two versions by {daemon.name}")
        return text.count("\n\n") == LAST - FIRST_PART

    async def take_all_up(self):
        """Takes each stream up at each daemon; returns those that went on anywhere."""
        tries = [(stream, daemon) for stream in self.begun for daemon in self.daemons]
        went_on = await asyncio.gather(*(self.take_up(*each) for each in tries))
        return {stream for (stream, _), whole in zip(tries, went_on) if whole}
