# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A small deployment for one case: real daemons, started as in tests/soak, with the store, engines and callers of this folder.

A case subclasses Case. It records each request that was sent, answered or run with a time since the start of the case.
"""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import traceback
from types import SimpleNamespace

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))  # its store goes before that of the soak

from daemons import Daemon, free_ports, own_host  # noqa: E402
from http1 import answer, read_head, read_message  # noqa: E402
from proxy import Proxy  # noqa: E402
from store import Store  # noqa: E402

PROGRAM = "target/src/portpaddled"  # as in the deploy file, started at the root of the repository
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "acknowledgeMs": 6000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
          "lostMs": 200, "configurationMs": 3000, "downgradeSlackMs": 250, "outerMs": 8000, "budgetRatio": 0.2, "budgetWindowS": 10,
          "budgetExtraAttempts": 56, "coldOvershoot": 1.5, "coldSlack": 3, "evacuationMs": 5000, "recoveryS": 12, "passMs": 600,
          "retryAfterS": 10, "ttl_max_s": 5}
LIMITS = {"headerBytes": 16_384, "bodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Engine:
    """An engine: it checks the expected instance, runs a request and answers with its seal, over raw connections."""

    def __init__(self, case, name, service, zone, work=0.02):
        self.case, self.name, self.service, self.zone, self.work = case, name, service, zone, work
        self.writers = set()
        self.server = None
        self.state = "ready"
        self.version = "v1"
        self.slots = 64

    async def start(self):
        self.server = await asyncio.start_server(self._accepted, self.case.host, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    @property
    def address(self):
        return f"{self.case.host}:{self.port}"

    def register(self, **more):
        record = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                  "state": self.state, "coldRemainingMs": 0, "sequence": 1, "stage": "both", "models": [], **more}
        self.case.store.write("servers/" + self.name, record)

    async def _accepted(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self.serve(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request, writer):
        """Serves one request; returns whether the connection stays open."""
        line, headers, body = request
        attempt = headers.get("portpaddle-attempt-id", "")
        expected = headers.get("portpaddle-expected-instance")
        if expected not in (None, self.name):
            writer.write(answer(421, [("Portpaddle-Instance-Id", self.name)], b""))
            return True
        self.case.note("run", engine=self.name, service=self.service, attempt=attempt)
        self.case.runs.append((self.case.now(), self, attempt, headers))
        await self.run(line, headers, body)
        writer.write(answer(200, self.head(attempt), f"{self.service}:{attempt}".encode()))
        await writer.drain()
        return True

    def head(self, attempt):
        return [("Portpaddle-Attempt-Id", attempt), ("Portpaddle-Server-Seal", f"{self.name}.{attempt}"), ("Keep-Alive", "timeout=5")]

    async def run(self, line, headers, body):
        await asyncio.sleep(self.work)


def request_head(method, path, fields):
    return f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"


class KeptConnection:
    """A caller's connection that stays open for one request after the other."""

    def __init__(self, case, daemon):
        self.case, self.daemon = case, daemon
        self.answered = 0
        self.lost = None  # the attempt that was in progress when the daemon closed the connection without an answer

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.daemon.host, self.daemon.ports["entry"])

    async def ask(self, path, body=b"x", deadline=2_000, host="a.example"):
        """Sends one request; returns its attempt, the status (0: closed without a whole answer), headers and body."""
        attempt = self.case.next_attempt()
        fields = [("Host", host), ("Portpaddle-Attempt-Id", attempt), ("Portpaddle-Deadline-Remaining", str(deadline)),
                  ("Content-Length", str(len(body)))]
        self.case.note("sent", attempt=attempt, daemon=self.daemon.name, path=path)
        reply = None
        try:
            self.writer.write(request_head("POST", path, fields).encode() + body)
            reply = await asyncio.wait_for(read_message(self.reader), deadline / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.case.note("cut", attempt=attempt, error=type(error).__name__)
        if reply is None:
            self.lost = attempt
        else:
            self.answered += 1
        return (attempt, *self.case.outcome(attempt, reply))


class Case:
    """Runs a deployment; subclasses define its configuration, engines and play."""

    regions = ("khi", "lhe", "isb")  # the region of each daemon; each region has one zone, REGION-1
    configuration = {}

    def __init__(self, trouble, record):
        """@p trouble: whether the disruption takes place. @p record: the file for what was sent, answered and run."""
        self.trouble = trouble
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="portpaddle-review-")
        self.daemons = []
        self.began = time.monotonic()
        self.lines = []
        self.runs = []  # (time, engine, attempt, headers)
        self.attempts = 0
        self.engines = []
        self.host = own_host(0)

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **facts):
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self.lines.append(f"{self.now():8.3f} {what} {text}")

    def next_attempt(self):
        self.attempts += 1
        return f"{self.attempts:08x}"

    async def begin(self):
        self.store = Store()
        self.store_port = await self.store.start(self.host)
        self.store.write("op/config", self.configuration)
        await self.begin_engines()
        soak = SimpleNamespace(program=PROGRAM, directory=self.directory.name, daemons=[], bounds=BOUNDS, now=time.monotonic,
                               process_ended=lambda *_: None)
        self.daemons = soak.daemons
        ports = free_ports(self.host, 4 * len(self.regions))
        for number, region in enumerate(self.regions):
            own = dict(zip(("entry", "readiness", "directory", "link"), ports[4 * number:4 * number + 4]))
            daemon = Daemon(soak, f"front-{region}-{number}", region, region + "-1", self.host, own, self.store_port)
            daemon.store_proxy = Proxy((self.host, self.store_port))
            await daemon.store_proxy.start(self.host)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await self.eventually(lambda: self.is_ready(daemon), 20)
        await asyncio.sleep(6)  # daemons learn of each other; all are in touch for contactMs

    async def begin_engines(self):
        raise NotImplementedError

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.open_connection(daemon.host, daemon.ports["readiness"])
        except OSError:
            return False
        writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head[0]

    async def eventually(self, condition, seconds):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise RuntimeError("the deployment did not become ready")
            await asyncio.sleep(0.05)

    async def ask(self, daemon, path, method="POST", body=b"x", headers=(), deadline=2_000, host="a.example"):
        """Sends one request over a new connection; returns its attempt, the status (0: no whole answer), headers and body."""
        attempt = self.next_attempt()
        fields = [("Host", host), ("Portpaddle-Attempt-Id", attempt), ("Portpaddle-Deadline-Remaining", str(deadline)), *headers]
        if method != "GET":
            fields.append(("Content-Length", str(len(body))))
        head = request_head(method, path, fields)
        self.note("sent", attempt=attempt, daemon=daemon.name, path=path, head_bytes=len(head))
        reply = None
        try:
            reader, writer = await asyncio.open_connection(daemon.host, daemon.ports["entry"])
            writer.write(head.encode() + (body if method != "GET" else b""))
            reply = await asyncio.wait_for(read_message(reader), deadline / 1000 + 1)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.note("cut", attempt=attempt, error=type(error).__name__)
        return (attempt, *self.outcome(attempt, reply))

    def outcome(self, attempt, reply):
        """Records an answer, or None for one that is not whole; returns the status (0: not whole), headers and body."""
        if reply is None:
            self.note("no-answer", attempt=attempt)
            return 0, {}, b""
        status, headers, body = int(reply[0].split()[1]), reply[1], reply[2]
        self.note("answered", attempt=attempt, status=status, seal=headers.get("portpaddle-server-seal", ""),
                  body=body[:60].decode(errors="replace").strip())
        return status, headers, body

    async def play(self):
        """Plays the case and returns whether the rule was broken."""
        raise NotImplementedError

    async def end(self):
        for daemon in self.daemons:
            if daemon.running():
                daemon.resume()
                await daemon.kill()

    async def _main(self):
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        result = NOT_RUN
        try:
            await asyncio.wait_for(self.begin(), 40)
            broken = await asyncio.wait_for(self.play(), 65)
            result = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001: a case that could not run says so
            self.note("could-not-run", error=repr(error), where=traceback.format_exc().splitlines()[-2].strip())
        finally:
            await self.end()
        self._close(result)

    def _close(self, result):
        """Writes the record and ends this process; calls of the daemons that still wait at the store end with it."""
        self.note("result", code=result, trouble=int(self.trouble))
        with open(self.record, "w") as file:
            file.write("\n".join(self.lines) + "\n")
        print("\n".join(line for line in self.lines if line[8:].split()[0] in ("verdict", "result", "could-not-run")), flush=True)
        self.directory.cleanup()
        os._exit(result)

    def main(self):
        try:
            os.chdir(ROOT)
            asyncio.run(self._main())
        except BaseException:  # noqa: BLE001: only a broken rule exits with 1
            traceback.print_exc()
        os._exit(NOT_RUN)


def plain_route(name, prefix, kind, service, attempts=2, timeout=1_200, target=400, **more):
    return {"name": name, "host": "a.example", "pathPrefix": prefix, "kind": kind, "service": service, "attempts": attempts,
            "timeoutMs": timeout, "targetLatencyMs": target, "priority": 2, "homeRegions": [], "sticky": False, "resumable": False,
            **more}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "connectionLimit": 100, "protocol": "h1", "tls": False, "coldStartS": 0.0,
            "coldPerS": 0.0}


def configuration(version, routes, services):
    return json.loads(json.dumps({"version": version, "routes": routes, "services": services, "limits": LIMITS}))
