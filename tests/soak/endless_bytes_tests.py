#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Upstreams that send bytes that are no answer, to many requests at once, and the memory of the real daemon that asked them.
Usage: endless_bytes_tests.py PROGRAM

The daemon must keep to the memory that its settings give it, live on, and serve a sound request after each kind of trouble.
"""
import asyncio
import unittest

from small_fleet import SmallFleet

MEMORY_MB = 128  # of the machine, in the daemon's settings
UPSTREAMS = 4
CROWD = 240  # requests at once
SMALL_CROWD = 32  # where each request costs several MB
DEADLINE_MS = 6_000  # of a request, in which the bytes of a whole crowd can arrive
BLOCK = 64 * 1024
HELD = 1_000_000  # bytes of an event that does not go on: just below the bound of one event

SEALED = "Portpaddle-Attempt-Id: {0}\r\nPortpaddle-Server-Seal: e.{0}\r\n"
ANSWER = "HTTP/1.1 200 OK\r\n" + SEALED
CHUNKED = ANSWER + "Transfer-Encoding: chunked\r\n\r\n"
STREAM = ANSWER + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = "HTTP/1.1 503 Busy\r\n" + SEALED + "Portpaddle-Not-Executed: 1\r\n"
LONG = "Content-Length: 100000000000\r\n\r\n"


def repeated(text):
    return (text * (BLOCK // len(text))).encode()


def chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


NOISE = b"x" * BLOCK
FIELDS = repeated("X-More: y\r\n")
# By name: path, bytes that come first, bytes that are sent until the daemon closes the connection, number of requests at once.
TROUBLES = {
    "fields of a head": ("/look/", "HTTP/1.1 200 OK\r\n", FIELDS, CROWD),
    "no HTTP": ("/look/", "", NOISE, CROWD),
    "interim answers": ("/look/", "", repeated("HTTP/1.1 103 Early\r\n\r\n"), CROWD),
    "refusal": ("/look/", REFUSAL + LONG, NOISE, CROWD),
    "failure": ("/look/", "HTTP/1.1 500 Trouble\r\n" + SEALED + LONG, NOISE, CROWD),
    "body": ("/look/", ANSWER + "Connection: close\r\n\r\n", NOISE, SMALL_CROWD),
    "chunks": ("/look/", CHUNKED, chunk(NOISE), SMALL_CROWD),
    "extension of a chunk": ("/look/", CHUNKED + "3;", NOISE, CROWD),
    "fields of a trailer": ("/look/", CHUNKED + "3\r\nabc\r\n0\r\n", FIELDS, CROWD),
    "field of a trailer": ("/look/", CHUNKED + "3\r\nabc\r\n0\r\nX-More: ", NOISE, CROWD),
    "comments in a stream": ("/stream/", STREAM, chunk(repeated(": nothing yet..\n\n")), SMALL_CROWD),
    "event": ("/stream/", STREAM, chunk(NOISE), CROWD),
    "event that stops": ("/stream/", STREAM + chunk(b"x" * HELD).decode(), b"", CROWD),
}


# Sound answers, by the body of the request.
SOUND = {"whole": ANSWER + "Content-Length: 5\r\n\r\nsound",
         "events": STREAM + chunk(b"id: 1\n\n").decode() + "0\r\n\r\n"}


class TroubledUpstream:
    """Sends the trouble or the sound answer that the body of a request names."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name

    async def begin(self):
        self.server = await asyncio.start_server(self.converse, self.fleet.host, 0, backlog=1024)
        self.fleet.store.write(f"servers/{self.name}", {
            "service": "app", "address": f"{self.fleet.host}:{self.server.sockets[0].getsockname()[1]}", "zone": "north-1",
            "version": "v1", "slots": 500, "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    async def converse(self, reader, writer):
        self.fleet.tasks.append(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                body = (await reader.readexactly(int(fields.get("content-length", 0)))).decode()
                await self.answer(body, fields["portpaddle-attempt-id"], reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, body, attempt, reader, writer):
        if body not in TROUBLES:
            writer.write(SOUND[body].format(attempt).encode())
            return
        self.fleet.met += 1
        _, first, endless, _ = TROUBLES[body]
        writer.write(first.format(attempt).encode())
        await writer.drain()
        while endless:
            writer.write(endless)
            await writer.drain()
        await reader.read()  # until the daemon closes the connection


class EndlessBytes(SmallFleet):
    limits = {"memoryMb": MEMORY_MB}
    configuration = {
        "version": 1, "limits": {},
        "routes": [{"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "service": "app",
                    "attempts": 2, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1_000, "priority": 0},
                   {"name": "talk", "host": "a.example", "pathPrefix": "/stream/", "kind": "stream", "service": "app",
                    "attempts": 2, "resumable": True, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1_000, "priority": 0}],
        "services": [{"name": "app", "connectionLimit": 500, "coldStartS": 0, "coldPerS": 0}]}

    async def begin_upstreams(self):
        asyncio.get_running_loop().set_debug(False)  # slow beside this many bytes
        self.met = 0  # attempts that were answered with trouble
        for number in range(UPSTREAMS):
            await TroubledUpstream(self, f"u{number}").begin()

    async def all_serve(self):
        answers = [await self.ask(self.daemons[0], path, body) for path, body in (("/look/", b"whole"), ("/stream/", b"events"))]
        return all(status == 200 and whole for status, whole, *_ in answers)

    async def ask_in_trouble(self, name, path):
        await self.ask(self.daemons[0], path, name.encode(), {"Portpaddle-Deadline-Remaining": str(DEADLINE_MS)})

    def most_memory_mb(self):
        with open(f"/proc/{self.daemons[0].process.pid}/status") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmHWM:"))

    async def test_bytes_without_end_to_many_requests_leave_the_daemon_within_its_memory(self):
        exceeded = []
        for name, (path, _, _, crowd) in TROUBLES.items():
            self.met = 0
            while self.met < crowd:
                await asyncio.gather(*(self.ask_in_trouble(name, path) for _ in range(crowd)))
            self.assertTrue(self.daemons[0].running(), name)
            await self.eventually(self.all_serve)
            most = self.most_memory_mb()
            print(f"{name}: {self.met} attempts, most memory so far {most} MB of {MEMORY_MB} MB", flush=True)
            exceeded += [name] if most >= MEMORY_MB else []
        self.assertEqual(exceeded, [])


if __name__ == "__main__":
    unittest.main()
