"""The versions of every key, the log of changes and the leases of the key-value stand-in."""

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
    """An error with the gRPC code and the message that the gateway gives."""

    def __init__(self, code: int, message: str) -> None:
        """Makes the error.

        Args:
            code: The gRPC code.
            message: The published text.
        """
        self.code = code
        self.message = message
        super().__init__(message)


@dataclass(frozen=True)
class Version:
    """One version of a key; a tombstone has version 0."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True)
class Change:
    """One event: what a key became, and what it was."""

    now: Version
    before: Version | None


@dataclass
class Lease:
    """A lease and the keys that go with it."""

    lease_id: int
    ttl_s: int
    expires_ms: int
    keys: set[bytes] = field(default_factory=set)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Returns whether a key is in a range as the API spells it.

    Args:
        key: The key.
        start: The first key.
        end: Empty for that key alone, a zero byte for all from there on, else the end.
    """
    if not end:
        return key == start
    return key >= start and (end == ALL_KEYS_END or key < end)


class KeyValueState:
    """Multi-version keys; a transaction is a run of puts and deletes and then one commit."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        """The revision of the last commit."""
        self.compacted_revision = 0
        """Older revisions than this cannot be read."""
        self.leases_by_id: dict[int, Lease] = {}
        """The leases that are held."""
        self._versions_by_key: dict[bytes, list[Version]] = {}
        self._keys: list[bytes] = []
        self._log: list[Change] = []
        self._uncommitted = 0

    def get(self, key: bytes, revision: int = 0) -> Version | None:
        """Returns a key's live version.

        Args:
            key: The key.
            revision: The revision to read at; 0 for the newest, uncommitted changes included.
        """
        versions = self._versions_by_key.get(key, [])
        end = len(versions)
        if revision:
            end = bisect.bisect_right(versions, revision, key=lambda each: each.mod_revision)
        if end == 0 or versions[end - 1].version == 0:
            return None
        return versions[end - 1]

    def select(self, start: bytes, end: bytes, revision: int = 0) -> list[Version]:
        """Returns the live versions in a range, by key.

        Args:
            start: The first key.
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
            KeyValueError: When it is compacted, or not there yet.
        """
        if revision > self.revision:
            raise KeyValueError(OUT_OF_RANGE, FUTURE)
        if 0 < revision < self.compacted_revision:
            raise KeyValueError(OUT_OF_RANGE, COMPACTED)

    def put(self, key: bytes, value: bytes, lease: int) -> Version | None:
        """Writes a key, to be committed.

        Args:
            key: The key.
            value: The value.
            lease: The id of a lease that is held, or 0.

        Returns:
            The version before.
        """
        before = self.get(key)
        revision = self.revision + 1
        created = before.create_revision if before else revision
        count = before.version + 1 if before else 1
        self._detach(before)
        if lease:
            self.leases_by_id[lease].keys.add(key)
        self._append(Version(key, value, created, revision, count, lease), before)
        return before

    def delete(self, start: bytes, end: bytes) -> list[Version]:
        """Deletes a range, to be committed.

        Args:
            start: The first key.
            end: As in ``in_range``.

        Returns:
            The versions before.
        """
        gone = self.select(start, end)
        for before in gone:
            self._detach(before)
            self._append(Version(before.key, b"", 0, self.revision + 1, 0), before)
        return gone

    def commit(self) -> bool:
        """Ends a transaction; the revision moves on if it changed anything.

        Returns:
            Whether it changed anything.
        """
        changed = self._uncommitted > 0
        self.revision += int(changed)
        self._uncommitted = 0
        return changed

    def next_revision(self) -> int:
        """Returns the revision that the store will have after a commit."""
        return self.revision + int(self._uncommitted > 0)

    def changes_since(self, revision: int, start: bytes, end: bytes) -> list[Change]:
        """Returns the committed changes in a range, in order.

        Args:
            revision: The first revision.
            start: The first key.
            end: As in ``in_range``.
        """
        first = bisect.bisect_left(self._log, revision, key=lambda each: each.now.mod_revision)
        return [each for each in self._log[first:] if in_range(each.now.key, start, end)]

    def compact(self, revision: int) -> None:
        """Forgets what is older than a revision.

        Args:
            revision: The oldest revision that can be read afterwards.

        Raises:
            KeyValueError: When it is compacted already, or not there yet.
        """
        if revision <= self.compacted_revision:
            raise KeyValueError(OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise KeyValueError(OUT_OF_RANGE, FUTURE)
        self.compacted_revision = revision
        self._log = [each for each in self._log if each.now.mod_revision >= revision]
        for key in list(self._versions_by_key):
            self._compact_key(key, revision)
        self._keys = sorted(self._versions_by_key)

    def delete_lease(self, lease_id: int) -> bool:
        """Ends a lease and deletes its keys in one commit.

        Args:
            lease_id: A lease that is held.

        Returns:
            Whether any key was deleted.
        """
        lease = self.leases_by_id.pop(lease_id)
        for key in sorted(lease.keys):
            self.delete(key, b"")
        return self.commit()

    def _detach(self, version: Version | None) -> None:
        """Takes a key off the lease that its version has."""
        if version is not None and version.lease in self.leases_by_id:
            self.leases_by_id[version.lease].keys.discard(version.key)

    def _append(self, version: Version, before: Version | None) -> None:
        """Adds a version to its key and to the log."""
        if version.key not in self._versions_by_key:
            self._versions_by_key[version.key] = []
            bisect.insort(self._keys, version.key)
        self._versions_by_key[version.key].append(version)
        self._log.append(Change(version, before))
        self._uncommitted += 1

    def _compact_key(self, key: bytes, revision: int) -> None:
        """Keeps of one key what can be read from a revision on."""
        versions = self._versions_by_key[key]
        end = bisect.bisect_right(versions, revision, key=lambda each: each.mod_revision)
        kept = versions[max(0, end - 1) :]
        if end and kept[0].version == 0:
            kept = kept[1:]
        if kept:
            self._versions_by_key[key] = kept
        else:
            del self._versions_by_key[key]
