"""Encoded values that are being sent to peers; several peers mostly need the same."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from mastickeel_router.storeview.encoding import encode_content

if TYPE_CHECKING:
    from mastickeel._kvtypes import KeyValue
    from mastickeel_router.storeview.view import StoreView

MAX_CONTENTS = 8
MAX_BYTES = 2 * 1024 * 1024
"""Maximum size of all kept contents but the last one."""


@dataclass(frozen=True)
class EncodedContent:
    """A value of a key, encoded with an earlier one of the same key."""

    key: str
    revision: int
    created: int
    base_revision: int
    """Revision of the earlier value; 0 for none."""
    data: bytes
    digest: int
    """Digest of the data, by which another instance can go on sending it."""


_Source = tuple[int, str, int, int]
"""Era, key, revision and revision of the base."""


class ContentCache:
    """Encodes values of a view, and keeps the results that were used last."""

    def __init__(self, view: StoreView) -> None:
        """Creates an empty cache."""
        self._view = view
        self._contents_by_source: dict[_Source, EncodedContent] = {}
        """The one used last is at the end."""

    def encode(self, item: KeyValue, base_revision: int) -> EncodedContent:
        """Returns an item's value, encoded with an earlier one.

        Args:
            item: The item.
            base_revision: Revision of the earlier value; 0 for none. One that is not known is not
                used.
        """
        source = (self._view.era, item.key, item.mod_revision, base_revision)
        content = self._contents_by_source.get(source)
        if content is None:
            base = None
            if 0 < base_revision < item.mod_revision:
                base = self._view.find_value(item.key, base_revision)
            if base is None and base_revision:
                return self.encode(item, 0)
            data = encode_content(item.value, base or b"")
            digest = xxhash.xxh64_intdigest(data)
            content = EncodedContent(
                item.key, item.mod_revision, item.create_revision, base_revision, data, digest
            )
        self._keep(source, content)
        return content

    def find(self, key: str, digest: int) -> EncodedContent | None:
        """Returns the content of a key with a digest; None if it is not kept."""
        for source, content in self._contents_by_source.items():
            if (source[0], content.key, content.digest) == (self._view.era, key, digest):
                self._keep(source, content)
                return content
        return None

    def _keep(self, source: _Source, content: EncodedContent) -> None:
        """Keeps a content as the one used last, and drops those of long ago beyond the limits."""
        contents = self._contents_by_source
        contents.pop(source, None)
        contents[source] = content
        while len(contents) > 1 and (
            len(contents) > MAX_CONTENTS
            or sum(len(one.data) for one in contents.values()) > MAX_BYTES
        ):
            del contents[next(iter(contents))]

    def find_base(self, key: str, known_revision: int) -> int:
        """Returns the revision of the value that a peer has; 0 if that value is not known.

        Args:
            key: The key.
            known_revision: Revision up to which the peer knows all changes.
        """
        return self._view.history.find_revision(key, known_revision)
