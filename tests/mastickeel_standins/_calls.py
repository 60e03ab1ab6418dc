"""HTTP calls through Tornado's client for the tests of the stand-ins."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError

if TYPE_CHECKING:
    import asyncio


def b64(text: str) -> str:
    """Returns the base64 form of a text, which the gateway expects for bytes."""
    return base64.b64encode(text.encode()).decode()


async def call(
    url: str, body: dict[str, Any] | None = None, agent: str = "test"
) -> tuple[int, Any]:
    """Posts a body, or sends a GET request without one; returns the status and decoded reply."""
    request = HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        body=None if body is None else json.dumps(body),
        user_agent=agent,
    )
    response = await AsyncHTTPClient().fetch(request, raise_error=False)
    if response.code == 599 and response.error is not None:
        raise response.error
    return response.code, json.loads(response.body)


async def stream(
    url: str, body: dict[str, Any], lines: asyncio.Queue[Any], agent: str = "test"
) -> None:
    """Posts a body and queues each line of the streaming reply, then None at the reply's end."""
    rest = b""

    def queue_lines(chunk: bytes) -> None:
        nonlocal rest
        *complete_lines, rest = (rest + chunk).split(b"\n")
        for line in complete_lines:
            lines.put_nowait(json.loads(line)["result"])

    request = HTTPRequest(
        url,
        method="POST",
        body=json.dumps(body),
        user_agent=agent,
        streaming_callback=queue_lines,
        request_timeout=0,
    )
    client = AsyncHTTPClient(force_instance=True)
    try:
        await client.fetch(request, raise_error=False)
    except HTTPStreamClosedError:
        pass  # Some tests wait for a cut watch, which reaches them as the None below.
    finally:
        client.close()
        lines.put_nowait(None)
