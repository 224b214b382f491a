# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Resumable streams of an engine that crashes, while the other engines fail part of their requests."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from case import BROKEN, HELD, LIMITS, Case, CannotRun, disturbed, main  # noqa: E402
from engine import Engine  # noqa: E402
from http1 import Connection, read_chunk, read_head  # noqa: E402
from store import Store  # noqa: E402

CONTACT = 5.0  # contactMs
HEARTBEAT = 1.2  # heartbeatIntervalMs; the entry of an engine goes after three check-ins of silence
ENGINES = 4
EVENTS = 40
PAUSE = 0.05  # seconds between two events
STREAMS = 48
DEADLINE_MS = 8_000
FAILING_SHARE = 0.45  # of the requests, as on the site's day trouble-1
FAILURE = 404


class StreamEngine(Engine):
    """Streams events with rising ids in chunks; continues after Last-Event-Id. While grey, it fails part of its requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.grey = False
        self.failed = 0
        self.seen = 0  # requests since it became grey
        self.running = 0

    async def run(self, message, writer, head):
        attempt = head["Portpaddle-Attempt-Id"]
        after = int(message.headers.get("last-event-id", "0"))
        self.runs.append(attempt)
        self.seen += 1 if self.grey else 0
        self.record(f"engine {self.name} runs {attempt} after event {after}")
        head["Portpaddle-Server-Seal"] = self.seal(attempt)
        if self.grey and self.failed + 1 <= FAILING_SHARE * self.seen:
            self.failed += 1
            self.record(f"engine {self.name} fails {attempt} with {FAILURE}")
            body = b"this engine cannot serve the request"
            lines = [f"HTTP/1.1 {FAILURE} Not Found"] + [f"{name}: {value}" for name, value in head.items()]
            writer.write(("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            return True
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.running += 1
        try:
            for number in range(after + 1, EVENTS + 1):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(PAUSE)
            writer.write(b"0\r\n\r\n")
            self.record(f"engine {self.name} ends {attempt} after event {EVENTS}")
        finally:
            self.running -= 1
        return True


class Order(Case):
    regions = ("north", "north")

    async def prepare(self):
        self.store = Store()
        await self.store.start("127.0.0.1")
        self.servers.append(self.store)
        self.engines = []
        for number in range(ENGINES):
            engine = StreamEngine(self.store, self.record, f"e-{number}", "model", "north-1")
            await engine.begin("127.0.0.1")
            self.engines.append(engine)
            self.servers.append(engine)
        # As the site's route of fault-query, with a longer time limit.
        route = {"name": "ask", "host": "a.example", "pathPrefix": "/ask/", "kind": "stream", "timeoutMs": DEADLINE_MS,
                 "targetLatencyMs": 600, "priority": 0, "service": "model", "attempts": 2, "sticky": True, "resumable": True,
                 "gapTargetMs": 400, "homeRegions": []}
        service = {"name": "model", "healthPath": "/health", "connectionLimit": 620, "protocol": "h1", "tls": False,
                   "coldStartS": 0, "coldPerS": 0,
                   "engine": {"slots": 128, "kvCapacityTokens": 671115, "stride": 7, "moves": False, "models": [{"name": "m"}]}}
        self.store.write("op/config", {"version": 1, "routes": [route], "services": [service], "limits": LIMITS})

    async def ask(self, number):
        """Reads one stream; returns the ids of its events, and whether it ended as complete."""
        attempt = self.next_attempt()
        machine = self.machines[number % len(self.machines)]
        connection = await Connection(machine.host, self.ports["frontend"]).open()
        headers = {"Host": "a.example", "Portpaddle-Attempt-Id": attempt, "Portpaddle-Deadline-Remaining": str(DEADLINE_MS),
                   "Portpaddle-Model": "m", "Portpaddle-Token-Counts": f"500,{EVENTS * 7}",
                   "Portpaddle-Prompt-Prefix": f"aa01:200,{number:08x}:300", "Content-Length": "0"}
        lines = [f"POST /ask/{number} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        self.record(f"client sends {attempt} to {machine.name}")
        connection.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        body, complete, status = b"", False, 0
        try:
            start, answer = await read_head(connection.reader)
            status = int(start.split()[1])
            if "chunked" not in answer.get("transfer-encoding", ""):
                body = await connection.reader.readexactly(int(answer.get("content-length", "0")))
                complete = True
            while not complete:
                chunk = await read_chunk(connection.reader)
                body += chunk
                complete = not chunk
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            connection.close()
        ids = [int(line[4:]) for line in body.decode(errors="replace").split("\n") if line.startswith("id: ")]
        last = ids[-1] if ids else 0
        self.record(f"client gets {status} to {attempt}, events up to {last} of {EVENTS}, {'complete' if complete else 'cut'}")
        return attempt, status, ids, complete

    async def play(self):
        await self.prepare()
        await self.begin_machines()
        await asyncio.sleep(CONTACT + 1)  # the machines are in touch
        _, status, ids, complete = await self.ask(0)
        if (status, ids, complete) != (200, list(range(1, EVENTS + 1)), True):
            raise CannotRun("a stream is not served before the disruption")
        streams = [asyncio.create_task(self.ask(number)) for number in range(STREAMS)]
        await asyncio.sleep(EVENTS * PAUSE / 2)
        if disturbed():
            busiest = max(self.engines, key=lambda engine: engine.running)
            for engine in self.engines:
                engine.grey = engine is not busiest
            self.record(f"engine {busiest.name} crashes with {busiest.running} streams; the others fail part of their requests")
            busiest.crash()
            asyncio.get_running_loop().call_later(3 * HEARTBEAT, busiest.unregister)
        answers = await asyncio.gather(*streams)
        failures = []
        for attempt, status, ids, complete in answers:
            whole = ids == list(range(1, EVENTS + 1))
            if status == 200 and complete and not whole:
                failures.append(attempt)
                self.record(f"ORDER: {attempt} ended as complete after event {ids[-1] if ids else 0} of {EVENTS}")
        cut = sum(1 for _, status, _, complete in answers if status == 200 and not complete)
        line = f"{len(answers)} streams; {len(failures)} ended as complete before their last event; {cut} were cut"
        self.record(line)
        print(line)
        return BROKEN if failures else HELD


if __name__ == "__main__":
    main(Order)
