"""Records of configuration changes in the key-value service, with their keys and encoding."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.model import Delta  # noqa: TC001 - msgspec reads it at run time

REVISION_DIGITS = 12
TIME_DIGITS = 15


@dataclass(frozen=True)
class Change:
    """An accepted or proposed change, which is also its own audit record."""

    id: str
    """Chosen by the proposer, so that a read after a lost answer shows if the change was made."""
    revision: int
    author: str
    """The operator, or the duty, that made the change."""
    at_ms: int
    """Calendar time of the proposal, in milliseconds."""
    text: str
    """The commands as the author gave them."""
    delta: Delta


@dataclass(frozen=True)
class RosterMember:
    """An instance that must acknowledge every change."""

    id: str
    address: str
    """``host:port`` of its peer listener."""
    data_centre: str
    region: str
    joined_ms: int = 0
    """Calendar time at which the member was added, in milliseconds."""
    process: str = ""
    """A random id made at each start, so that another process never counts as this member."""


@dataclass(frozen=True)
class Roster:
    """The stored record of the members; a lapsed lease alone does not remove a member."""

    version: int = 0
    members: tuple[RosterMember, ...] = ()

    @property
    def ids(self) -> frozenset[str]:
        """Instance ids of the members."""
        return frozenset(member.id for member in self.members)

    @property
    def processes(self) -> frozenset[str]:
        """Ids of the members' processes."""
        return frozenset(member.process for member in self.members)


@dataclass(frozen=True)
class Stage:
    """A proposal that is not yet decided."""

    id: str
    """The change id of the proposal."""
    coordinator: str
    """The instance that collects the acknowledgements."""
    at_ms: int
    """Calendar time of the proposal, in milliseconds."""


@dataclass(frozen=True)
class Proposal:
    """The content of a stage: the change or the roster that it would put in force."""

    id: str
    change: Change | None = None
    roster: Roster | None = None


@dataclass(frozen=True)
class Head:
    """The revision in force; every change compares and swaps this one record."""

    revision: int = 0
    change_id: str = ""
    roster_version: int = 0
    stage: Stage | None = None


@dataclass(frozen=True)
class SnapshotIndex:
    """The snapshot that a joining instance loads."""

    revision: int
    parts: int


@dataclass(frozen=True)
class AuditRecord:
    """A recorded action that made no revision: a refused change, or a replaced roster."""

    id: str
    at_ms: int
    author: str
    text: str
    outcome: str


def new_change_id() -> str:
    """Returns a new random change id."""
    return secrets.token_hex(8)


def hash_secret(text: str) -> str:
    """Returns the SHA-256 of a key or token in hexadecimal; the configuration stores only this."""
    return hashlib.sha256(text.encode()).hexdigest()


def head_key(prefix: str) -> str:
    """Returns the key of the head."""
    return f"{prefix}/config/head"


def log_key(prefix: str, revision: int) -> str:
    """Returns the key of the change that made a revision; keys sort by revision."""
    return f"{prefix}/config/log/{revision:0{REVISION_DIGITS}d}"


def staged_key(prefix: str) -> str:
    """Returns the key of the staged proposal; only one proposal is staged at a time."""
    return f"{prefix}/config/staged"


def roster_key(prefix: str) -> str:
    """Returns the key of the roster."""
    return f"{prefix}/config/roster"


def audit_key(prefix: str, record: AuditRecord) -> str:
    """Returns the key of an audit record; keys sort by time."""
    return f"{prefix}/audit/{record.at_ms:0{TIME_DIGITS}d}-{record.id}"


def snapshot_index_key(prefix: str) -> str:
    """Returns the key that names the latest complete snapshot."""
    return f"{prefix}/snapshots/index"


def snapshot_part_key(prefix: str, revision: int, part: int) -> str:
    """Returns the key of one part of a snapshot."""
    return f"{prefix}/snapshots/{revision:0{REVISION_DIGITS}d}/{part:04d}"


Record = Change | Head | Roster | Proposal | SnapshotIndex | AuditRecord
R = TypeVar("R", bound=Record)


def encode(record: Record) -> bytes:
    """Encodes a record as JSON for the key-value service."""
    return msgspec.json.encode(record)


def decode(data: bytes, record_type: type[R]) -> R:
    """Decodes a record from the key-value service.

    Raises:
        msgspec.ValidationError: When the data does not match the record type.
    """
    return decode_json(data, record_type)
