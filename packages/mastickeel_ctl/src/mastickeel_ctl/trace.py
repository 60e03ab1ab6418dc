"""Follows one request through the logs: its decisions, what was believed then, and the cause."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

Record = dict[str, Any]

END_EVENTS = frozenset({"request_served", "request_refused", "request_failed", "request_left"})
SUBJECT_BY_EVENT = {
    "routes_in_force": ("configuration", ""),
    "store_down": ("store", ""),
    "store_up": ("store", ""),
    "endpoint_found": ("endpoint", "endpoint"),
    "endpoint_changed": ("endpoint", "endpoint"),
    "endpoint_gone": ("endpoint", "endpoint"),
    "endpoint_kept": ("endpoint", "endpoint"),
    "endpoint_paused": ("breaker", "endpoint"),
    "endpoint_trusted": ("breaker", "endpoint"),
    "release_plan": ("release", "service"),
    "stopping": ("process", ""),
    "started": ("process", ""),
    "crash_reported": ("content", "content"),
    "content_cleared": ("content", "content"),
}
"""What each event changes the belief of: a kind, and the field that names which one."""
OMITTED_FIELDS = frozenset({"event", "number", "level", "timestamp", "instance", "request"})
"""Fields that a row has already or that say nothing of the case."""
CONFIGURATION_CODES = frozenset({"unauthorized", "not_found", "bad_request"})


@dataclass(frozen=True)
class Row:
    """One line of a trace."""

    at: str
    instance: str
    what: str
    details: str


@dataclass
class Trace:
    """A request's decisions in order, and why it ended as it did."""

    rows: list[Row] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)
    """One for each end: a caller's attempt may have come to one instance only."""


class InstanceState:
    """What one instance believed at a moment, as its lines told."""

    def __init__(self) -> None:
        """Makes it with nothing known."""
        self._newest: dict[tuple[str, str], Record] = {}

    def record(self, record: Record) -> None:
        """Takes a line that changes what is believed."""
        kind, name_field = SUBJECT_BY_EVENT[record["event"]]
        self._newest[kind, str(record.get(name_field, ""))] = record

    def newest(self, kind: str, name: str = "") -> Record | None:
        """Returns the newest line about something; None when there was none."""
        return self._newest.get((kind, name))

    def newest_of_service(self, service: str) -> list[Record]:
        """Returns the newest line about each endpoint of a service."""
        return [
            record
            for (kind, _), record in self._newest.items()
            if kind == "endpoint" and record.get("service", service) == service
        ]

    def newest_related(self, record: Record) -> list[Record]:
        """Returns what was believed of all that a request's line names."""
        wanted = [("process", ""), ("store", ""), ("configuration", "")]
        wanted.append(("release", str(record.get("service", ""))))
        for endpoint_id in dict.fromkeys(record.get("endpoints") or ()):
            wanted += [("endpoint", endpoint_id), ("breaker", endpoint_id)]
        return [found for one in wanted if (found := self._newest.get(one))]


def trace_request(records: Iterable[Record], request_id: str) -> Trace:
    """Follows one request.

    Args:
        records: Log lines; those of one instance in order.
        request_id: The id that the caller sent.
    """
    beliefs_by_instance: dict[str, InstanceState] = defaultdict(InstanceState)
    sends: list[Record] = []
    found = Trace()
    for record in records:
        beliefs = beliefs_by_instance[str(record.get("instance", ""))]
        if record["event"] in SUBJECT_BY_EVENT:
            beliefs.record(record)
        if record.get("request") != request_id:
            continue
        if record["event"] == "send_ended":
            sends.append(record)
            found.rows.append(_row(record))
        elif record["event"] in END_EVENTS:
            found.rows += [_row(one, "believed: ") for one in beliefs.newest_related(record)]
            found.rows.append(_row(record))
            found.causes.append(explain_end(record, sends, beliefs))
            sends = []
        else:
            found.rows.append(_row(record))
    return found


def sample_failed(
    records: Iterable[Record], count: int, seed: int, excluded_codes: Collection[str]
) -> list[str]:
    """Draws requests that were refused, failed, or answered with an endpoint's own failure.

    Args:
        records: Log lines.
        count: How many to draw; all when there are fewer.
        seed: Draws the same ones again.
        excluded_codes: Error codes whose requests are not drawn, such as ``unauthorized``.

    Returns:
        Ids of requests, in the order of the draw.
    """
    failed = {
        str(record["request"])
        for record in records
        if _has_failed(record) and record.get("code") not in excluded_codes
    }
    return random.Random(seed).sample(sorted(failed), min(count, len(failed)))


def _has_failed(record: Record) -> bool:
    """Whether a line is the end of a request that did not get a good answer."""
    if record["event"] == "request_served":
        return int(record.get("status", 0)) >= 500
    return record["event"] in ("request_refused", "request_failed")


def explain_end(end: Record, sends: list[Record], state: InstanceState) -> str:
    """Says in a sentence why a request ended as it did; empty when the lines do not tell.

    Args:
        end: The line of its end.
        sends: Its sends without a usable answer, in order.
        state: What its instance knew at that moment.
    """
    if end["event"] == "request_served":
        return _cause_served(end, sends)
    if end["event"] == "request_left":
        stage = "before" if end.get("first_ms") is None else "after"
        return f"The caller left after {end.get('took_ms')} ms, {stage} the first event."
    code = end.get("code", "")
    if code in CONFIGURATION_CODES:
        known = state.newest("configuration")
        since = known["timestamp"] if known else "the start"
        return f"{code}: {end.get('detail', '')} By version {end.get('version')}, since {since}."
    if code == "content_refused":
        return "The content had crashed endpoints: see crash_reported."
    if sends:
        return f"{code}: {_last_sends(sends, state)}"
    if code == "deadline":
        endpoints = ", ".join(end.get("endpoints") or ()) or "no endpoint"
        over = f"The time was over after {end.get('took_ms')} ms"
        limit = f" ({end['detail'].rstrip('.')})" if end.get("detail") else ""
        done = "not answered" if end.get("first_ms") is None else "not come to the answer's end"
        return f"{over}{limit}; {endpoints} had {done}."
    if code == "unavailable":
        return _cause_unavailable(end, state)
    return ""


def count_reasons(records: Iterable[Record], top: int) -> list[tuple[int, str, str, str, str]]:
    """Counts why requests were refused or failed.

    Args:
        records: Log lines of the window.
        top: How many rows to return.

    Returns:
        Count, event, code or reason, service or path, and endpoint; the most frequent first.
    """
    counts: Counter[tuple[str, str, str, str]] = Counter()
    for record in records:
        event = record["event"]
        if event in ("request_refused", "request_failed"):
            where = str(record.get("service") or record.get("path", ""))
            counts[event, str(record.get("code", "")), where, ""] += 1
        elif event == "send_ended":
            reason = str(record.get("reason", "")).partition(":")[0]
            endpoint = str(record.get("endpoint", ""))
            counts[event, reason, str(record.get("service", "")), endpoint] += 1
    return [(count, *key) for key, count in counts.most_common(top)]


def _cause_served(end: Record, sends: list[Record]) -> str:
    """Says of an answer whether it was an endpoint's failure or late."""
    status = end.get("status", 0)
    endpoint = (end.get("endpoints") or ["an endpoint"])[-1]
    if status >= 400:
        return f"{endpoint} itself answered with {status}."
    first_ms, objective_ms = end.get("first_ms"), end.get("objective_ms")
    took_ms = end.get("took_ms") if first_ms is None else first_ms
    if took_ms is None or not objective_ms or took_ms <= objective_ms:
        return "Served within its latency objective."
    late = f"Late: {took_ms} ms against {objective_ms} ms"
    if sends:
        return f"{late}; sent again after {sends[-1].get('took_ms')} ms: {sends[-1].get('reason')}."
    return f"{late}; {endpoint} was busier than foreseen ({end.get('foreseen_ms')} ms)."


def _last_sends(sends: list[Record], beliefs: InstanceState) -> str:
    """Says what became of each send, and of its endpoint."""
    parts = []
    for send in sends:
        endpoint = str(send.get("endpoint"))
        state = beliefs.newest("endpoint", endpoint) or {}
        known = state.get("event", "never listed")
        parts.append(f"{endpoint} ({known}): {send.get('reason')}, then {send.get('then')}")
    return "; ".join(parts) + "."


def _cause_unavailable(end: Record, beliefs: InstanceState) -> str:
    """Says why no endpoint could be asked."""
    process, store = beliefs.newest("process"), beliefs.newest("store")
    if process and process["event"] == "stopping":
        return f"The instance was stopping since {process['timestamp']}."
    if not end.get("version"):
        return "The instance had read no configuration yet."
    gone = [one for one in beliefs.newest_of_service(str(end.get("service"))) if _is_out(one)]
    said = [f"{one['endpoint']} {one['event']} at {one['timestamp']}" for one in gone]
    if store and store["event"] == "store_down":
        said.append(f"the store was down since {store['timestamp']}")
    return (
        f"No endpoint of {end.get('service')} was known: " + ("; ".join(said) or "none yet") + "."
    )


def _is_out(record: Record) -> bool:
    """Whether a line says that an endpoint takes no new work."""
    return record["event"] == "endpoint_gone" or bool(record.get("draining"))


def _row(record: Record, prefix: str = "") -> Row:
    fields = [f"{name}={value}" for name, value in record.items() if name not in OMITTED_FIELDS]
    return Row(
        str(record.get("timestamp", "")),
        str(record.get("instance", "")),
        prefix + record["event"],
        " ".join(one for one in fields if not one.endswith(("=None", "="))),
    )
