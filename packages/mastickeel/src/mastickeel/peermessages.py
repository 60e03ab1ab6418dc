"""Registry of the messages between instances, and the encoding of their contents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from mastickeel.decoding import decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

M = TypeVar("M")

types_by_kind: dict[str, type[Any]] = {}
"""All registered message types, by kind: the name on the wire."""
_kinds_by_type: dict[type[Any], str] = {}


def message(kind: str) -> Callable[[type[M]], type[M]]:
    """Registers a frozen dataclass as a message.

    Args:
        kind: The name of the message on the wire, which never changes.

    Returns:
        The class decorator.
    """

    def register(cls: type[M]) -> type[M]:
        if kind in types_by_kind:
            raise ValueError(f"message kind {kind!r} is registered twice; take another name")
        types_by_kind[kind] = cls
        _kinds_by_type[cls] = kind
        return cls

    return register


def encode_content(content: Any) -> tuple[str, msgspec.Raw]:
    """Returns the kind and the encoded fields of a registered message."""
    return _kinds_by_type[type(content)], msgspec.Raw(msgspec.msgpack.encode(content))


def decode_content(kind: str, body: msgspec.Raw) -> Any:
    """Returns the message with a kind and encoded fields; None if the kind is not registered.

    Raises:
        msgspec.DecodeError: The fields do not fit the message type.
    """
    message_type = types_by_kind.get(kind)
    return None if message_type is None else decode_msgpack(body, message_type)
