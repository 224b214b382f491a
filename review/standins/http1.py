# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""A minimal HTTP/1.1 server and client on asyncio streams, without any package beyond Python's own library."""
import asyncio
import socket
import struct

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, start, headers, body=b"", complete=True):
        self.start, self.headers, self.body, self.complete = start, headers, body, complete

    @property
    def status(self):
        return int(self.start.split()[1])

    @property
    def method(self):
        return self.start.split()[0]

    @property
    def target(self):
        return self.start.split()[1]


async def read_head(reader):
    """Returns the start line and the headers; raises IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader):
    start, headers = await read_head(reader)
    return Message(start, headers, await read_body(reader, headers))


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer):
    """Ends a connection with a reset; without this option its end would look like the end of an answer without a length."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Accepts connections and passes each request to handle(message, writer), which writes the whole answer.

    The handler returns False to have the connection closed.
    """

    def __init__(self):
        self.writers = set()
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20, backlog=256)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return self.port

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                keep = await self.handle(message, writer)
                await writer.drain()
                if keep is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        raise NotImplementedError

    def crash(self):
        """Ends as a process that is killed: the port refuses connections, and the open ones are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Connection:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
        return self

    async def ask(self, method, target, headers, body=b""):
        """Returns the answer; its field complete is false if the connection ended within it."""
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        try:
            # An answer may come before the whole body is sent.
            await asyncio.wait_for(self.writer.drain(), 5)
        except (ConnectionError, asyncio.TimeoutError):
            pass
        start, answer_headers = await read_head(self.reader)
        try:
            return Message(start, answer_headers, await read_body(self.reader, answer_headers))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Message(start, answer_headers, b"", complete=False)

    def close(self):
        if self.writer is not None:
            self.writer.close()
