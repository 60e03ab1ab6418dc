"""Encoding and decoding of message bodies for the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
from typing import Any

import msgspec

from mastickeel._kvtypes import Compare, Delete, Get, KeyValue, Put, WatchBatch
from mastickeel.decoding import decode_json
from mastickeel.errors import (
    StoreCompactedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

GRPC_OUT_OF_RANGE = 11


def prefix_end(prefix: bytes) -> bytes:
    """Returns the end of the key range of a prefix: the first key after all that begin with it."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


def decode_answer(path: str, status: int, body: bytes) -> dict[str, Any]:
    """Decodes an answer, raising a typed error for each error of the etcd gateway."""
    try:
        answer: dict[str, Any] = decode_json(body)
    except msgspec.DecodeError as error:
        raise StoreOutcomeUnknownError(
            f"{path} sent an answer that is not JSON (status {status})."
        ) from error
    if status == 200:
        return answer
    message = answer.get("message", answer.get("error", ""))
    if answer.get("code") == GRPC_OUT_OF_RANGE or "compacted" in str(message):
        raise StoreCompactedError(f"{path}: {message}")
    raise StoreUnavailableError(f"{path} answered {status}: {message}.")


def decode_watch_batch(result: dict[str, Any]) -> WatchBatch | None:
    """Decodes one message of a watch; None for the message that confirms its creation."""
    if compacted := int(result.get("compact_revision", 0)):
        raise StoreCompactedError(f"The watch's start is compacted up to {compacted}.")
    if result.get("canceled"):
        raise StoreUnavailableError("The store cancelled the watch.")
    if result.get("created"):
        return None
    puts, deletes = [], []
    for event in result.get("events", ()):
        if event.get("type") == "DELETE":
            deletes.append(_decode(event["kv"]["key"]).decode())
        else:
            puts.append(decode_key_value(event["kv"]))
    return WatchBatch(read_revision(result), tuple(puts), tuple(deletes))


def encode_compare(entry: Compare) -> dict[str, Any]:
    """Encodes the condition of a transaction for the etcd gateway."""
    field = {"MOD": "mod_revision", "CREATE": "create_revision", "VERSION": "version"}
    value = (
        {"value": encode_bytes(entry.value)}
        if isinstance(entry.value, bytes)
        else {field[entry.target]: str(entry.value)}
    )
    return {"key": encode_text(entry.key), "target": entry.target, "result": entry.result, **value}


def encode_step(entry: Put | Delete | Get) -> dict[str, Any]:
    """Encodes a step of a transaction for the etcd gateway."""
    key = encode_text(entry.key)
    if isinstance(entry, Put):
        put = {"key": key, "value": encode_bytes(entry.value)}
        if entry.lease:
            put["lease"] = str(entry.lease)
        return {"request_put": put}
    if isinstance(entry, Get):
        return {"request_range": {"key": key}}
    if entry.prefix:
        end = encode_bytes(prefix_end(entry.key.encode()))
        return {"request_delete_range": {"key": key, "range_end": end}}
    return {"request_delete_range": {"key": key}}


def decode_key_value(entry: dict[str, Any]) -> KeyValue:
    """Decodes a key and its value from an answer of the etcd gateway."""
    return KeyValue(
        key=_decode(entry["key"]).decode(),
        value=_decode(entry.get("value", "")),
        mod_revision=int(entry.get("mod_revision", 0)),
        create_revision=int(entry.get("create_revision", 0)),
        version=int(entry.get("version", 0)),
        lease=int(entry.get("lease", 0)),
    )


def read_revision(answer: dict[str, Any]) -> int:
    """Returns the store's revision from the header of an answer."""
    return int(answer.get("header", {}).get("revision", 0))


def encode_text(text: str) -> str:
    return encode_bytes(text.encode())


def encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
