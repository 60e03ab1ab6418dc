"""Messages in which instances tell each other the store's changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel._kvtypes import KeyValue
from mastickeel.decoding import decode_msgpack
from mastickeel.peermessages import message
from mastickeel_router.storeview.encoding import (
    UndecodableContentError,
    decode_content,
    encode_content,
)
from mastickeel_router.storeview.history import is_large
from mastickeel_router.storeview.view import Changes, MissingValue, Removal

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.storeview.contents import ContentCache

MAX_INLINE_BYTES = 1_024
"""Size up to which an encoded large value is sent with the other changes."""


@message("store_revision")
@dataclass(frozen=True)
class RevisionNotice:
    """Notification to peers that the store has changed."""

    era: int
    """Era of the store; 0 if it names none."""
    revision: int


@message("store_changes_request")
@dataclass(frozen=True)
class ChangesRequest:
    """Request for the changes of the store after a revision."""

    era: int
    revision: int
    seen_revision: int = 0
    """Revision up to which all changes are known but those of some large values; 0 from older
    versions of the program, which read neither packed changes nor encoded values."""


@dataclass(frozen=True)
class SharedItem:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    created: int


@dataclass(frozen=True)
class EncodedItem:
    """A key with its large value, encoded, or without it if it has to be requested apart."""

    key: str
    revision: int
    created: int
    base_revision: int = 0
    """Revision of the value with which it was encoded; 0 for none."""
    data: bytes = b""


@dataclass(frozen=True)
class PackedChanges:
    """Changes of small values; sent compressed."""

    items: tuple[SharedItem, ...] = ()
    removals: tuple[Removal, ...] = ()
    kept_keys: tuple[str, ...] = ()
    """The other keys, if the changes are whole."""


@message("store_changes")
@dataclass(frozen=True)
class ChangesReply:
    """Changes of the store that an instance knows."""

    era: int
    revision: int
    age_ms: int | None
    """Age of the knowledge; None if the instance knows nothing of this era."""
    items: tuple[SharedItem, ...] = ()
    removals: tuple[Removal, ...] = ()
    is_whole: bool = False
    covers_all: bool = False
    """Whether keys of all kinds are included; older versions of the program leave some out."""
    outage_age_ms: int | None = None
    """Time since the end of the newest outage of the store that the instance has seen, 0 while it
    lasts; None if there was none lately."""
    outage_is_certain: bool = True
    """Whether more than one call failed in that outage."""
    packed: bytes = b""
    """Packed changes; empty without any."""
    encoded_items: tuple[EncodedItem, ...] = ()


def pack_changes(changes: Changes) -> bytes:
    """Returns the changes of small values for a peer; empty if there are none."""
    items = tuple(_share(item) for item in changes.items if not is_large(item))
    packed = PackedChanges(items, changes.removals, changes.kept_keys)
    if packed == PackedChanges():
        return b""
    return encode_content(msgspec.msgpack.encode(packed))


def encode_large_items(
    changes: Changes, known_revision: int, contents: ContentCache
) -> tuple[EncodedItem, ...]:
    """Returns the changes of large values for a peer, without those that it has to request apart.

    Args:
        changes: The changes.
        known_revision: Revision up to which the peer knows all changes.
        contents: Encodes values.
    """
    encoded = []
    for item in changes.items:
        if is_large(item):
            content = contents.encode(item, contents.find_base(item.key, known_revision))
            is_inline = len(content.data) <= MAX_INLINE_BYTES
            encoded.append(
                EncodedItem(
                    item.key,
                    item.mod_revision,
                    item.create_revision,
                    content.base_revision if is_inline else 0,
                    content.data if is_inline else b"",
                )
            )
    return tuple(encoded)


def share_items(changes: Changes) -> tuple[SharedItem, ...]:
    """Returns all values for a peer whose version of the program reads no encoded ones."""
    return tuple(_share(item) for item in changes.items)


def read_changes(reply: ChangesReply, find_value: Callable[[str, int], bytes | None]) -> Changes:
    """Returns the changes in a reply.

    Args:
        reply: The reply.
        find_value: Returns the own value of a key and a revision; None if it is another one.

    Raises:
        UndecodableContentError: The packed changes cannot be read.
    """
    packed = PackedChanges()
    if reply.packed:
        try:
            packed = decode_msgpack(decode_content(reply.packed), PackedChanges)
        except msgspec.MsgspecError as error:
            raise UndecodableContentError(str(error)) from error
    items = [_read(item) for item in (*reply.items, *packed.items)]
    missing = []
    for encoded in reply.encoded_items:
        if (item := _decode(encoded, find_value)) is not None:
            items.append(item)
        else:
            missing.append(MissingValue(encoded.key, encoded.revision))
    return Changes(
        reply.era,
        reply.revision,
        tuple(items),
        (*reply.removals, *packed.removals),
        reply.is_whole,
        reply.covers_all,
        packed.kept_keys,
        tuple(missing),
    )


def measure_reply(reply: ChangesReply) -> int:
    """Returns the bytes of the values in a reply, as they were sent."""
    values = sum(len(item.value) for item in reply.items)
    return values + len(reply.packed) + sum(len(item.data) for item in reply.encoded_items)


def _share(item: KeyValue) -> SharedItem:
    return SharedItem(item.key, item.value, item.mod_revision, item.create_revision)


def _read(item: SharedItem) -> KeyValue:
    return KeyValue(item.key, item.value, item.revision, item.created, 0)


def _decode(
    encoded: EncodedItem, find_value: Callable[[str, int], bytes | None]
) -> KeyValue | None:
    """Returns the item with its value; None if it was not sent or its base is not known."""
    base = find_value(encoded.key, encoded.base_revision) if encoded.base_revision else b""
    if not encoded.data or base is None:
        return None
    try:
        value = decode_content(encoded.data, base)
    except UndecodableContentError:
        return None
    return KeyValue(encoded.key, value, encoded.revision, encoded.created, 0)
