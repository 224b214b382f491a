#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Tests kills, freezes and outages with each component in its own process. Usage: process_failures.py DIRECTORY_OF_PROGRAMS

Time limits only turn a hang into a failure; no result depends on how long something took.
"""
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

PROGRAMS = sys.argv[1]
HANG_BOUND = 60
KEYS = {"cluster_key": "cluster-key-for-tests", "operator_key": "operator-key-for-tests"}
processes = {}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def start(name, program, *arguments, reads_address=False):
    process = subprocess.Popen([os.path.join(PROGRAMS, program), *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    processes[name] = process
    return process.stdout.readline().strip() if reads_address else ""


def standin(name, kind, *arguments):
    return start(name, "portpaddle-standin", "--kind", kind, "--listen", "127.0.0.1:0", *arguments, reads_address=True)


def call(address, method, path, body=None, headers=None, timeout=HANG_BOUND):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    connection.request(method, path, json.dumps(body) if body is not None else None, headers or {})
    response = connection.getresponse()
    return response.status, response.read()


def caller(address, method, path, body=None, headers=None):
    return call(address, method, path, body, {"Authorization": "Bearer shop-key", **(headers or {})})


def eventually(what, condition):
    end = time.monotonic() + HANG_BOUND
    while not condition():
        if time.monotonic() > end:
            sys.exit(f"never happened: {what}")
        time.sleep(0.05)


def check(what, condition):
    print(("ok    " if condition else "FAILED"), what, flush=True)
    if not condition:
        sys.exit(1)


def chat(prompt, tokens):
    return {"model": "m", "stream": True, "max_tokens": tokens, "messages": [{"role": "user", "content": prompt}]}


def text_of(events):
    text = ""
    for line in events.decode().split("\n"):
        if line.startswith("data: {"):
            text += json.loads(line[6:])["choices"][0]["delta"].get("content", "")
    return text


def start_daemon(directory, name, region, platform, seeds):
    addresses = {part: f"127.0.0.1:{free_port()}" for part in ("entry", "admin", "gossip", "link")}
    config = {"id": name, "region": region, "data_centre": region, "platform": platform, "seeds": seeds, **KEYS, **addresses}
    path = os.path.join(directory, name + ".json")
    with open(path, "w") as file:
        json.dump(config, file)
    start(name, "portpaddled", "--settings", path)
    return addresses


def entry_ids(address):
    status, body = caller(address, "GET", "/portpaddle/entries")
    return {entry["id"] for entry in json.loads(body)["entries"]} if status == 200 else set()


def main(directory):
    platform = standin("platform", "platform")
    upstreams = {"e1": standin("e1", "engine", "--token-ms", "5"), "e2": standin("e2", "engine", "--token-ms", "5")}
    desk = standin("desk", "plain")
    call(platform, "POST", "/control/client", {"key": "shop-key", "organisation": "shop"})
    settings = {"/": {"queue_limit_ms": 60000}, "/services/m": {}, "/organisations/shop": {},
                "/services/desk": {"kind": "plain", "path_prefix": "/desk/", "at_most_once": ["POST /desk/confirm"]}}
    for region in ("north", "south"):
        settings["/regions/" + region] = {}
        settings[f"/regions/{region}/data_centres/{region}"] = {}
    for name, address in upstreams.items():
        settings[f"/regions/north/data_centres/north/upstreams/{name}"] = {"address": address, "services": ["m"]}
    settings["/regions/north/data_centres/north/upstreams/desk"] = {"address": desk, "services": ["desk"]}
    change = {"version": 1, "change_id": "first", "author": "test", "patch": settings, "before": {}}
    call(platform, "POST", "/platform/put", {"key": "portpaddle/settings/log/000000000001", "value": json.dumps(change), "expected": 0})

    first = start_daemon(directory, "north-a", "north", platform, [])
    second = start_daemon(directory, "north-b", "north", platform, [first["gossip"]])
    third = start_daemon(directory, "south-a", "south", platform, [first["gossip"]])

    def ready():
        try:
            return len(entry_ids(first["entry"])) == 3 and len(entry_ids(second["entry"])) == 3 and len(entry_ids(third["entry"])) == 3
        except OSError:
            return False

    eventually("three daemons know each other", ready)
    eventually("chat is served", lambda: caller(first["entry"], "POST", "/v1/chat/completions", chat("x", 1))[0] == 200)

    # An engine is killed in the middle of a stream.
    expected = text_of(caller(first["entry"], "POST", "/v1/chat/completions", chat("long", 400))[1])
    result = {}
    reader = threading.Thread(target=lambda: result.update(body=caller(first["entry"], "POST", "/v1/chat/completions", chat("long", 400))[1]))
    reader.start()

    def busy():
        for name, address in upstreams.items():
            if json.loads(call(address, "GET", "/load")[1])["running"] > 0:
                return name
        return None

    eventually("the stream runs", lambda: busy() is not None or not reader.is_alive())
    victim = busy() or "e1"
    processes[victim].kill()
    reader.join()
    check("engine killed in the middle of a stream: the caller reads the whole text once", text_of(result["body"]) == expected)

    # The platform freezes.
    processes["platform"].send_signal(signal.SIGSTOP)
    status, body = caller(first["entry"], "POST", "/v1/chat/completions", chat("cut off", 3))
    check("platform frozen: chat is served", status == 200 and text_of(body) != "")
    status, body = caller(first["entry"], "POST", "/desk/confirm", {}, {"Idempotency-Key": "frozen"})
    check("platform frozen: keyed call is refused as not run", status == 503 and json.loads(body)["error"]["run"] == "not_run")
    processes["platform"].send_signal(signal.SIGCONT)

    def confirmed():
        status, body = caller(first["entry"], "POST", "/desk/confirm", {}, {"Idempotency-Key": "frozen"})
        return status == 200 or json.loads(body)["error"]["run"] == "may_have_run"

    eventually("the platform is used again", confirmed)

    # The entry daemon is killed after it sent an at-most-once call and before the answer.
    processes["desk"].send_signal(signal.SIGSTOP)

    def confirm_through_first():
        try:
            caller(first["entry"], "POST", "/desk/confirm", {}, {"Idempotency-Key": "killed"})
        except (OSError, http.client.HTTPException):
            pass

    sender = threading.Thread(target=confirm_through_first)
    sender.start()
    listed = lambda: json.loads(call(platform, "POST", "/platform/list", {"prefix": "portpaddle/claims/", "after": "", "limit": 100})[1])["values"]
    eventually("the claim is written", lambda: len(listed()) >= 2)
    processes["north-a"].kill()
    sender.join()
    processes["desk"].send_signal(signal.SIGCONT)
    status, body = caller(second["entry"], "POST", "/desk/confirm", {}, {"Idempotency-Key": "killed"})
    error = json.loads(body)["error"]
    check("daemon killed after its claim: a repeat through another VM is not run again",
          status == 409 and error["code"] == "duplicate_request" and error["run"] == "may_have_run")
    runs = json.loads(call(desk, "POST", "/desk/confirm", {}, {"Idempotency-Key": "killed"})[1])["runs"] - 1
    check("daemon killed after its claim: the call ran at most once", runs <= 1)
    eventually("the killed daemon leaves the entry list", lambda: "north-a" not in entry_ids(second["entry"]))
    check("daemon killed: others serve", caller(second["entry"], "POST", "/v1/chat/completions", chat("y", 2))[0] == 200)

    # A daemon is frozen and resumes.
    processes["south-a"].send_signal(signal.SIGSTOP)
    eventually("the frozen daemon's region is not offered", lambda: "south-a" not in entry_ids(second["entry"]))
    processes["south-a"].send_signal(signal.SIGCONT)
    eventually("it is offered again when it goes on", lambda: "south-a" in entry_ids(second["entry"]))
    check("daemon frozen and back: it is offered again", True)

    # A daemon is stopped as planned while a stream is in progress.
    result.clear()
    reader = threading.Thread(target=lambda: result.update(body=caller(second["entry"], "POST", "/v1/chat/completions", chat("long", 400))[1]))
    reader.start()
    eventually("the stream runs", lambda: any(json.loads(call(address, "GET", "/load")[1])["running"] > 0
                                              for name, address in upstreams.items() if name != victim) or not reader.is_alive())
    processes["north-b"].send_signal(signal.SIGTERM)
    reader.join()
    check("planned stop: the stream in progress is whole", text_of(result["body"]) == expected)
    check("planned stop: the process ends by itself", processes["north-b"].wait(HANG_BOUND) == 0)
    print("9 passed, 0 failed")


with tempfile.TemporaryDirectory() as scratch:
    try:
        main(scratch)
    finally:
        for process in processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
