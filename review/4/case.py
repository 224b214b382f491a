# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""One damaged answer of one engine ends the daemon, with all requests that other engines run for it."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption
RECORD = os.path.join(FOLDER, "record.txt")  # what was sent, answered and run
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from fleet import Case, Engine, KeptConnection, configuration, plain_route, plain_service  # noqa: E402

ANSWERS_BEFORE = 40  # whole answers before the damaged one: it is one of 41, below the share of 0.03 of the site
DAMAGED_LENGTH = 2**63 - 1
MAX_LOST = 3  # the rule: more than three times
CALLERS = 36


class BusyEngine(Engine):
    """Takes 0.1 to 0.3 s for each request."""

    async def run(self, line, headers, body):
        await asyncio.sleep(random.Random(headers["portpaddle-attempt-id"]).uniform(0.1, 0.3))


class GarblingEngine(BusyEngine):
    """Damages the length in one of its answers."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answers = 0
        self.garbles = False

    async def serve(self, request, writer):
        self.answers += 1
        if not self.garbles or self.answers != ANSWERS_BEFORE + 1:
            return await super().serve(request, writer)
        attempt = request[1]["portpaddle-attempt-id"]
        self.case.note("run", engine=self.name, service=self.service, attempt=attempt)
        await self.run(*request)
        self.case.note("garbled", engine=self.name, attempt=attempt, length=DAMAGED_LENGTH)
        head = "".join(f"{name}: {value}\r\n" for name, value in self.head(attempt))
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {DAMAGED_LENGTH}\r\n\r\n{self.service}:{attempt}".encode())
        return False


class DamagedLength(Case):
    configuration = configuration(7, [plain_route("receipt-lookup", "/receipt/", "non_idempotent", "desk-app", attempts=1)],
                                  [plain_service("desk-app")])

    async def begin_engines(self):
        self.garbling = GarblingEngine(self, "desk-khi-1", "desk-app", "khi-1")
        self.sound = [BusyEngine(self, f"desk-khi-{number}", "desk-app", "khi-1") for number in (2, 3)]
        for engine in (self.garbling, *self.sound):
            await engine.start()

    async def call(self, connection, end):
        await connection.open()
        number = 0
        while self.now() < end and connection.lost is None:
            number += 1
            await connection.ask(f"/receipt/{number}")

    async def play(self):
        daemon = self.daemons[0]
        self.garbling.garbles = self.trouble
        connections = [KeptConnection(self, daemon) for _ in range(CALLERS)]
        await asyncio.gather(*(self.call(connection, self.now() + 5) for connection in connections))
        await asyncio.sleep(0.5)
        runs = {attempt: engine for _, engine, attempt, _ in self.runs}
        lost = [connection.lost for connection in connections if connection.answered and runs.get(connection.lost) in self.sound]
        for attempt in lost:
            self.note("lost", attempt=attempt, engine=runs[attempt].name)
        self.note("verdict", lost_on_kept_connections=len(lost), allowed=MAX_LOST, daemon_running=daemon.running(),
                  exit_code=daemon.process.returncode)
        return len(lost) > MAX_LOST


DamagedLength(TROUBLE, RECORD).main()
