"""Changes of the configuration as the key-value service keeps them."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from mastickeel.model import Delta  # noqa: TC001 - msgspec reads it at run time

REVISION_DIGITS = 12
TIME_DIGITS = 15


@dataclass(frozen=True)
class Change:
    """One accepted or proposed change, which is also its audit record."""

    id: str
    """Made by whoever proposes it, so that a lost answer can be settled by reading."""
    revision: int
    author: str
    """The operator, or the duty that acted."""
    at_ms: int
    """Calendar time of the proposal."""
    text: str
    """The commands as given."""
    delta: Delta


@dataclass(frozen=True)
class RosterMember:
    """An instance whose acknowledgement every change needs."""

    id: str
    address: str
    """``host:port`` of its peer listener."""
    data_centre: str
    region: str
    joined_ms: int = 0
    """Calendar time at which it was added."""
    process: str = ""
    """Drawn anew by each start, so that a place is never taken over by another process."""


@dataclass(frozen=True)
class Roster:
    """The kept record of the members; a lapsed lease alone takes nobody off it."""

    version: int = 0
    members: tuple[RosterMember, ...] = ()

    @property
    def ids(self) -> frozenset[str]:
        """The ids of the members."""
        return frozenset(member.id for member in self.members)

    @property
    def processes(self) -> frozenset[str]:
        """The processes of the members."""
        return frozenset(member.process for member in self.members)


@dataclass(frozen=True)
class Stage:
    """What is proposed and not yet decided."""

    id: str
    """The change id of the proposal."""
    coordinator: str
    """The instance that gathers the acknowledgements."""
    at_ms: int
    """Calendar time of the proposal."""


@dataclass(frozen=True)
class Proposal:
    """What a stage would put in force: a change, or a roster."""

    id: str
    change: Change | None = None
    roster: Roster | None = None


@dataclass(frozen=True)
class Head:
    """Which revision is in force; the one key that every change compares and swaps."""

    revision: int = 0
    change_id: str = ""
    roster_version: int = 0
    stage: Stage | None = None


@dataclass(frozen=True)
class SnapshotIndex:
    """Which snapshot a joining instance loads."""

    revision: int
    parts: int


@dataclass(frozen=True)
class AuditRecord:
    """An act that made no revision: a refused change, or a replaced roster."""

    id: str
    at_ms: int
    author: str
    text: str
    outcome: str


def new_change_id() -> str:
    """Returns a fresh change id."""
    return secrets.token_hex(8)


def hash_secret(text: str) -> str:
    """Returns the SHA-256 of a key or token, which is what the configuration keeps."""
    return hashlib.sha256(text.encode()).hexdigest()


def head_key(prefix: str) -> str:
    """Returns the key of the head."""
    return f"{prefix}/config/head"


def log_key(prefix: str, revision: int) -> str:
    """Returns the key of one change; keys sort by revision."""
    return f"{prefix}/config/log/{revision:0{REVISION_DIGITS}d}"


def staged_key(prefix: str) -> str:
    """Returns the key of the proposal that is staged; there is one at a time."""
    return f"{prefix}/config/staged"


def roster_key(prefix: str) -> str:
    """Returns the key of the roster."""
    return f"{prefix}/config/roster"


def audit_key(prefix: str, record: AuditRecord) -> str:
    """Returns the key of an audit record; keys sort by time."""
    return f"{prefix}/audit/{record.at_ms:0{TIME_DIGITS}d}-{record.id}"


def snapshot_index_key(prefix: str) -> str:
    """Returns the key that says which snapshot is whole."""
    return f"{prefix}/snapshots/index"


def snapshot_part_key(prefix: str, revision: int, part: int) -> str:
    """Returns the key of one part of a snapshot."""
    return f"{prefix}/snapshots/{revision:0{REVISION_DIGITS}d}/{part:04d}"


Record = Change | Head | Roster | Proposal | SnapshotIndex | AuditRecord
R = TypeVar("R", bound=Record)


def encode(record: Record) -> bytes:
    """Writes a record for the key-value service."""
    return msgspec.json.encode(record)


def decode(data: bytes, record_type: type[R]) -> R:
    """Reads a record.

    Raises:
        msgspec.ValidationError: When the record has another shape.
    """
    return msgspec.json.decode(data, type=record_type)
