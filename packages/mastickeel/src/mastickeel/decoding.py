"""Decodes data that another process has written; any data that cannot be decoded is one error."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, overload

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


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


def _decode(decode: Callable[..., Any], data: Any, expected_type: Any) -> Any:
    try:
        return decode(data, type=expected_type)
    except msgspec.DecodeError:
        raise
    except (RecursionError, ValueError) as error:
        # msgspec raises RecursionError for deep nesting, also in fields that it skips.
        raise msgspec.DecodeError(str(error)) from error
