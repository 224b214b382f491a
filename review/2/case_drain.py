# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""An engine leaves while one machine is partitioned from the store; then the store turns the other machine of the region away.

With NOTICE=1 the leaving engine also says in its answers that it leaves, and the clients rest until all is calm again: a variant for
the deployments whose engines do so.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from case import BOUNDS, BROKEN, HELD, LIMITS, Case, CannotRun, disturbed, main  # noqa: E402
from engine import Engine  # noqa: E402
from http1 import Connection  # noqa: E402
from store import Store  # noqa: E402

CONTACT = BOUNDS["contactMs"] / 1000
DRAIN = BOUNDS["drainMs"] / 1000
CUT = 3.0  # seconds for which a machine is partitioned from the store
TURNED_AWAY = 1.5  # seconds for which the store turns a machine away
SERVES_ON = DRAIN + 12.0  # seconds for which the leaving engine serves after its entry went
WORK = 0.15  # seconds that an engine takes for a request
INTERVAL = 0.02
NOTICE = os.environ.get("NOTICE") == "1"
DEADLINE_MS = 2_000


class Drain(Case):
    regions = ("north", "north", "south", "south", "west", "west")

    async def prepare(self):
        self.store = Store()
        await self.store.start("127.0.0.1")
        self.servers.append(self.store)
        self.engines = []
        for region in ("north", "south", "west"):
            for number in range(2):
                engine = Engine(self.store, self.record, f"e-{region}-{number}", "app", region + "-1")
                await engine.begin("127.0.0.1")
                engine.work = WORK
                self.engines.append(engine)
                self.servers.append(engine)
        common = {"host": "a.example", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": "app", "sticky": False,
                  "homeRegions": []}
        routes = [{"name": "look", "pathPrefix": "/look/", "kind": "idempotent", "attempts": 2, **common},
                  {"name": "pay", "pathPrefix": "/pay/", "kind": "non_idempotent", "attempts": 1, **common}]
        service = {"name": "app", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": False, "coldStartS": 0,
                   "coldPerS": 0}
        self.store.write("op/config", {"version": 1, "routes": routes, "services": [service], "limits": LIMITS})

    async def before_start(self):
        for machine in self.machines:
            machine.store_address = await self.store.listen(machine.host)

    async def send(self, machine, method, prefix):
        """Sends requests to one machine until cancelled."""
        connection = None
        while True:
            await self.may_send.wait()
            attempt = self.next_attempt()
            headers = {"Host": "a.example", "Portpaddle-Attempt-Id": attempt, "Portpaddle-Deadline-Remaining": str(DEADLINE_MS)}
            try:
                connection = connection or await Connection(machine.host, self.ports["frontend"]).open()
                answer = await asyncio.wait_for(connection.ask(method, prefix + attempt, headers), DEADLINE_MS / 1000 + 1)
                self.tally[answer.status] = self.tally.get(answer.status, 0) + 1
                self.record(f"client gets {answer.status} to {attempt} from {machine.name}")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.record(f"client gets no answer to {attempt} from {machine.name}: {type(error).__name__}")
                connection = None
            await asyncio.sleep(INTERVAL)

    async def play(self):
        await self.prepare()
        await self.begin_machines()
        await asyncio.sleep(CONTACT + 1)  # the machines are in touch
        self.tally = {}
        self.may_send = asyncio.Event()
        self.may_send.set()
        first, second = self.machines[0], self.machines[1]
        kinds = [("GET", "/look/"), ("POST", "/pay/")] * 5
        senders = [asyncio.create_task(self.send(first, *kind)) for kind in kinds]
        await asyncio.sleep(1)
        leaving = max(self.engines[:2], key=lambda engine: len(engine.runs))
        if not leaving.runs:
            raise CannotRun("the engines of the machine's region get no requests")
        if NOTICE:
            self.record("the clients rest")
            self.may_send.clear()
            leaving.notice = {"Server-Leaving": "1"}
        if disturbed():
            self.record(f"{second.name} is partitioned from the store")
            self.store.cut.add(second.host)
            asyncio.get_running_loop().call_later(CUT, self.heal, second)
        await asyncio.sleep(0.5)
        self.record(f"the entry of {leaving.name} goes; it never said draining, and serves on for {SERVES_ON:.0f} s")
        leaving.unregister()
        revision, began = self.store.revision, time.monotonic()
        while self.store.told.get(first.host, 0) < revision:
            if time.monotonic() - began > DRAIN:
                raise CannotRun("the machine did not take the change in time")
            await asyncio.sleep(0.01)
        acknowledged = time.monotonic()
        self.record(f"{first.name} has taken the change and asks for those after it")
        if disturbed():
            self.record(f"the store turns {first.name} away with 503")
            self.store.turn_away(first.host)
            asyncio.get_running_loop().call_later(TURNED_AWAY, self.serve_again, first)
        # From here on every machine is in touch again by every condition. Even if the acknowledgement counted only from here, the
        # bound has passed after another DRAIN.
        in_touch = acknowledged + max(CUT, TURNED_AWAY) + CONTACT
        await asyncio.sleep(max(0.0, acknowledged + DRAIN - time.monotonic()))
        at_drain = len(leaving.runs)
        self.record(f"{DRAIN:.0f} s have passed since {first.name} took the change")
        await asyncio.sleep(max(0.0, in_touch - time.monotonic()))
        at_touch = len(leaving.runs)
        self.record(f"no machine has had any disturbance for {CONTACT:.0f} s")
        await asyncio.sleep(max(0.0, in_touch + DRAIN + 0.5 - time.monotonic()))
        at_last = len(leaving.runs)
        self.record(f"another {DRAIN + 0.5:.1f} s have passed")
        self.may_send.set()
        await asyncio.sleep(max(0.0, began + SERVES_ON - time.monotonic()))
        late, late_in_touch, latest = (len(leaving.runs) - before for before in (at_drain, at_touch, at_last))
        self.record(f"{leaving.name} ends")
        leaving.crash()
        await asyncio.sleep(1)
        for sender in senders:
            sender.cancel()
        line = (f"requests sent to {first.name} that reached {leaving.name} later than {DRAIN:.0f} s after: {late}, of them "
                f"{late_in_touch} while all machines were in touch, {latest} of these {DRAIN + 0.5:.1f} s later still; "
                f"answers {self.tally}")
        self.record(line)
        print(line)
        return BROKEN if latest else HELD

    def heal(self, machine):
        self.record(f"{machine.name} reaches the store again")
        self.store.cut.discard(machine.host)

    def serve_again(self, machine):
        self.record(f"the store serves {machine.name} again")
        self.store.serve_again(machine.host)


if __name__ == "__main__":
    main(Drain)
