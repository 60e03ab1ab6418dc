"""Ranges, puts, deletes and transactions of the key-value stand-in."""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING, Any

from mastickeel_standins._kvjson import (
    build_key_value,
    build_message,
    read_bytes,
    read_enum,
    read_int,
)
from mastickeel_standins._kvstate import (
    INVALID_ARGUMENT,
    NOT_FOUND,
    UNIMPLEMENTED,
    KeyValueError,
    Version,
    in_range,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_standins._kvstate import KeyValueState

MAX_OPERATIONS = 128
SORT_ORDERS = ("NONE", "ASCEND", "DESCEND")
SORT_TARGETS = ("KEY", "VERSION", "CREATE", "MOD", "VALUE")
SORT_FIELDS_BY_TARGET = {
    "KEY": "key",
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
}
COMPARE_TARGETS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
COMPARE_FIELDS_BY_TARGET = {**SORT_FIELDS_BY_TARGET, "LEASE": "lease"}
COMPARE_RESULTS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
OPERATORS_BY_RESULT: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "GREATER": operator.gt,
    "LESS": operator.lt,
    "NOT_EQUAL": operator.ne,
}
FILTERS_BY_NAME: dict[str, tuple[str, Callable[[Any, Any], bool]]] = {
    "min_mod_revision": ("mod_revision", operator.ge),
    "max_mod_revision": ("mod_revision", operator.le),
    "min_create_revision": ("create_revision", operator.ge),
    "max_create_revision": ("create_revision", operator.le),
}
MUTATIONS = ("request_put", "request_delete_range", "request_txn")


def execute_range(state: KeyValueState, body: dict[str, Any]) -> dict[str, Any]:
    """Reads the keys of a range.

    Args:
        state: The store.
        body: A RangeRequest.

    Returns:
        A RangeResponse without its header.

    Raises:
        KeyValueError: If the request is invalid or the revision cannot be read.
    """
    check_range(state, body)
    revision = read_int(body, "revision")
    found = state.select(read_bytes(body, "key"), read_bytes(body, "range_end"), revision)
    count = len(found)
    if body.get("count_only"):
        return build_message(count=count)
    matching = _sort(_filter(found, body), body)
    limit = read_int(body, "limit")
    returned = matching[:limit] if limit > 0 else matching
    keys_only = bool(body.get("keys_only"))
    kvs = [build_key_value(version, keys_only) for version in returned]
    return build_message(kvs=kvs, more=len(returned) < len(matching), count=count)


def execute_put(state: KeyValueState, body: dict[str, Any]) -> dict[str, Any]:
    """Writes a key without committing the change.

    Args:
        state: The store.
        body: A valid PutRequest.

    Returns:
        A PutResponse without its header.
    """
    key = read_bytes(body, "key")
    before = state.get(key)
    value = read_bytes(body, "value")
    lease = read_int(body, "lease")
    if before is not None and body.get("ignore_value"):
        value = before.value
    if before is not None and body.get("ignore_lease"):
        lease = before.lease
    state.put(key, value, lease)
    if before is None or not body.get("prev_kv"):
        return {}
    return build_message(prev_kv=build_key_value(before))


def execute_delete(state: KeyValueState, body: dict[str, Any]) -> dict[str, Any]:
    """Deletes the keys of a range without committing the change.

    Args:
        state: The store.
        body: A valid DeleteRangeRequest.

    Returns:
        A DeleteRangeResponse without its header.
    """
    deleted = state.delete(read_bytes(body, "key"), read_bytes(body, "range_end"))
    prev_kvs = [build_key_value(version) for version in deleted] if body.get("prev_kv") else []
    return build_message(deleted=len(deleted), prev_kvs=prev_kvs)


def execute_txn(state: KeyValueState, body: dict[str, Any]) -> dict[str, Any]:
    """Executes a transaction without committing it; an invalid transaction changes no key.

    Args:
        state: The store.
        body: A TxnRequest.

    Returns:
        A TxnResponse without its header; the headers of its parts have the revision after the
        commit.

    Raises:
        KeyValueError: If the request is invalid.
    """
    branches = [body.get("success") or [], body.get("failure") or []]
    for operations in [body.get("compare") or [], *branches]:
        if len(operations) > MAX_OPERATIONS:
            raise KeyValueError(INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
    for operations in branches:
        _check_unique_keys(operations)
    compare_results = [_evaluate_compare(state, compare) for compare in body.get("compare") or []]
    succeeded = all(compare_results)
    chosen = branches[0 if succeeded else 1]
    for operation in chosen:
        _check_operation(state, operation)
    responses = [_execute_operation(state, operation) for operation in chosen]
    revision = state.next_revision()
    for response in responses:
        for part in response.values():
            part["header"] = build_message(revision=revision)
    return build_message(succeeded=succeeded, responses=responses)


def mutates(body: dict[str, Any]) -> bool:
    """Returns whether either branch of a transaction has an operation that writes.

    Args:
        body: A TxnRequest.
    """
    operations = [*(body.get("success") or []), *(body.get("failure") or [])]
    return any(name in operation for operation in operations for name in MUTATIONS)


def check_range(state: KeyValueState, body: dict[str, Any]) -> None:
    """Checks a RangeRequest.

    Args:
        state: The store.
        body: The request.

    Raises:
        KeyValueError: If the key is missing or the revision cannot be read.
    """
    check_key(state, body)
    state.check_revision(read_int(body, "revision"))
    read_enum(body, "sort_order", SORT_ORDERS)
    read_enum(body, "sort_target", SORT_TARGETS)


def check_key(state: KeyValueState, body: dict[str, Any]) -> None:
    """Checks that a request names a key.

    Args:
        state: The store.
        body: The request.

    Raises:
        KeyValueError: If the key is missing.
    """
    read_bytes(body, "range_end")
    if not read_bytes(body, "key"):
        raise KeyValueError(INVALID_ARGUMENT, "etcdserver: key is not provided")


def check_put(state: KeyValueState, body: dict[str, Any]) -> None:
    """Checks a PutRequest.

    Args:
        state: The store.
        body: The request.

    Raises:
        KeyValueError: If the key is missing, the lease does not exist, or the request sets or
            lacks a value or lease that it asks to keep.
    """
    check_key(state, body)
    if body.get("ignore_value") and read_bytes(body, "value"):
        raise KeyValueError(INVALID_ARGUMENT, "etcdserver: value is provided")
    if body.get("ignore_lease") and read_int(body, "lease"):
        raise KeyValueError(INVALID_ARGUMENT, "etcdserver: lease is provided")
    keeps_fields = body.get("ignore_value") or body.get("ignore_lease")
    if keeps_fields and state.get(read_bytes(body, "key")) is None:
        raise KeyValueError(INVALID_ARGUMENT, "etcdserver: key not found")
    read_bytes(body, "value")
    lease = read_int(body, "lease")
    if lease and lease not in state.leases_by_id:
        raise KeyValueError(NOT_FOUND, "etcdserver: requested lease not found")


OPERATIONS_BY_NAME = {
    "request_range": ("response_range", check_range, execute_range),
    "request_put": ("response_put", check_put, execute_put),
    "request_delete_range": ("response_delete_range", check_key, execute_delete),
}


def _check_operation(state: KeyValueState, operation: dict[str, Any]) -> None:
    """Checks an operation of a transaction."""
    if len(operation) != 1 or not operation.keys() <= OPERATIONS_BY_NAME.keys():
        raise KeyValueError(UNIMPLEMENTED, "the stand-in knows no such operation in txn request")
    for name, body in operation.items():
        OPERATIONS_BY_NAME[name][1](state, body)


def _execute_operation(state: KeyValueState, operation: dict[str, Any]) -> dict[str, Any]:
    """Executes an operation of a transaction."""
    name, body = next(iter(operation.items()))
    response_name, _, execute = OPERATIONS_BY_NAME[name]
    return {response_name: execute(state, body)}


def _check_unique_keys(operations: list[dict[str, Any]]) -> None:
    """Checks that a branch writes no key twice, as the real service does."""
    puts = [
        read_bytes(operation["request_put"], "key")
        for operation in operations
        if "request_put" in operation
    ]
    deletes = [
        operation["request_delete_range"] for operation in operations if MUTATIONS[1] in operation
    ]
    ranges = [(read_bytes(delete, "key"), read_bytes(delete, "range_end")) for delete in deletes]
    has_conflict = any(in_range(key, start, end) for key in puts for start, end in ranges)
    if has_conflict or len(set(puts)) < len(puts):
        raise KeyValueError(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")


def _evaluate_compare(state: KeyValueState, compare: dict[str, Any]) -> bool:
    """Returns whether a comparison holds for every key of its range."""
    check_key(state, compare)
    target = read_enum(compare, "target", COMPARE_TARGETS)
    matches = OPERATORS_BY_RESULT[read_enum(compare, "result", COMPARE_RESULTS)]
    name = COMPARE_FIELDS_BY_TARGET[target]
    expected: Any = read_bytes(compare, name) if target == "VALUE" else read_int(compare, name)
    key = read_bytes(compare, "key")
    found = state.select(key, read_bytes(compare, "range_end"))
    if not found and target == "VALUE":
        return False
    found = found or [Version(key, b"", 0, 0, 0)]
    return all(matches(getattr(version, name), expected) for version in found)


def _filter(found: list[Version], body: dict[str, Any]) -> list[Version]:
    """Returns the versions within the revision bounds of a RangeRequest."""
    for name, (field_name, is_within) in FILTERS_BY_NAME.items():
        bound = read_int(body, name)
        if bound:
            found = [version for version in found if is_within(getattr(version, field_name), bound)]
    return found


def _sort(found: list[Version], body: dict[str, Any]) -> list[Version]:
    """Returns the versions in the sort order of a RangeRequest."""
    field_name = SORT_FIELDS_BY_TARGET[read_enum(body, "sort_target", SORT_TARGETS)]
    descending = read_enum(body, "sort_order", SORT_ORDERS) == "DESCEND"
    return sorted(found, key=lambda version: getattr(version, field_name), reverse=descending)
