# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A stand-in for an engine: registers itself, answers requests whole and records what it ran."""
import asyncio

from http1 import Server, encode_answer


class Engine(Server):
    def __init__(self, store, record, name, service, zone, slots=64):
        super().__init__()
        self.store, self.record, self.name, self.service, self.zone, self.slots = store, record, name, service, zone, slots
        self.runs = []  # ids of the requests that it ran
        self.sequence = 0
        self.registered = False
        self.work = 0.01  # seconds for a request
        self.notice = {}  # headers by which its answers say that it leaves

    async def begin(self, host):
        await self.start(host)
        self.register()

    def register(self, state="ready", cold_ms=0):
        self.sequence += 1
        self.registered = True
        self.store.write(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "coldRemainingMs": cold_ms, "sequence": self.sequence})

    def end(self):
        """Crashes; the platform removes the entry after three check-ins of silence, which the caller of this does."""
        self.crash()

    def unregister(self):
        self.registered = False
        self.store.remove(f"servers/{self.name}")

    def head(self, message):
        attempt = message.headers.get("portpaddle-attempt-id", "")
        return {"Portpaddle-Attempt-Id": attempt, "Portpaddle-Instance-Id": self.name, **self.notice}

    def seal(self, attempt):
        return f"{self.name}.{attempt}"

    async def handle(self, message, writer):
        head = self.head(message)
        if message.target == "/health":
            writer.write(encode_answer(200, head, b""))
            return True
        if message.headers.get("portpaddle-expected-instance", self.name) != self.name:
            writer.write(encode_answer(421, {**head, "Portpaddle-Not-Executed": "1"}, b""))
            return True
        return await self.run(message, writer, head)

    async def run(self, message, writer, head):
        attempt = head["Portpaddle-Attempt-Id"]
        self.runs.append(attempt)
        self.record(f"engine {self.name} runs {attempt}: {message.method} {message.target}, body of {len(message.body)} bytes")
        await asyncio.sleep(self.work)
        body = f"{self.service}:{attempt}".encode()
        writer.write(encode_answer(200, {**head, "Portpaddle-Server-Seal": self.seal(attempt)}, body))
        return True
