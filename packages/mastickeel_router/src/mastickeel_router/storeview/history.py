"""Earlier values of large keys, from which the difference to a newer one is made for peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel_router.storeview.encoding import decode_content, encode_content

if TYPE_CHECKING:
    from mastickeel._kvtypes import KeyValue

LARGE_VALUE_BYTES = 2_048
"""Size from which on a value is sent as a difference, or apart from the other changes."""
MAX_VALUES_PER_KEY = 16
MAX_BYTES = 512 * 1024
"""Maximum size of all that is kept."""


def is_large(item: KeyValue) -> bool:
    """Returns whether a value is large."""
    return len(item.value) >= LARGE_VALUE_BYTES


class ValueHistory:
    """The last values of each large key before the present one.

    Each is kept as the difference from the value that replaced it, so that it is found from the
    present value, one step after the other.
    """

    def __init__(self) -> None:
        self._differences_by_key: dict[str, dict[int, bytes]] = {}
        """Encoded values by key and revision, the oldest first; the key that changed last is the
        last one."""
        self._size = 0

    def record(self, item: KeyValue, successor: KeyValue) -> None:
        """Keeps a value that is being replaced; drops the oldest ones beyond the limits."""
        if not is_large(item):
            self.remove(item.key)
            return
        differences = self._differences_by_key.pop(item.key, {})
        self._differences_by_key[item.key] = differences
        differences[item.mod_revision] = encode_content(item.value, successor.value)
        self._size += len(differences[item.mod_revision])
        if len(differences) > MAX_VALUES_PER_KEY:
            self._drop_oldest(item.key)
        while self._size > MAX_BYTES:
            self._drop_oldest(next(iter(self._differences_by_key)))

    def find(self, present: KeyValue, revision: int) -> bytes | None:
        """Returns the value that a key had from a revision on; None if it is not kept.

        Args:
            present: The present item of the key.
            revision: The revision.
        """
        differences = self._differences_by_key.get(present.key, {})
        if revision not in differences:
            return None
        value = present.value
        for kept_revision, difference in reversed(differences.items()):
            value = decode_content(difference, value)
            if kept_revision == revision:
                break
        return value

    def find_revision(self, key: str, at: int) -> int:
        """Returns the newest kept revision of a key up to another one; 0 if there is none."""
        return max((one for one in self._differences_by_key.get(key, ()) if one <= at), default=0)

    def remove(self, key: str) -> None:
        """Forgets the values of a key, as when it is removed."""
        self._size -= sum(map(len, self._differences_by_key.pop(key, {}).values()))

    def clear(self) -> None:
        """Forgets all values, as when revisions are given out again."""
        self._differences_by_key.clear()
        self._size = 0

    def _drop_oldest(self, key: str) -> None:
        differences = self._differences_by_key[key]
        self._size -= len(differences.pop(next(iter(differences))))
        if not differences:
            del self._differences_by_key[key]
