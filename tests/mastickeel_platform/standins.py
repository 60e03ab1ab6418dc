"""Test doubles of the platform: a store in memory, a raw HTTP server, and an HTTP client."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

WATCH_POLL_S = 0.02
WATCH_POLLS = 5


@dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader = field(repr=False)

    async def wait_until_closed(self) -> None:
        """Waits until the peer closes the connection."""
        with contextlib.suppress(ConnectionError):
            await self.reader.read(1)

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")


Responder = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """Server that reads HTTP requests; a responder writes the answer as raw bytes."""

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.requests: list[Request] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def close_listener(self) -> None:
        """Refuses new connections, as after the end of the process."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Resets all connections and refuses new ones, as at the crash of the process."""
        self.close_listener()
        for writer in self._writers:
            if not writer.is_closing():
                reset_connection(writer)

    async def stop(self) -> None:
        self.close_listener()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                self.requests.append(request)
                await self.respond(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body, reader)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer_bytes(
    request: Request,
    body: bytes = b"done",
    *,
    status: str = "200 OK",
    extra: str = "",
    request_id: str | None = None,
    length: int | None = None,
    signature: bool = True,
) -> bytes:
    """Returns the bytes of a plain answer."""
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {request_id or request.id}"]
    if signature:
        lines.append("Server-Seal: 3e1b.07")
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head_bytes(request: Request, extra: str = "") -> bytes:
    """Returns the head of a stream of events."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Attempt-Id: {request.id}",
        "Server-Seal: 3e1b.07",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk_bytes(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event_bytes(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


@dataclass(frozen=True)
class StoreCopy:
    """State of the store at an earlier time."""

    revision: int
    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    leases: dict[int, int]


@dataclass
class FakeStore:
    """The platform's metadata store in memory."""

    revision: int = 10
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    """Watches from an earlier revision get status 410."""
    refusal_status: int = 0
    """Status of the reply to every call; 0 to execute calls."""
    silent: bool = False
    """Whether calls are left unanswered."""
    watches_silent: bool = False
    """Whether watches alone are left unanswered, also those that wait."""
    page_size: int = 500
    leases: dict[int, int] = field(default_factory=dict)
    era: int = 1
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = RawServer(self._respond)

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a key, as the operator or an endpoint does; returns the new revision."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def read(self, key: str) -> Any:
        """Returns the decoded JSON of a key; None when the key does not exist."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def compact(self) -> None:
        """Discards the history up to the present revision."""
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Returns a copy of the store as it is now."""
        return StoreCopy(self.revision, dict(self.items), list(self.history), dict(self.leases))

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from an older copy; revisions and lease ids are given out again."""
        self.revision, self.items = copy.revision, dict(copy.items)
        self.history, self.leases = list(copy.history), dict(copy.leases)
        self.era += 1

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.calls.append(f"{request.method} {urlsplit(request.target).path}")
        if self.silent:
            await asyncio.Event().wait()
        answer = await self.answer(request, self.refusal_status)
        if self.watches_silent and "/kv-watch" in request.target:
            await asyncio.Event().wait()
        writer.write(answer)

    async def answer(self, request: Request, refusal_status: int = 0) -> bytes:
        """Executes a call, unless it is refused; returns the bytes of the answer."""
        status, body = refusal_status, {"error": "refused"}
        if not refusal_status:
            status, body = await self.execute(request)
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Store-Era: {self.era}\r\n"
        return head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data

    async def execute(self, request: Request, *, waits: bool = True) -> tuple[int, dict[str, Any]]:
        """Executes a call; returns status and body. A watch without `waits` is answered at once."""
        url = urlsplit(request.target)
        query = {
            name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        body = json.loads(request.body) if request.body else {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"store_revision": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            return 200, self._range(query)
        if url.path == "/kv-watch":
            return await self._watch(query, WATCH_POLLS if waits else 0)
        if url.path == "/kv-txn":
            return self._txn(body)
        if url.path == "/kv-lease":
            lease = len(self.leases) + 1
            self.leases[lease] = body["ttl_ms"]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
        return 200, {"ttl_ms": 1000}

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after_revision", "")
        keys = sorted(k for k in self.items if k.startswith(query["path_prefix"]) and k > after)
        page = [self.items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        return {"items": page, "more_pages": more, "store_revision": self.revision}

    async def _watch(self, query: dict[str, str], polls: int) -> tuple[int, dict[str, Any]]:
        after = int(query["after_revision"])
        for pause_s in (*[WATCH_POLL_S] * polls, 0):
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["path_prefix"])
            ]
            if events:
                break
            if pause_s:
                await asyncio.sleep(pause_s)
        return 200, {"events": events, "store_revision": self.revision}

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body["expected_revision"]
        if any(
            self.items.get(condition["key"], {}).get("revision", 0) != condition["revision"]
            for condition in conditions
        ):
            found = [
                self.items[condition["key"]]
                for condition in conditions
                if condition["key"] in self.items
            ]
            return 412, {"items": found}
        if any(put["lease"] and put["lease"] not in self.leases for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}


@dataclass
class StoreAccess:
    """Access of one instance to the store, with faults of its own."""

    store: FakeStore
    silent: bool = False
    """Whether calls are left unanswered, also those that wait."""
    watches_silent: bool = False
    """Whether watches alone are left unanswered."""
    refusal_status: int = 0
    """Status of the reply to every call; 0 to execute calls."""
    writes_allowed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set unless writes are executed late and not answered."""

    def __post_init__(self) -> None:
        self.server = RawServer(self._respond)
        self.writes_allowed.set()

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        path = urlsplit(request.target).path
        await self._hang_if_silent(path)
        is_late = path == "/kv-txn" and not self.writes_allowed.is_set()
        if is_late:
            await self.writes_allowed.wait()
        answer = await self.store.answer(request, self.refusal_status or self.store.refusal_status)
        if is_late:
            await asyncio.Event().wait()
        await self._hang_if_silent(path)
        writer.write(answer)

    @property
    def fails(self) -> bool:
        """Whether this instance is served worse than the others."""
        return bool(self.silent or self.watches_silent or self.refusal_status)

    async def _hang_if_silent(self, path: str) -> None:
        if self.silent or (self.watches_silent and path == "/kv-watch"):
            await asyncio.Event().wait()


def entry(port: int, **changes: Any) -> dict[str, Any]:
    """Returns an endpoint's entry."""
    fields = {
        "service": "register",
        "address": f"127.0.0.1:{port}",
        "zone": "dc-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    return fields | changes


def route(name: str, kind: str, service: str = "register", **changes: Any) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    fields = {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 5_000,
        "slo_ms": 1_000,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        "public": False,
        "resumable": kind == "streaming",
    }
    return fields | changes


def configuration(version: int, *routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Returns an operator's configuration."""
    fields = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "register", "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 20_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "gmina", "api_keys": ["key-1"], "priority": 0}],
    }
    return fields | changes


@dataclass
class Reply:
    """Reply to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    """Whether the reply was received to its end."""


async def call(port: int, data: bytes, *, half_close: bool = False) -> Reply:
    """Sends raw bytes on a new connection and reads one reply."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        await writer.drain()
        if half_close:
            writer.write_eof()
        return await read_reply(reader)
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Reads one reply; status 0 when the connection was closed without a reply."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(0, {}, b"", False)
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines}
    status = int(first.split(" ")[1])
    try:
        if headers.get("transfer-encoding") == "chunked":
            return Reply(status, headers, await _read_chunks(reader), True)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Reply(status, headers, body, True)
    except _TruncatedBodyError as error:
        return Reply(status, headers, error.body, False)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, headers, b"", False)


class _TruncatedBodyError(Exception):
    """Raised for a truncated body; carries the part that was received."""

    def __init__(self, body: bytes) -> None:
        self.body = body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise _TruncatedBodyError(body) from error


def request_bytes(
    path: str, request_id: str = "a1", *, method: str = "POST", body: bytes = b"", headers: str = ""
) -> bytes:
    """Returns the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"Attempt-Id: {request_id}",
        "Deadline-Ms: 4000",
        "Authorization: Bearer key-1",
        f"Content-Length: {len(body)}",
    ]
    if headers:
        lines.append(headers)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
