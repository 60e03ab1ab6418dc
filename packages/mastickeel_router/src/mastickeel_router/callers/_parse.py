"""Parses a chat request from its body and headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mastickeel.errors import BadRequestError
from mastickeel_router.requests import ChatRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mastickeel.model import Account

SESSION_HEADER = "X-Session-Id"
SESSION_TOKEN_HEADER = "X-Mastickeel-Session"
KIND_HEADER = "X-Request-Kind"
DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
DEFAULT_KIND = "default"
HEADER_LIMIT_CHARACTERS = 512


def parse_chat(
    body: dict[str, Any],
    headers: Mapping[str, str],
    *,
    request_id: str,
    account: Account,
    now_ms: int,
) -> ChatRequest:
    """Parses and validates a chat request.

    Args:
        body: The JSON body.
        headers: The HTTP headers.
        request_id: The id that the router assigned to the request.
        account: The account that sent the request.
        now_ms: Time of arrival, on the monotonic clock.

    Returns:
        The parsed request.

    Raises:
        BadRequestError: When a field or header is missing or invalid.
    """
    _check_body(body)
    options = body.get("stream_options")
    deadline = headers.get(DEADLINE_HEADER, "")
    return ChatRequest(
        id=request_id,
        account_id=account.id,
        model=body["model"],
        body=body,
        stream=body.get("stream", False),
        arrived_ms=now_ms,
        kind=_read_header(headers, KIND_HEADER) or DEFAULT_KIND,
        session=_read_header(headers, SESSION_TOKEN_HEADER)
        or _read_header(headers, SESSION_HEADER),
        priority=account.priority,
        deadline_ms=now_ms + _parse_milliseconds(DEADLINE_HEADER, deadline) if deadline else None,
        idempotency_key=_read_header(headers, IDEMPOTENCY_HEADER),
        include_usage=bool(options and options.get("include_usage")),
    )


def _check_body(body: dict[str, Any]) -> None:
    """Checks the fields that the router itself reads.

    Raises:
        BadRequestError: When a field is missing or invalid.
    """
    if not isinstance(body.get("model"), str) or not body["model"]:
        raise BadRequestError("'model' is missing; name a model, a version, or 'auto'.")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError("'messages' is missing or empty; send a list of messages.")
    for index, entry in enumerate(messages):
        if not isinstance(entry, dict) or not isinstance(entry.get("role"), str):
            raise BadRequestError(f"messages[{index}] has no 'role'; add one, such as 'user'.")
    if not isinstance(body.get("stream", False), bool):
        raise BadRequestError("'stream' is neither true nor false.")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise BadRequestError("'stream_options' is not an object.")
    limit = body.get("max_tokens")
    if limit is not None and (not isinstance(limit, int) or limit < 1):
        raise BadRequestError(f"'max_tokens' is {limit!r}; send a whole number above 0.")


def _read_header(headers: Mapping[str, str], header: str) -> str:
    """Returns the stripped value of a header; empty when the header is missing.

    Raises:
        BadRequestError: When the value is too long or not printable ASCII.
    """
    value = headers.get(header, "").strip()
    if len(value) > HEADER_LIMIT_CHARACTERS or not (value.isprintable() and value.isascii()):
        raise BadRequestError(
            f"{header} is over {HEADER_LIMIT_CHARACTERS} characters or not printable ASCII."
        )
    return value


def _parse_milliseconds(header: str, value: str) -> int:
    """Parses the value of a header in milliseconds.

    Raises:
        BadRequestError: When the value is not a whole number.
    """
    if not (value.isascii() and value.isdigit()):
        raise BadRequestError(f"{header} is {value!r}; send milliseconds as a whole number.")
    return int(value)
