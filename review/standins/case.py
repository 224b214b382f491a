# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Starts the project's daemons as the deploy file says, on loopback addresses, for one case; ends all that it started."""
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RUN = ["target/src/portpaddled", "--platform"]  # as in deploy/system.toml
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Figures of the small installations (SYSTEM.md, "Bounds").
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "acknowledgeMs": 6000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
          "lostMs": 200, "configurationMs": 3000, "downgradeSlackMs": 250, "outerMs": 8000, "budgetRatio": 0.2, "budgetWindowS": 10,
          "budgetExtraAttempts": 56, "coldOvershoot": 1.5, "coldSlack": 3, "evacuationMs": 5000, "recoveryS": 12, "passMs": 600,
          "retryAfterS": 10, "ttl_max_s": 5}
LIMITS = {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def disturbed():
    return os.environ.get("TROUBLE", "1") != "0"


def machine_host(number):
    """Returns a loopback address for one machine; the process id keeps two cases on one machine apart."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{2 + number}"


def free_ports(hosts, count):
    """Returns ports that are free at all of these addresses: ports are alike on all machines of a day."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        below = int(file.read().split()[0])
    chosen = []
    for port in range(below - 1, below - 2000, -1):
        probes = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    probes.append(probe)
                    probe.bind((host, port))
            chosen.append(port)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
        if len(chosen) == count:
            break
    return chosen


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


class Machine:
    """One machine with one daemon."""

    def __init__(self, case, name, region, host):
        self.case, self.name, self.region, self.zone, self.host = case, name, region, region + "-1", host
        self.process = None
        self.store_address = None  # where this machine reaches the store, if not at the address that all share

    def write_settings(self):
        ports = self.case.ports
        zones = {machine.zone: machine.region for machine in self.case.machines}
        settings = {
            "nodeName": self.name, "role": "gateway", "machineClass": "front", "serves": ["front", "control", "directory"],
            "ipAddress": self.host, "zone": self.zone, "region": self.region, "internalPorts": [ports["link"], ports["link"]],
            "seeds": [f"{machine.host}:{ports['control']}" for machine in self.case.machines[:3]], "firstStart": True,
            "countsTowardTolerance": True, "discovery": "platform", "entry": "directory", "heartbeatIntervalMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"],
            "zones": zones,
            "listenAddresses": {"frontend": f"{self.host}:{ports['frontend']}", "readiness": f"{self.host}:{ports['readiness']}",
                                "control": f"{self.host}:{ports['control']}", "directory": f"{self.host}:{ports['directory']}"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 1}, "bounds": BOUNDS,
            "platform": {"address": self.store_address or f"{self.case.store.host}:{self.case.store.port}", "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        path = os.path.join(self.case.directory, self.name + ".settings")
        with open(path, "w") as file:
            # The form of deploy/settings.template; no port for figures, which are not needed here.
            json.dump({"settings": settings, "metrics_port": 0, "policy": {}}, file)
        return path

    async def begin(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PORTPADDLE_NODE_FILE"] = self.write_settings()
        with open(os.path.join(self.case.directory, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*RUN, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.running():
            try:
                self.process.send_signal(signal.SIGKILL)
            except ProcessLookupError:
                pass
        if self.process is not None:
            await self.process.wait()


class Case:
    """One run of a case: subclasses define the machines, the configuration and what is checked."""

    regions = ()  # the region of each machine

    def __init__(self, record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="portpaddle-review-")
        self.directory = self.temporary.name
        self.attempts = 0
        self.machines = []
        self.servers = []

    def next_attempt(self):
        self.attempts += 1
        return f"{os.getpid():08x}{self.attempts:08x}"

    async def readiness(self, machine):
        from http1 import Connection
        try:
            connection = await Connection(machine.host, self.ports["readiness"]).open()
            answer = await asyncio.wait_for(connection.ask("GET", "/v1/readiness", {"Host": "readiness"}), 1)
            connection.close()
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def eventually(self, condition, bound, what):
        end = time.monotonic() + bound
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    async def before_start(self):
        """Called when the machines are known and none is started."""

    async def begin_machines(self):
        hosts = [machine_host(number) for number in range(len(self.regions))]
        names = ("frontend", "readiness", "control", "directory", "link")
        ports = free_ports(hosts, len(names))
        if len(ports) < len(names):
            raise CannotRun("no free ports")
        self.ports = dict(zip(names, ports))
        for number, region in enumerate(self.regions):
            self.machines.append(Machine(self, f"front-{region}-{number}", region, hosts[number]))
        await self.before_start()
        await asyncio.gather(*(machine.begin() for machine in self.machines))
        for machine in self.machines:
            await self.eventually(lambda: self.readiness(machine), 15, f"{machine.name} does not become ready")
            self.record(f"machine {machine.name} is ready")

    async def play(self):
        raise NotImplementedError

    async def run(self):
        try:
            return await asyncio.wait_for(self.play(), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            self.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            for machine in self.machines:
                await machine.end()
            for server in self.servers:
                await server.stop()
            self.temporary.cleanup()


class CannotRun(Exception):
    pass


def main(case_type):
    """Runs the case, with its record in the file that the first argument names, and exits with its result."""
    record = Record(sys.argv[1])
    if not os.path.exists(os.path.join(ROOT, RUN[0])):
        record("the case could not run: the daemon is not built")
        print("the daemon is not built")
        sys.exit(NOT_RUN)
    loop = asyncio.new_event_loop()
    try:
        result = loop.run_until_complete(case_type(record).run())
    except Exception:  # a fault of the script itself says nothing about the rule
        traceback.print_exc()
        result = NOT_RUN
    sys.stdout.flush()
    os._exit(result)
