"""Arguments and results of the key-value client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class KeyValue:
    """A key with its value and revisions, as read from the store."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True)
class Compare:
    """A condition of a transaction: a property of a key compared with a value."""

    key: str
    target: str
    """``MOD``, ``CREATE``, ``VERSION`` or ``VALUE``."""
    value: int | bytes
    result: str = "EQUAL"


@dataclass(frozen=True)
class Put:
    """A transaction step that writes a key."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Delete:
    """A transaction step that deletes a key, or with ``prefix`` all keys that begin with it."""

    key: str
    prefix: bool = False


@dataclass(frozen=True)
class Get:
    """A transaction step that reads a key."""

    key: str


@dataclass(frozen=True)
class TxnResult:
    """The result of a transaction."""

    succeeded: bool
    revision: int
    found: tuple[KeyValue, ...] = ()
    """Keys read by the Get steps."""


@dataclass(frozen=True)
class RangeResult:
    """Keys found by a read."""

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False


@dataclass(frozen=True)
class WatchBatch:
    """Events of one or more revisions, or a progress notice without events."""

    revision: int
    puts: tuple[KeyValue, ...] = ()
    deletes: tuple[str, ...] = ()
