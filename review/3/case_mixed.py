# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""HEAD requests to a route that a new config has removed, on kept connections that carry other requests as well."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from case import BROKEN, HELD, LIMITS, Case, CannotRun, disturbed, main  # noqa: E402
from engine import Engine  # noqa: E402
from http1 import Connection, encode_answer  # noqa: E402
from store import Store  # noqa: E402

CONTACT = 5.0  # contactMs
CONFIGURATION = 3.0  # configurationMs
CONNECTIONS = 12
DEADLINE_MS = 2_000


class PlainEngine(Engine):
    async def run(self, message, writer, head):
        if message.method != "HEAD":
            return await super().run(message, writer, head)
        attempt = head["Portpaddle-Attempt-Id"]
        self.runs.append(attempt)
        self.record(f"engine {self.name} runs {attempt}: HEAD {message.target}")
        writer.write(encode_answer(200, {**head, "Portpaddle-Server-Seal": self.seal(attempt)}, b""))
        return True


class Mixed(Case):
    regions = ("north", "north")

    def configure(self, version, prefixes):
        kinds = {"/news/": "idempotent", "/pay/": "non_idempotent"}
        routes = [{"name": prefix.strip("/"), "host": "a.example", "pathPrefix": prefix, "kind": kinds[prefix], "timeoutMs": 2000,
                   "targetLatencyMs": 400, "priority": 2, "service": "app", "attempts": 1, "sticky": False, "homeRegions": []}
                  for prefix in prefixes]
        service = {"name": "app", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": False, "coldStartS": 0,
                   "coldPerS": 0}
        self.store.write("op/config", {"version": version, "routes": routes, "services": [service], "limits": LIMITS})
        self.record(f"operator: config {version} with the routes {' '.join(prefixes)} is acknowledged")

    async def prepare(self):
        self.store = Store()
        await self.store.start("127.0.0.1")
        self.servers.append(self.store)
        self.engine = PlainEngine(self.store, self.record, "e-north", "app", "north-1")
        await self.engine.begin("127.0.0.1")
        self.servers.append(self.engine)
        self.configure(1, ["/news/", "/pay/"])

    async def ask(self, connection, name, method, prefix):
        """Sends a request and reads its answer by the rules of HTTP/1.1: an answer to HEAD ends with its headers.

        Returns the id, and the status, or the bytes in place of an answer."""
        attempt = self.next_attempt()
        headers = {"Host": "a.example", "Portpaddle-Attempt-Id": attempt, "Portpaddle-Deadline-Remaining": str(DEADLINE_MS)}
        lines = [f"{method} {prefix}{attempt} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers.items()]
        lines += ["Content-Length: 0"] if method == "POST" else []
        self.record(f"client sends {attempt} on {name}: {method} {prefix}{attempt}")
        connection.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            start = await asyncio.wait_for(connection.reader.readuntil(b"\n"), DEADLINE_MS / 1000 + 1)
            if not start.startswith(b"HTTP/1.1 "):
                self.record(f"client gets bytes that are no answer where that to {attempt} is due: {start!r}")
                return attempt, start
            status, length = int(start.split()[1]), 0
            while (line := await connection.reader.readuntil(b"\r\n")) != b"\r\n":
                key, _, value = line.decode("latin-1").partition(":")
                length = int(value) if key.lower() == "content-length" else length
            body = b"" if method == "HEAD" else await connection.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record(f"client gets no answer to {attempt}: {type(error).__name__}")
            return attempt, 0
        self.record(f"client gets {status} to {attempt}, body {body[:60]!r}")
        return attempt, status

    async def play(self):
        await self.prepare()
        await self.begin_machines()
        await asyncio.sleep(CONTACT + 1)  # the machines are in touch
        kept = []
        for number in range(CONNECTIONS):
            machine = self.machines[number % len(self.machines)]
            connection = await Connection(machine.host, self.ports["frontend"]).open()
            kept.append((connection, f"connection {number} to {machine.name}"))
        for connection, name in kept:
            for method, prefix in (("HEAD", "/news/"), ("POST", "/pay/")):
                if (await self.ask(connection, name, method, prefix))[1] != 200:
                    raise CannotRun("a request is not served before the change")
        if disturbed():
            self.configure(2, ["/pay/"])
        await asyncio.sleep(CONFIGURATION + 1)
        broken = run = 0
        for connection, name in kept:
            await self.ask(connection, name, "HEAD", "/news/")
            attempt, answer = await self.ask(connection, name, "POST", "/pay/")
            if isinstance(answer, bytes):
                broken += 1
                await asyncio.sleep(0.1)
                run += attempt in self.engine.runs
        for connection, _ in kept:
            connection.close()
        line = (f"{broken} of {CONNECTIONS} connections brought bytes that are no answer after the answer to HEAD; "
                f"{run} of the requests that followed on them were run, and their answers could not be read")
        self.record(line)
        print(line)
        return BROKEN if broken else HELD


if __name__ == "__main__":
    main(Mixed)
