#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Clients that do not keep to the limits, against a small machine. Usage: hostile_clients_tests.py PROGRAM

Guards against a daemon that such clients end, or bring beyond the memory or the descriptors of its machine.
"""
import asyncio
import os
import unittest

from aiohttp import web

from small_fleet import HANG_BOUND, PLAIN_CONFIGURATION, PlainUpstream, SmallFleet

MEMORY_MB = 100
DESCRIPTORS = 400
MEGABYTE = 1024 * 1024
BLOCK = 64 * 1024
FLOODERS = 8
FLOOD = 32 * MEGABYTE  # sent by each of them; four of them are beyond the machine's memory
HOLDERS = 180  # connections of callers that are held; fewer than the sessions that the daemon allows
HEADER_BYTES = 16 * 1024  # the default of the operator's limits
BODY_BYTES = 4 * MEGABYTE  # likewise
CONNECTIONS = 250  # to each listener
RESETS = 100
CHUNKED = b"POST /look/bad HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n"


class Upstream(PlainUpstream):
    """Answers with the body of the request; a run at /look/held waits until the test releases it."""

    async def serve(self, request):
        body = await request.read()
        if request.path == "/look/held":
            self.fleet.held += 1
            await self.fleet.release.wait()
        attempt = request.headers["Portpaddle-Attempt-Id"]
        return web.Response(body=body, headers={"Portpaddle-Attempt-Id": attempt, "Portpaddle-Server-Seal": f"e.{attempt}"})


class SmallMachine(SmallFleet):
    limits = {"memoryMb": MEMORY_MB, "fileDescriptors": DESCRIPTORS}
    # No connection ends for its time while a crowd is gathered.
    configuration = {**PLAIN_CONFIGURATION, "limits": {"headerTimeoutMs": 1_000 * HANG_BOUND, "idleTimeoutMs": 1_000 * HANG_BOUND}}

    async def begin_upstreams(self):
        self.held = 0
        self.release = asyncio.Event()
        self.writers = []
        await Upstream(self, "u0", "north").begin()

    async def asyncTearDown(self):
        self.release.set()
        self.leave()
        await super().asyncTearDown()

    async def all_serve(self):
        status, whole, *_ = await self.ask(self.daemons[0], "/look/ready", b"whole")
        return status == 200 and whole

    async def connect(self, part="entry"):
        reader, writer = await asyncio.open_connection(self.daemons[0].host, self.daemons[0].ports[part])
        self.writers.append(writer)
        return reader, writer

    def leave(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def process(self, file):
        return f"/proc/{self.daemons[0].process.pid}/{file}"

    def most_memory(self):
        """Returns the most memory in bytes that the daemon has had."""
        with open(self.process("status")) as file:
            return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir(self.process("fd")))

    async def check_daemon(self):
        """The daemon lives within the bounds of its machine; once the crowd has left, an ordinary request is served."""
        self.assertTrue(self.daemons[0].running(), "the daemon has ended")
        memory, descriptors = self.most_memory(), self.descriptors()
        print(f"{self._testMethodName}: memory {memory / MEGABYTE:.0f} of {MEMORY_MB} MB, descriptors {descriptors} of {DESCRIPTORS}")
        self.assertLessEqual(memory, MEMORY_MB * MEGABYTE)
        self.assertLessEqual(descriptors, DESCRIPTORS)
        self.leave()
        await self.eventually(self.all_serve)


class HostileClients(SmallMachine):
    async def flood(self, begin, block, part="entry"):
        """Sends @p begin and then @p block again and again, until enough is sent or the connection is closed."""
        _, writer = await self.connect(part)
        try:
            writer.write(begin)
            for _ in range(FLOOD // len(block)):
                writer.write(block)
                await asyncio.wait_for(writer.drain(), HANG_BOUND)
        except (ConnectionError, OSError):
            pass  # the daemon may close the connection

    async def check_flood(self, begin, block):
        await asyncio.gather(*(self.flood(begin, block) for _ in range(FLOODERS)))
        await self.check_daemon()

    async def test_trailer_without_end(self):
        await self.check_flood(CHUNKED + b"\r\n0\r\n", b"X-Field: value\r\n" * (BLOCK // 16))

    async def test_one_field_of_a_trailer_without_end(self):
        await self.check_flood(CHUNKED + b"\r\n0\r\nX-Field: ", b"x" * BLOCK)

    async def test_extension_of_a_chunk_without_end(self):
        await self.check_flood(CHUNKED + b"\r\n4;x=", b"x" * BLOCK)

    async def test_zeros_before_the_size_of_a_chunk_without_end(self):
        await self.check_flood(CHUNKED + b"\r\n", b"0" * BLOCK)

    async def test_long_extensions_of_short_chunks(self):
        chunk = b"1;x=" + b"x" * 1017 + b"\r\nx\r\n"
        await self.check_flood(CHUNKED + b"\r\n", chunk * 64)

    async def test_head_without_end(self):
        await self.check_flood(CHUNKED, b"X-Field: value\r\n" * (BLOCK // 16))

    async def test_trailer_without_end_to_other_listeners(self):
        parts = ("readiness", "directory", "link")
        await asyncio.gather(*(self.flood(CHUNKED + b"\r\n0\r\n", b"X-Field: value\r\n" * (BLOCK // 16), part)
                               for part in parts for _ in range(FLOODERS // 2)))
        await self.check_daemon()

    async def hold(self, begin, answer):
        """Sends @p begin and returns whether the daemon asked for more; a refusal and the end of the connection are answers, too."""
        try:
            reader, writer = await self.connect()
            writer.write(begin)
            return (await asyncio.wait_for(reader.readline(), HANG_BOUND)).startswith(answer)
        except ConnectionError:
            return False

    async def test_heads_of_many_short_fields_held_beside_each_other(self):
        head = CHUNKED + b"Expect: 100-continue\r\n"
        head += b"a:\r\n" * ((HEADER_BYTES - len(head) - 2) // 4) + b"\r\n"
        held = await asyncio.gather(*(self.hold(head, b"HTTP/1.1 100 ") for _ in range(HOLDERS)))
        self.assertIn(True, held)
        await self.check_daemon()

    async def test_bodies_held_beside_each_other(self):
        begin = CHUNKED + b"\r\n%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)
        await asyncio.gather(*(self.send_and_hold(begin) for _ in range(HOLDERS // 3)))
        await self.check_daemon()

    async def send_and_hold(self, begin):
        try:
            _, writer = await self.connect()
            writer.write(begin)
            await asyncio.wait_for(writer.drain(), HANG_BOUND)
        except ConnectionError:
            pass

    async def test_connections_to_all_listeners(self):
        for part in ("entry", "readiness", "directory", "link"):
            for _ in range(CONNECTIONS):
                await self.connect(part)
            # Connections are accepted in their order: the end of the last one, or its answer, comes after all others.
            reader, writer = await self.connect(part)
            try:
                writer.write(b"\0\r\n\r\n")
                await asyncio.wait_for(reader.read(), HANG_BOUND)
            except ConnectionError:
                pass
        await self.check_daemon()

    async def test_resets_while_requests_run(self):
        before = self.descriptors()
        for number in range(RESETS):
            _, writer = await self.connect()
            writer.write(b"POST /look/held HTTP/1.1\r\nHost: a.example\r\nPortpaddle-Attempt-Id: r%d\r\n"
                         b"Portpaddle-Deadline-Remaining: 3000\r\nPortpaddle-Token-Counts: 100,30\r\n"
                         b"Portpaddle-Prompt-Prefix: %x:100\r\nContent-Length: 0\r\n\r\n" % (number, number))

        async def some_run():
            return self.held > 0

        await self.eventually(some_run)
        self.leave()
        self.release.set()

        async def descriptors_are_back():
            return self.descriptors() <= before + RESETS // 10

        await self.eventually(descriptors_are_back)
        await self.check_daemon()


class SlowClients(SmallMachine):
    configuration = {**PLAIN_CONFIGURATION, "limits": {"idleTimeoutMs": 1_000}}

    async def test_trailer_byte_by_byte(self):
        reader, writer = await self.connect()
        writer.write(CHUNKED + b"\r\n0\r\n")

        async def drip():
            while True:
                writer.write(b"x")
                await asyncio.sleep(0.05)

        dripping = asyncio.create_task(drip())
        try:
            await asyncio.wait_for(reader.read(), HANG_BOUND)
        except ConnectionError:
            pass
        dripping.cancel()
        await self.check_daemon()


if __name__ == "__main__":
    unittest.main()
