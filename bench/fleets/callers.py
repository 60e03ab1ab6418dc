"""Callers whose every send is recorded, with what came back."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec

from bench.fleets.client import CHAT_PATH, HOST
from bench.fleets.recorder import Call, CallKind, End
from mastickeel.addresses import Address
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    HttpHead,
    HttpRequest,
    Timeouts,
)
from mastickeel_standins.engine import ChatBody, generate_pieces

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.httpclient import HttpClient

PATIENCE_MS = 120_000
"""No caller waits longer than this for the next sign of life."""
WAITS = Timeouts(first_byte_ms=PATIENCE_MS, between_bytes_ms=PATIENCE_MS)
VERSION_HEADER = "X-Mastickeel-Version"
REQUEST_ID_HEADER = "X-Request-Id"
SESSION_HEADER = "X-Session-Id"
KEY_HEADER = "Idempotency-Key"
END_MARK = "[DONE]"


@dataclass(frozen=True)
class Instance:
    """One router as callers reach it."""

    id: str
    port: int


@dataclass(frozen=True)
class Account:
    """A client account as its callers know it."""

    id: str
    key: str


@dataclass(frozen=True)
class ChatSend:
    """A chat request before it is sent."""

    operation: str
    account: Account
    stream: bool = True
    session: str = ""
    model: str = "auto"
    text: str = "draft an order"
    kind: str = ""


@dataclass(frozen=True)
class ServiceSend:
    """A call of a plain service before it is sent."""

    operation: str
    account: Account
    service_id: str
    method: str = "POST"
    path: str = "/orders"
    idempotency_key: str = ""
    repeatable: bool = False


@dataclass
class Reply:
    """What arrived of an answer, and how it ended."""

    head: HttpHead | None = None
    body: bytearray | None = None
    end: End = End.ANSWERED


class Callers:
    """Sends requests, each over a connection of its own."""

    def __init__(self, http: HttpClient, tokens: Callable[[str, int], int]) -> None:
        """Makes the callers.

        Args:
            http: Opens the connections.
            tokens: How many pieces the engines' whole answers have, by version and the
                prompt's length.
        """
        self._http = http
        self._tokens = tokens

    async def chat(self, send: ChatSend, instance: Instance) -> Call:
        """Sends a chat request and records what came back."""
        content = f"{send.operation} {send.text}"
        messages = [{"role": "user", "content": content}]
        body = {"model": send.model, "stream": send.stream, "messages": messages}
        headers = {SESSION_HEADER: send.session} if send.session else {}
        if send.kind:
            headers["X-Request-Kind"] = send.kind
        request = _request("POST", CHAT_PATH, send.account, headers, msgspec.json.encode(body))
        began_ms = self._http.clock.now()
        reply = await self._exchange(request, instance)
        call = Call(
            operation=send.operation,
            kind=CallKind.CHAT,
            account_id=send.account.id,
            instance_id=instance.id,
            began_ms=began_ms,
            ended_ms=self._http.clock.now(),
            end=reply.end,
            session=send.session,
        )
        call = _with_head(call, reply)
        if call.end in (End.ANSWERED, End.CUT) and call.version_id:
            prompt = msgspec.convert({**body, "model": call.version_id}, ChatBody).prompt()
            count = self._tokens(call.version_id, len(prompt))
            expected = "".join(generate_pieces(call.version_id, prompt, count))
            call = replace(call, expected=expected)
            call = _with_stream(call, reply) if send.stream else _with_whole(call, reply)
        return call

    async def service(self, send: ServiceSend, instance: Instance) -> Call:
        """Calls a plain service and records what came back."""
        headers = {KEY_HEADER: send.idempotency_key} if send.idempotency_key else {}
        path = f"/services/{send.service_id}{send.path}"
        body = f"{send.operation} {send.method} {send.path}".encode()
        began_ms = self._http.clock.now()
        reply = await self._exchange(
            _request(send.method, path, send.account, headers, body), instance
        )
        call = Call(
            operation=send.operation,
            kind=CallKind.SERVICE,
            account_id=send.account.id,
            instance_id=instance.id,
            began_ms=began_ms,
            ended_ms=self._http.clock.now(),
            end=reply.end,
            idempotency_key=send.idempotency_key,
            repeatable=send.repeatable,
            expected=body.decode(),
        )
        call = _with_head(call, reply)
        if call.end is End.ANSWERED:
            text = str(_decode(bytes(reply.body or b"")).get("echo", ""))
            call = replace(call, text=text)
        return call

    async def _exchange(self, request: HttpRequest, instance: Instance) -> Reply:
        reply = Reply(body=bytearray())
        assert reply.body is not None
        try:
            connection = await self._http.connect(Address(HOST, instance.port), fresh=True)
        except ConnectionFailedError:
            reply.end = End.UNREACHABLE
            return reply

        def on_head(head: HttpHead) -> None:
            reply.head = head

        try:
            await connection.exchange(
                request, on_head=on_head, on_data=reply.body.extend, timeouts=WAITS
            )
        except ExchangeTimeoutError:
            reply.end = End.GAVE_UP
        except ExchangeBrokenError:
            reply.end = End.CUT
        finally:
            connection.close()
        return reply


def _request(
    method: str, path: str, account: Account, headers: dict[str, str], body: bytes
) -> HttpRequest:
    return HttpRequest(method, path, {"Authorization": f"Bearer {account.key}", **headers}, body)


def _with_head(call: Call, reply: Reply) -> Call:
    """Adds what status and headers tell, and what a refusal says."""
    if reply.head is None:
        return call
    headers = reply.head.headers
    call = replace(
        call,
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        version_id=headers.get(VERSION_HEADER, ""),
    )
    if reply.end is not End.ANSWERED or reply.head.status < 400:
        return call
    problem = _decode(bytes(reply.body or b""))
    return replace(
        call, end=End.REFUSED, ran=str(problem.get("ran", "")), code=str(problem.get("code", ""))
    )


def _with_whole(call: Call, reply: Reply) -> Call:
    """Adds the text of an answer that was sent whole."""
    choices = _decode(bytes(reply.body or b"")).get("choices") or [{}]
    text = choices[0].get("message", {}).get("content", "")
    ended = choices[0].get("finish_reason") == "stop"
    return replace(call, text=text, end=call.end if ended else End.CUT)


def _with_stream(call: Call, reply: Reply) -> Call:
    """Adds the text of a streamed answer, and how the stream ended."""
    lines = bytes(reply.body or b"").decode(errors="replace").split("\n")
    events = [line[5:].strip() for line in lines if line.startswith("data:")]
    parts: list[str] = []
    for event in events:
        decoded = _decode(event.encode())
        if "ran" in decoded:
            ran, code = str(decoded["ran"]), str(decoded.get("code", ""))
            return replace(call, text="".join(parts), end=End.FAILED, ran=ran, code=code)
        for choice in decoded.get("choices") or ():
            parts.append(choice.get("delta", {}).get("content") or "")
    ended = bool(events) and events[-1] == END_MARK and call.end is End.ANSWERED
    return replace(call, text="".join(parts), end=End.ANSWERED if ended else End.CUT)


def _decode(data: bytes) -> dict[str, Any]:
    """Returns a JSON object, or an empty one for anything else."""
    try:
        decoded = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return {}
    return decoded if isinstance(decoded, dict) else {}
