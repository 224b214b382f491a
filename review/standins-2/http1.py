# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 messages over asyncio streams."""
import asyncio


def answer(status, headers, body):
    """Returns an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_head(reader):
    """Returns the first line and the headers by name in lower case; None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body up to its last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            body += chunk
    return line, headers, body
