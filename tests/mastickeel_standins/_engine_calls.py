"""Raw HTTP calls for tests that read a response chunk by chunk or expect dropped connections."""

from __future__ import annotations

import asyncio
import json


async def send(port, method, path, body=None, headers=None):
    """Sends a request and returns the connection's reader and writer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: localhost", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write("\r\n".join([*lines, "", ""]).encode() + data)
    await writer.drain()
    return reader, writer


async def read_head(reader):
    """Reads the head of a response; returns the status and the head in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    return int(head.split()[1]), head.lower()


async def read_chunk(reader):
    """Reads one chunk of a chunked body; the last chunk is empty."""
    size = int(await reader.readline(), 16)
    data = await reader.readexactly(size + 2)
    return data[:-2].decode()


async def read_events(reader, count=None):
    """Reads server-sent events up to the end or a count; returns (id, data) pairs."""
    events = []
    while count is None or len(events) < count:
        event = await read_chunk(reader)
        if not event:
            break
        number, data = event.strip().split("\n")
        events.append((int(number.removeprefix("id: ")), data.removeprefix("data: ")))
    return events


async def call(port, method, path, body=None, headers=None):
    """Makes a call; returns the status and the body, decoded if it is JSON."""
    reader, writer = await send(port, method, path, body, headers)
    try:
        status, head = await read_head(reader)
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        text = (await reader.readexactly(length)).decode()
    finally:
        writer.close()
    return status, json.loads(text) if "application/json" in head else text


def join_content(events):
    """Returns the answer text in the events of a chat stream."""
    pieces = [json.loads(data) for _, data in events if data != "[DONE]"]
    return "".join(
        choice["delta"].get("content", "") for piece in pieces for choice in piece["choices"]
    )


async def wait_until(condition):
    """Waits in real time until a condition holds."""
    while not condition():
        await asyncio.sleep(0.001)
