"""Decodes data that another process has written; any data that cannot be decoded is one error."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, overload

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that every reader of JSON represents exactly."""
MAX_DIGITS = 18
"""Maximum number of digits of a whole number in a header or an event; fits in 64 bits."""


@overload
def decode_json(data: bytes | str, expected_type: type[T]) -> T: ...


@overload
def decode_json(data: bytes | str) -> Any: ...


def decode_json(data: bytes | str, expected_type: Any = Any) -> Any:
    """Decodes JSON.

    Args:
        data: The encoded value.
        expected_type: Type of the value; any by default.

    Raises:
        msgspec.DecodeError: The data is not JSON, is nested too deeply, or has another type.
    """
    return _decode(msgspec.json.decode, data, expected_type)


@overload
def decode_msgpack(data: bytes | msgspec.Raw, expected_type: type[T]) -> T: ...


@overload
def decode_msgpack(data: bytes | msgspec.Raw) -> Any: ...


def decode_msgpack(data: bytes | msgspec.Raw, expected_type: Any = Any) -> Any:
    """Decodes MessagePack.

    Args:
        data: The encoded value.
        expected_type: Type of the value; any by default.

    Raises:
        msgspec.DecodeError: The data is not MessagePack, is nested too deeply, or has another type.
    """
    return _decode(msgspec.msgpack.decode, data, expected_type)


def parse_whole_number(text: str | bytes) -> int | None:
    """Parses a whole number from 0 in decimal digits; returns None for anything else."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def is_over(text: str, limit: int) -> bool:
    """Returns whether a text of digits is a number above a limit, or too long for a number."""
    number = parse_whole_number(text)
    return number is None or number > limit


def _decode(decode: Callable[..., Any], data: Any, expected_type: Any) -> Any:
    try:
        return decode(data, type=expected_type)
    except msgspec.DecodeError:
        raise
    except (RecursionError, ValueError) as error:
        # msgspec raises RecursionError for deep nesting, also in fields that it skips.
        raise msgspec.DecodeError(str(error)) from error
