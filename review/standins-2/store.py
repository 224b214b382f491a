# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""The platform's store: revisions, leases, long polls and conditional writes, with the standard library alone."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import answer, read_message


class Store:
    def __init__(self):
        self.items = {}  # key: (value, revision, lease)
        self.history = []  # (revision, key, value or None)
        self.revision = 1
        self.leases = {}  # id: [time to live in seconds, end]
        self.next_lease = 1_000
        self.changed = asyncio.Event()

    # Writes of the operator and of engines; the return is the store's acknowledgement.
    def write(self, key, value, lease=0):
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.items[key] = (text, self.revision, lease)
        self._record(key, text)
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._record(key, None)

    def _record(self, key, value):
        self.history.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if now > end]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            self.remove(key)

    def _item(self, key):
        value, revision, lease = self.items[key]
        text = base64.b64encode(value.encode()).decode()
        return {"privateKey": key, "value": text, "revision": revision, "created": revision, "lease": lease}

    async def _handle(self, method, path, query, body):
        """Returns the status and the body of one call."""
        self._expire()
        if path == "/v1/kv-key":
            key = query["privateKey"]
            return (200, {**self._item(key), "storeRevision": self.revision}) if key in self.items else (404, {})
        if path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self._item(key) for key in keys[:500]]
            return 200, {"items": page, "morePages": len(keys) > 500, "storeRevision": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query.get("pathPrefix", ""), int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/v1/kv-txn":
            return self._transact(json.loads(body))
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttlMs": int(self.leases[lease][0] * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            self._expire()
            events = []
            for revision, key, value in self.history:
                if revision > after and key.startswith(prefix):
                    event = {"privateKey": key, "revision": revision}
                    if value is None:
                        event["deleted"] = True
                    else:
                        event["value"] = base64.b64encode(value.encode()).decode()
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                # The wait is split up, since leases may expire meanwhile.
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        for expected in call["expectedRevision"]:
            if self.items.get(expected["privateKey"], (None, 0, 0))[1] != expected["revision"]:
                return 412, {"items": []}
        for put in call["puts"]:
            if put["privateKey"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in call["puts"]:
            self.write(put["privateKey"], base64.b64decode(put["value"]).decode(), put.get("lease", 0))
        for key in call["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _accepted(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query, keep_blank_values=True).items()}
                status, body = await self._handle(method, parts.path, query, message[2])
                writer.write(answer(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def start(self, host):
        server = await asyncio.start_server(self._accepted, host, 0, backlog=512)
        return server.sockets[0].getsockname()[1]
