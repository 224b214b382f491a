# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A stand-in for the platform's metadata store: items with revisions, leases, waiting watches and conditional writes."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import Server, encode_answer

PAGE = 500


class Store(Server):
    def __init__(self):
        super().__init__()
        self.more = []
        self.items = {}  # key: (value, revision, lease)
        self.history = []  # (revision, key, value or None)
        self.revision = 1
        self.leases = {}  # id: [time to live in seconds, end]
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.refused = set()  # local addresses, one for each machine, at which the store turns callers away with 503
        self.cut = set()  # local addresses whose machine is partitioned from the store: nothing gets through either way
        self.told = {}  # by local address: the newest revision after which its machine has asked for changes
        self.turned_away = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.items[key] = (text, self.revision, lease)
        self._record(key, text)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._record(key, None)

    def _record(self, key, text):
        self.history.append((self.revision, key, text))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if now > end]:
            self._end(lease)

    def _end(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            self.remove(key)

    def _item(self, key):
        text, revision, lease = self.items[key]
        value = base64.b64encode(text.encode()).decode()
        return {"privateKey": key, "value": value, "revision": revision, "created": revision, "lease": lease}

    async def listen(self, host):
        """Listens at one more address, of one machine; returns HOST:PORT."""
        server = await asyncio.start_server(self._serve, host, 0, limit=1 << 20, backlog=256)
        self.more.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def turn_away(self, host):
        """From now on callers at this address get 503; their waiting watches are cut."""
        self.refused.add(host)
        self.turned_away.set()
        self.turned_away = asyncio.Event()

    def serve_again(self, host):
        self.refused.discard(host)

    async def handle(self, message, writer):
        host = writer.get_extra_info("sockname")[0]
        while host in self.cut:
            await asyncio.sleep(0.05)
        if host in self.refused:
            writer.write(encode_answer(503, {}, b""))
            return True
        url = urlsplit(message.target)
        if url.path == "/v1/kv-watch":
            self.told[host] = max(self.told.get(host, 0), int(parse_qs(url.query)["after"][0]))
        answering = asyncio.ensure_future(self._answer(message))
        turned_away = asyncio.ensure_future(self.turned_away.wait())
        while True:
            await asyncio.wait({answering, turned_away}, return_when=asyncio.FIRST_COMPLETED)
            if answering.done() or host in self.refused:
                break
            turned_away = asyncio.ensure_future(self.turned_away.wait())
        turned_away.cancel()
        if not answering.done():
            answering.cancel()
            return False
        while host in self.cut:
            await asyncio.sleep(0.05)
        status, answer = answering.result()
        writer.write(encode_answer(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
        return True

    async def stop(self):
        for server in self.more:
            server.close()
        await super().stop()

    async def _answer(self, message):
        self._expire()
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        body = json.loads(message.body) if message.body else {}
        if url.path == "/v1/kv-key":
            key = query["privateKey"]
            return (200, {**self._item(key), "storeRevision": self.revision}) if key in self.items else (404, {})
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query.get("pathPrefix", "")) and key > after)
            page = [self._item(key) for key in keys[:PAGE]]
            return 200, {"items": page, "morePages": len(keys) > PAGE, "storeRevision": self.revision}
        if url.path == "/v1/kv-watch":
            return await self._watch(query.get("pathPrefix", ""), int(query["after"]), int(query["waitMs"]) / 1000)
        if url.path == "/v1/kv-txn":
            return self._transact(body)
        if url.path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [body["ttlMs"] / 1000, time.monotonic() + body["ttlMs"] / 1000]
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/v1/kv-keep/"):
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttlMs": int(self.leases[lease][0] * 1000)}
        self._end(lease)
        return 200, {}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            self._expire()
            events = []
            for revision, key, text in self.history:
                if revision > after and key.startswith(prefix):
                    event = {"privateKey": key, "revision": revision}
                    event.update({"deleted": True} if text is None else {"value": base64.b64encode(text.encode()).decode()})
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))  # leases may end meanwhile
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for row in body["expectedRevision"]:
            if self.items.get(row["privateKey"], (None, 0, 0))[1] != row["revision"]:
                known = [self._item(row["privateKey"]) for row in body["expectedRevision"] if row["privateKey"] in self.items]
                return 412, {"items": known}
        for put in body["puts"]:
            if put["privateKey"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            self.write(put["privateKey"], base64.b64decode(put["value"]).decode(), put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}
