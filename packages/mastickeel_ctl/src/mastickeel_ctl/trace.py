"""Traces a request through logs: decisions, the instance's state at the end, and the cause."""

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
    "store_watch_begun": ("store", ""),
    "store_watch_left": ("store", ""),
    "endpoint_found": ("endpoint", "endpoint"),
    "endpoint_changed": ("endpoint", "endpoint"),
    "endpoint_gone": ("endpoint", "endpoint"),
    "endpoint_kept": ("endpoint", "endpoint"),
    "endpoint_paused": ("breaker", "endpoint"),
    "endpoint_trusted": ("breaker", "endpoint"),
    "endpoint_limited": ("limit", "endpoint"),
    "endpoint_limit_lifted": ("limit", "endpoint"),
    "endpoint_brittle": ("brittle", "endpoint"),
    "endpoint_brittle_lifted": ("brittle", "endpoint"),
    "endpoint_leaving": ("leaving", "endpoint"),
    "endpoint_away": ("away", "endpoint"),
    "release_plan": ("release", "service"),
    "path_lost": ("path", ""),
    "path_restored": ("path", ""),
    "stopping": ("process", ""),
    "started": ("process", ""),
    "crash_reported": ("content", "content"),
    "content_cleared": ("content", "content"),
    "part_refused": ("part", "part"),
    "part_cleared": ("part", "part"),
    "part_tried": ("part", "part"),
}
"""Kind of subject that each event reports on, and the event's field with the subject's id."""
OMITTED_FIELDS = frozenset({"event", "number", "level", "timestamp", "instance", "request"})
"""Fields left out of a row's details: in its other columns already, or not informative."""
CONFIGURATION_CODES = frozenset({"unauthorized", "not_found", "bad_request"})
"""Error codes that depend on the configuration in force."""


@dataclass(frozen=True)
class Row:
    """One row of a trace."""

    at: str
    instance: str
    what: str
    details: str


@dataclass
class Trace:
    """Decisions on a request in order, and the causes of its ends."""

    rows: list[Row] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)
    """One cause for each end: a caller that retries may reach several instances under one id."""


class InstanceState:
    """Newest log record of one instance about each subject, as known to that instance."""

    def __init__(self) -> None:
        """Creates a state without records."""
        self._newest_by_subject: dict[tuple[str, str], Record] = {}

    def apply(self, record: Record) -> None:
        """Replaces the newest record of a subject; the event is one of ``SUBJECT_BY_EVENT``."""
        kind, id_field = SUBJECT_BY_EVENT[record["event"]]
        self._newest_by_subject[kind, str(record.get(id_field, ""))] = record

    def newest(self, kind: str, subject_id: str = "") -> Record | None:
        """Returns the newest record about a subject; None when there is none."""
        return self._newest_by_subject.get((kind, subject_id))

    def newest_of_kind(self, kind: str) -> list[Record]:
        """Returns the newest record about each subject of a kind."""
        return [
            record for (of_kind, _), record in self._newest_by_subject.items() if of_kind == kind
        ]

    def newest_of_service(self, service: str) -> list[Record]:
        """Returns the newest record about each endpoint of a service."""
        return [
            record
            for record in self.newest_of_kind("endpoint")
            if record.get("service", service) == service
        ]

    def newest_related(self, record: Record) -> list[Record]:
        """Returns the newest records about the subjects that bear on a request's end record."""
        subjects = [("process", ""), ("store", ""), ("path", ""), ("configuration", "")]
        subjects.append(("release", str(record.get("service", ""))))
        for endpoint_id in dict.fromkeys(record.get("endpoints") or ()):
            subjects += [(kind, endpoint_id) for kind in ("endpoint", "breaker", "limit")]
        return [newest for subject in subjects if (newest := self._newest_by_subject.get(subject))]


def trace_request(records: Iterable[Record], request_id: str) -> Trace:
    """Traces one request.

    Args:
        records: Log records; those of one instance must be in order.
        request_id: The request id that the caller sent.
    """
    states_by_instance: dict[str, InstanceState] = defaultdict(InstanceState)
    sends: list[Record] = []
    result = Trace()
    for record in records:
        state = states_by_instance[str(record.get("instance", ""))]
        if record["event"] in SUBJECT_BY_EVENT:
            state.apply(record)
        if record.get("request") != request_id:
            continue
        if record["event"] == "send_ended":
            sends.append(record)
            result.rows.append(_make_row(record))
        elif record["event"] in END_EVENTS:
            result.rows += [
                _make_row(known, "believed: ") for known in state.newest_related(record)
            ]
            result.rows.append(_make_row(record))
            result.causes.append(explain_end(record, sends, state))
            sends = []
        else:
            result.rows.append(_make_row(record))
    return result


def sample_failed(
    records: Iterable[Record], count: int, seed: int, excluded_codes: Collection[str]
) -> list[str]:
    """Draws requests that were refused, that failed, or that got a status of 500 or above.

    Args:
        records: Log records.
        count: Number of requests to draw; all when there are fewer.
        seed: Seed of the draw; the same seed draws the same requests.
        excluded_codes: Error codes whose requests are not drawn, such as ``unauthorized``.

    Returns:
        The ids of the requests, in the order of the draw.
    """
    failed = {
        str(record["request"])
        for record in records
        if _has_failed(record) and record.get("code") not in excluded_codes
    }
    return random.Random(seed).sample(sorted(failed), min(count, len(failed)))


def _has_failed(record: Record) -> bool:
    """Returns whether a record is the end of a request that was refused or failed."""
    if record["event"] == "request_served":
        return int(record.get("status", 0)) >= 500
    return record["event"] in ("request_refused", "request_failed")


def explain_end(end: Record, sends: list[Record], state: InstanceState) -> str:
    """Explains the end of a request in a sentence; empty when the records do not show the cause.

    Args:
        end: The record of the request's end.
        sends: The records of the request's sends without a usable answer, in order.
        state: The instance's state at the end.
    """
    if end["event"] == "request_served":
        return _explain_served(end, sends)
    if end["event"] == "request_left":
        stage = "before" if end.get("first_ms") is None else "after"
        return f"The caller left after {end.get('took_ms')} ms, {stage} the first event."
    code = end.get("code", "")
    if code in CONFIGURATION_CODES:
        known = state.newest("configuration")
        since = known["timestamp"] if known else "the start"
        return (
            f"{code}: {end.get('detail', '')} "
            f"Configuration version {end.get('version')}, in force since {since}."
        )
    if code == "content_refused":
        return "The content had crashed endpoints before; see the crash_reported events."
    if code == "instance_stopping":
        return "The instance was to stop before the request could end; no endpoint got it."
    if code == "instance_stopped":
        return f"The instance stopped {end.get('took_ms')} ms after the request had come."
    if code == "part_refused":
        return f"{end.get('detail', '')} {_describe_parts(str(end.get('detail', '')), state)}"
    if code == "endpoints_limited":
        return f"Every endpoint's rate limit was used up: {_describe_limits(state)}."
    if code == "endpoints_brittle":
        return f"Every endpoint could be full and was brittle: {_describe_brittle(state)}."
    if code == "endpoints_away":
        return f"Every endpoint had turned requests away: {_describe_away(state)}."
    path = state.newest("path")
    if code == "unavailable" and path is not None and path["event"] == "path_lost":
        lost = f"Paths to {path.get('lost')} endpoints were lost at {path['timestamp']}"
        return f"{lost}, and no peer could help."
    if sends:
        return f"{code}: {_describe_sends(sends, state)}"
    if code == "deadline":
        endpoints = ", ".join(end.get("endpoints") or ()) or "no endpoint"
        over = f"The deadline passed after {end.get('took_ms')} ms"
        limit = f" ({end['detail'].rstrip('.')})" if end.get("detail") else ""
        done = "not answered" if end.get("first_ms") is None else "not finished the answer"
        return f"{over}{limit}; {endpoints} had {done}."
    if code == "unavailable":
        return _explain_unavailable(end, state)
    return ""


def count_reasons(records: Iterable[Record], top: int) -> list[tuple[int, str, str, str, str]]:
    """Counts the reasons for refused and failed requests and for failed sends.

    Args:
        records: Log records of the period.
        top: Maximum number of rows to return.

    Returns:
        Rows of count, event, code or reason, service or path, and endpoint; most frequent first.
    """
    counts: Counter[tuple[str, str, str, str]] = Counter()
    for record in records:
        event = record["event"]
        if event in ("request_refused", "request_failed"):
            target = str(record.get("service") or record.get("path", ""))
            counts[event, str(record.get("code", "")), target, ""] += 1
        elif event == "send_ended":
            reason = str(record.get("reason", "")).partition(":")[0]
            endpoint = str(record.get("endpoint", ""))
            counts[event, reason, str(record.get("service", "")), endpoint] += 1
    return [(count, *key) for key, count in counts.most_common(top)]


def _explain_served(end: Record, sends: list[Record]) -> str:
    """Explains whether an answer was an endpoint's error, late, or within its objective."""
    status = end.get("status", 0)
    endpoint = (end.get("endpoints") or ["an endpoint"])[-1]
    if status >= 400:
        return f"{endpoint} itself answered with {status}."
    first_ms, objective_ms = end.get("first_ms"), end.get("objective_ms")
    took_ms = end.get("took_ms") if first_ms is None else first_ms
    if took_ms is None or not objective_ms or took_ms <= objective_ms:
        return "Served within its latency objective."
    late = f"Late: {took_ms} ms, with a latency objective of {objective_ms} ms"
    if sends:
        return f"{late}; retried after {sends[-1].get('took_ms')} ms: {sends[-1].get('reason')}."
    return f"{late}; {endpoint} was busier than predicted ({end.get('foreseen_ms')} ms)."


def _describe_sends(sends: list[Record], state: InstanceState) -> str:
    """Lists each send's endpoint, the newest event about that endpoint, and the send's outcome."""
    parts = []
    for send in sends:
        endpoint = str(send.get("endpoint"))
        record = state.newest("endpoint", endpoint) or {}
        known = record.get("event", "never listed")
        parts.append(f"{endpoint} ({known}): {send.get('reason')}, then {send.get('then')}")
    return "; ".join(parts) + "."


def _describe_parts(detail: str, state: InstanceState) -> str:
    """Says since when, and for which crashes, the part named in a detail is refused."""
    refused = [
        f"Refused since {record['timestamp']}; crashed: {', '.join(record['endpoints'])}."
        for record in state.newest_of_kind("part")
        if record["event"] == "part_refused" and f" {record['part']} " in detail
    ]
    return " ".join(refused) or "The crashes were before these logs."


def _describe_limits(state: InstanceState) -> str:
    """Lists the rate limits in force, by endpoint."""
    limits = [
        f"{record['endpoint']} {record['per_second']} a second since {record['timestamp']}"
        for record in state.newest_of_kind("limit")
        if record["event"] == "endpoint_limited"
    ]
    return "; ".join(limits) or "none logged here"


def _describe_brittle(state: InstanceState) -> str:
    """Lists the endpoints that are brittle, with the refusals that they tolerate."""
    brittle = [
        f"{record['endpoint']} tolerates {record['per_second']} refusals a second"
        f" since {record['timestamp']}"
        for record in state.newest_of_kind("brittle")
        if record["event"] == "endpoint_brittle"
    ]
    return "; ".join(brittle) or "none logged here"


def _describe_away(state: InstanceState) -> str:
    """Lists the endpoints that have turned requests away for a time."""
    away = [
        f"{record['endpoint']} for {record['away_ms']} ms since {record['timestamp']}"
        for record in state.newest_of_kind("away")
    ]
    return "; ".join(away) or "none logged here"


def _list_leaving(service: str, state: InstanceState) -> str:
    """Lists the endpoints of a service that are listed and have said that they leave."""
    listed = {
        record["endpoint"]
        for record in state.newest_of_kind("endpoint")
        if record["event"] != "endpoint_gone" and record.get("service") == service
    }
    leaving = state.newest_of_kind("leaving")
    return ", ".join(record["endpoint"] for record in leaving if record["endpoint"] in listed)


def _explain_unavailable(end: Record, state: InstanceState) -> str:
    """Explains why no endpoint was available for a request."""
    process, store = state.newest("process"), state.newest("store")
    if process and process["event"] == "stopping":
        return f"The instance had been stopping since {process['timestamp']}."
    if leaving := _list_leaving(str(end.get("service")), state):
        return f"No other endpoint was known; these had said that they leave: {leaving}."
    if not end.get("version"):
        return "The instance had not loaded a configuration yet."
    removed = [
        record for record in state.newest_of_service(str(end.get("service"))) if _is_removed(record)
    ]
    facts = [
        f"{record['endpoint']} {record['event']} at {record['timestamp']}" for record in removed
    ]
    if store and store["event"] == "store_down":
        facts.append(f"the store was down since {store['timestamp']}")
    return (
        f"No endpoint of {end.get('service')} was available: "
        + ("; ".join(facts) or "none listed yet")
        + "."
    )


def _is_removed(record: Record) -> bool:
    """Returns whether a record says that an endpoint is removed or draining."""
    return record["event"] == "endpoint_gone" or bool(record.get("draining"))


def _make_row(record: Record, prefix: str = "") -> Row:
    details = [f"{name}={value}" for name, value in record.items() if name not in OMITTED_FIELDS]
    return Row(
        str(record.get("timestamp", "")),
        str(record.get("instance", "")),
        prefix + record["event"],
        " ".join(detail for detail in details if not detail.endswith(("=None", "="))),
    )
