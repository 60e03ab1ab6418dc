"""JSON encoding of the key-value gateway.

Bytes are base64, integers are decimal strings, and zero-valued fields are left out.
"""

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
    """Returns a request with its field names in snake case; the gateway accepts both spellings.

    Args:
        body: The decoded JSON.
    """
    if isinstance(body, list):
        return [to_snake_case(item) for item in body]
    if not isinstance(body, dict):
        return body
    return {
        CAMEL_HUMP.sub(lambda hump: "_" + hump[1].lower(), name): to_snake_case(value)
        for name, value in body.items()
    }


def read_bytes(body: dict[str, Any], name: str) -> bytes:
    """Returns the decoded value of a base64 field; an absent field is empty.

    Args:
        body: The message.
        name: The field's name.

    Raises:
        KeyValueError: If the value is not valid base64.
    """
    try:
        return base64.b64decode(body.get(name) or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise KeyValueError(INVALID_ARGUMENT, f"illegal base64 data in {name}") from error


def read_int(body: dict[str, Any], name: str) -> int:
    """Returns an int64 field, given as a number or a decimal string; an absent field is 0.

    Args:
        body: The message.
        name: The field's name.

    Raises:
        KeyValueError: If the value is not an integer.
    """
    try:
        return int(body.get(name) or 0)
    except (TypeError, ValueError) as error:
        raise KeyValueError(INVALID_ARGUMENT, f"{name} is not an integer") from error


def read_enum(body: dict[str, Any], name: str, names: tuple[str, ...]) -> str:
    """Returns the name of an enum field, given by name or number; an absent field is number 0.

    Args:
        body: The message.
        name: The field's name.
        names: The enum's names in the order of their numbers.

    Raises:
        KeyValueError: If the value is neither a name nor a number of the enum.
    """
    value = body.get(name, 0)
    if isinstance(value, int) and 0 <= value < len(names):
        return names[value]
    if value in names:
        return str(value)
    raise KeyValueError(INVALID_ARGUMENT, f"unknown value {value!r} for enum {name}")


def build_message(**fields: Any) -> dict[str, Any]:
    """Returns a message in the gateway's JSON form.

    Args:
        fields: Bytes, integers, flags, texts, messages and lists; zero values are left out.
    """
    return {name: _encode(value) for name, value in fields.items() if _is_set(value)}


def build_header(revision: int) -> dict[str, Any]:
    """Returns the header of a response.

    Args:
        revision: The store's revision.
    """
    return build_message(
        cluster_id=CLUSTER_ID, member_id=MEMBER_ID, revision=revision, raft_term=RAFT_TERM
    )


def build_key_value(version: Version, keys_only: bool = False) -> dict[str, Any]:
    """Returns the KeyValue message of a key's version.

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
    """Returns whether a field is encoded; messages are encoded even if they are empty."""
    return isinstance(value, dict) or bool(value)


def _encode(value: Any) -> Any:
    """Returns a field's value in the gateway's JSON form."""
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    if isinstance(value, list):
        return [_encode(item) for item in value]
    return value
