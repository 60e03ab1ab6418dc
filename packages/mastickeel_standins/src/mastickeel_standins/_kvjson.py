"""The JSON of the key-value gateway: base64 bytes, decimal strings, no zero-valued fields."""

from __future__ import annotations

import base64
import binascii
import re
from typing import TYPE_CHECKING, Any

from mastickeel_standins._kvstate import INVALID_ARGUMENT, KeyValueError

if TYPE_CHECKING:
    from mastickeel_standins._kvstate import Version

CLUSTER_ID = "14841639068965178418"
MEMBER_ID = "10276657743932975437"
RAFT_TERM = "2"
CAMEL_HUMP = re.compile(r"(?<=[a-z])([A-Z])")


def to_snake_case(body: Any) -> Any:
    """Returns a request with the original field names; the gateway takes both spellings.

    Args:
        body: Decoded JSON.
    """
    if isinstance(body, list):
        return [to_snake_case(each) for each in body]
    if not isinstance(body, dict):
        return body
    return {
        CAMEL_HUMP.sub(lambda hump: "_" + hump[1].lower(), name): to_snake_case(value)
        for name, value in body.items()
    }


def read_bytes(body: dict[str, Any], name: str) -> bytes:
    """Returns a base64 field; an absent one is empty.

    Args:
        body: The message.
        name: The field.

    Raises:
        KeyValueError: When it is no base64.
    """
    try:
        return base64.b64decode(body.get(name) or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise KeyValueError(INVALID_ARGUMENT, f"illegal base64 data in {name}") from error


def read_int(body: dict[str, Any], name: str) -> int:
    """Returns an int64 field, given as a number or a decimal string; an absent one is 0.

    Args:
        body: The message.
        name: The field.

    Raises:
        KeyValueError: When it is no whole number.
    """
    try:
        return int(body.get(name) or 0)
    except (TypeError, ValueError) as error:
        raise KeyValueError(INVALID_ARGUMENT, f"{name} is not an integer") from error


def read_enum(body: dict[str, Any], name: str, names: tuple[str, ...]) -> str:
    """Returns an enum field, given by name or number; an absent one is the first.

    Args:
        body: The message.
        name: The field.
        names: The names in the order of their numbers.

    Raises:
        KeyValueError: When there is no such name or number.
    """
    value = body.get(name, 0)
    if isinstance(value, int) and 0 <= value < len(names):
        return names[value]
    if value in names:
        return str(value)
    raise KeyValueError(INVALID_ARGUMENT, f"unknown value {value!r} for enum {name}")


def build_message(**fields: Any) -> dict[str, Any]:
    """Returns a message as the gateway writes it.

    Args:
        fields: Bytes, whole numbers, flags, texts, messages and lists; empty ones are left out.
    """
    return {name: _encode(value) for name, value in fields.items() if _is_set(value)}


def build_header(revision: int) -> dict[str, Any]:
    """Returns the header of a reply.

    Args:
        revision: The revision of the store.
    """
    return build_message(
        cluster_id=CLUSTER_ID, member_id=MEMBER_ID, revision=revision, raft_term=RAFT_TERM
    )


def build_key_value(version: Version, keys_only: bool = False) -> dict[str, Any]:
    """Returns a version of a key as a message.

    Args:
        version: The version.
        keys_only: Whether to leave out the value.
    """
    return build_message(
        key=version.key,
        create_revision=version.create_revision,
        mod_revision=version.mod_revision,
        version=version.version,
        value=b"" if keys_only else version.value,
        lease=version.lease,
    )


def _is_set(value: Any) -> bool:
    """Returns whether a field is written; messages are, even when they are empty."""
    return isinstance(value, dict) or bool(value)


def _encode(value: Any) -> Any:
    """Returns a field's value in the gateway's spelling."""
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    if isinstance(value, list):
        return [_encode(each) for each in value]
    return value
