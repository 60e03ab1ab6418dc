"""State of the key-value stand-in: versions of each key, log of changes and leases."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field

FIRST_REVISION = 1
COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
ALL_KEYS_END = b"\0"

INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
FAILED_PRECONDITION = 9
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12
UNAVAILABLE = 14


class KeyValueError(Exception):
    """Error with the gRPC code and the message that the gateway returns."""

    def __init__(self, code: int, message: str) -> None:
        """Creates the error.

        Args:
            code: The gRPC code.
            message: The gateway's error text.
        """
        self.code = code
        self.message = message
        super().__init__(message)


@dataclass(frozen=True)
class Version:
    """Version of a key; a tombstone has version 0."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True)
class Change:
    """Change of a key, with its version after and before the change."""

    after: Version
    before: Version | None


@dataclass
class Lease:
    """Lease and the keys attached to it."""

    lease_id: int
    ttl_s: int
    expires_ms: int
    keys: set[bytes] = field(default_factory=set)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Returns whether a key is in a range of the API.

    Args:
        key: The key.
        start: First key of the range.
        end: Empty for ``start`` alone, a zero byte for all keys from ``start`` on, else the
            exclusive end of the range.
    """
    if not end:
        return key == start
    return key >= start and (end == ALL_KEYS_END or key < end)


class KeyValueState:
    """Multi-version key store; a transaction is a series of puts and deletes and one commit."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        """Revision of the last commit."""
        self.compacted_revision = 0
        """Oldest readable revision."""
        self.leases_by_id: dict[int, Lease] = {}
        """Existing leases by id."""
        self._versions_by_key: dict[bytes, list[Version]] = {}
        self._keys: list[bytes] = []
        self._log: list[Change] = []
        self._uncommitted = 0

    def get(self, key: bytes, revision: int = 0) -> Version | None:
        """Returns a key's live version, or None if the key does not exist.

        Args:
            key: The key.
            revision: The revision to read at; 0 for the newest, with uncommitted changes.
        """
        versions = self._versions_by_key.get(key, [])
        end = len(versions)
        if revision:
            end = bisect.bisect_right(versions, revision, key=lambda version: version.mod_revision)
        if end == 0 or versions[end - 1].version == 0:
            return None
        return versions[end - 1]

    def select(self, start: bytes, end: bytes, revision: int = 0) -> list[Version]:
        """Returns the live versions in a range, ordered by key.

        Args:
            start: First key of the range.
            end: As in ``in_range``.
            revision: As in ``get``.
        """
        keys = [start]
        if end:
            first = bisect.bisect_left(self._keys, start)
            last = len(self._keys)
            if end != ALL_KEYS_END:
                last = max(first, bisect.bisect_left(self._keys, end))
            keys = self._keys[first:last]
        found = (self.get(key, revision) for key in keys)
        return [version for version in found if version is not None]

    def check_revision(self, revision: int) -> None:
        """Checks that a revision can be read.

        Args:
            revision: The revision; 0 for the newest.

        Raises:
            KeyValueError: If the revision is compacted or in the future.
        """
        if revision > self.revision:
            raise KeyValueError(OUT_OF_RANGE, FUTURE)
        if 0 < revision < self.compacted_revision:
            raise KeyValueError(OUT_OF_RANGE, COMPACTED)

    def put(self, key: bytes, value: bytes, lease: int) -> Version | None:
        """Writes a key without committing the change.

        Args:
            key: The key.
            value: The value.
            lease: The id of an existing lease, or 0 for none.

        Returns:
            The previous version.
        """
        before = self.get(key)
        revision = self.revision + 1
        created = before.create_revision if before else revision
        version = before.version + 1 if before else 1
        self._detach(before)
        if lease:
            self.leases_by_id[lease].keys.add(key)
        self._append(Version(key, value, created, revision, version, lease), before)
        return before

    def delete(self, start: bytes, end: bytes) -> list[Version]:
        """Deletes the keys of a range without committing the change.

        Args:
            start: First key of the range.
            end: As in ``in_range``.

        Returns:
            The previous versions of the deleted keys.
        """
        previous = self.select(start, end)
        for before in previous:
            self._detach(before)
            self._append(Version(before.key, b"", 0, self.revision + 1, 0), before)
        return previous

    def commit(self) -> bool:
        """Commits the uncommitted changes as one new revision, if there are any.

        Returns:
            Whether there were changes.
        """
        changed = self._uncommitted > 0
        self.revision += int(changed)
        self._uncommitted = 0
        return changed

    def next_revision(self) -> int:
        """Returns the store's revision after the next commit."""
        return self.revision + int(self._uncommitted > 0)

    def changes_since(self, revision: int, start: bytes, end: bytes) -> list[Change]:
        """Returns the changes to a range since a revision, in order.

        Args:
            revision: The first revision.
            start: First key of the range.
            end: As in ``in_range``.
        """
        first = bisect.bisect_left(
            self._log, revision, key=lambda change: change.after.mod_revision
        )
        return [change for change in self._log[first:] if in_range(change.after.key, start, end)]

    def compact(self, revision: int) -> None:
        """Drops the history before a revision.

        Args:
            revision: The oldest revision that stays readable.

        Raises:
            KeyValueError: If the revision is already compacted or in the future.
        """
        if revision <= self.compacted_revision:
            raise KeyValueError(OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise KeyValueError(OUT_OF_RANGE, FUTURE)
        self.compacted_revision = revision
        self._log = [change for change in self._log if change.after.mod_revision >= revision]
        for key in list(self._versions_by_key):
            self._compact_key(key, revision)
        self._keys = sorted(self._versions_by_key)

    def delete_lease(self, lease_id: int) -> bool:
        """Deletes a lease and, in one commit, its keys.

        Args:
            lease_id: The id of an existing lease.

        Returns:
            Whether any key was deleted.
        """
        lease = self.leases_by_id.pop(lease_id)
        for key in sorted(lease.keys):
            self.delete(key, b"")
        return self.commit()

    def _detach(self, version: Version | None) -> None:
        """Detaches a version's key from the version's lease."""
        if version is not None and version.lease in self.leases_by_id:
            self.leases_by_id[version.lease].keys.discard(version.key)

    def _append(self, version: Version, before: Version | None) -> None:
        """Appends a version to its key's versions and to the log."""
        if version.key not in self._versions_by_key:
            self._versions_by_key[version.key] = []
            bisect.insort(self._keys, version.key)
        self._versions_by_key[version.key].append(version)
        self._log.append(Change(version, before))
        self._uncommitted += 1

    def _compact_key(self, key: bytes, revision: int) -> None:
        """Drops the versions of a key that cannot be read at or after a revision."""
        versions = self._versions_by_key[key]
        end = bisect.bisect_right(versions, revision, key=lambda version: version.mod_revision)
        kept = versions[max(0, end - 1) :]
        if end and kept[0].version == 0:
            kept = kept[1:]
        if kept:
            self._versions_by_key[key] = kept
        else:
            del self._versions_by_key[key]
