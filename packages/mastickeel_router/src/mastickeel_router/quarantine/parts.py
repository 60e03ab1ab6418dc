"""Refusal of prompts with a part that crashes endpoints, from the crashes that the fleet has seen.

An endpoint that crashes holds many requests, so that each crash casts suspicion on every shared
part of their prompts. A part that causes crashes is in every one of them and never completes;
a sound part completes sooner or later, or its crashes are explained by another part.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import xxhash

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message
from mastickeel_router.quarantine.limits import CRASH_TTL_MS, MIN_CRASHES_KEPT
from mastickeel_router.quarantine.reports import (
    RESEND_FOR_MS,
    RESEND_INTERVAL_MS,
    TRIAL_DELAYS_MS,
    TRIAL_RETRY_MS,
    ContentRefusedError,
    count_failed_trials,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from mastickeel.clock import Clock

MIN_CRASHES = 3
"""Crashes without a success after which a part is refused that has never completed."""
MIN_CRASHES_PROVEN = 5
"""Crashes without a success after which a part is refused that has completed before."""
MIN_CONTENTS = 2
"""Different requests that must have crashed with a part: the content of a single one is refused by
itself."""
SAME_CAUSE_MS = 200
"""Time within which crashes count as one unless the same request was at both endpoints, one after
the other: endpoints that end together are ended by something else than a prompt."""
EXPLAINED_SHARE = 0.8
"""Share of a part's crashes that another part must have in common to explain them."""
MAX_CRASHES = 16
"""Number of the newest crashes that are kept for a part."""
MAX_SUSPECTS = 1_000
"""Maximum number of suspected parts; the oldest suspicion is dropped."""
MAX_PROVEN = 8_000
"""Maximum number of parts whose last success is kept."""
MAX_PARTS = 64
"""Maximum number of parts of one prompt that are considered."""
MAX_CONTENTS_KEPT = 16
"""Maximum number of contents that are kept for a crash."""
MAX_CO_OCCURRING = 4 * MAX_PARTS
"""Maximum number of co_occurring that are kept for a crash."""
MAX_ID_LENGTH = 32
"""Length above which the id of a part is replaced by a hash."""
MAX_KEPT = 100
"""Maximum number of parts whose crashes are kept in the store, those with the newest crashes."""
MAX_RESENT = 100
"""Maximum number of reports repeated at a time, newest first."""
RESENDERS = 3
"""Number of instances that repeat the reports of a part."""

T = TypeVar("T")

PART_REFUSED = define_event(
    2386,
    "part_refused",
    "error",
    "Prompts with this part have crashed endpoints and are refused from now on.",
)
PART_CLEARED = define_event(
    2387, "part_cleared", "info", "A prompt with a suspected part completed, which clears the part."
)
PART_TRIED = define_event(
    2388, "part_tried", "info", "One prompt with a refused part may run as a trial."
)


@message("part_crash")
@dataclass(frozen=True)
class PartCrashReport:
    """Report that an endpoint crashed while it held a prompt with these parts."""

    parts: tuple[str, ...]
    """Keys from ``list_part_keys``."""
    contents: tuple[int, ...]
    """Fingerprints of the contents of requests with these parts that the endpoint held."""
    lifetime: str
    """Id and start time in ms of the endpoint, as ``id/start``."""
    age_ms: int
    """Time since the crash."""
    co_occurring: tuple[str, ...] = ()
    """Other parts of prompts with these parts, which are not reported here."""
    proven: tuple[str, ...] = ()
    """Those of the parts that had completed before."""


@message("part_ran")
@dataclass(frozen=True)
class PartSuccessNotice:
    """Notice that a prompt with these suspected parts has completed."""

    parts: tuple[str, ...]


class PartRefusedError(ContentRefusedError):
    """Raised when a request is refused because a part of its prompt has crashed endpoints."""

    code = "part_refused"
    title = "Prompts with this part have crashed endpoints."
    remedy = "Leave the part out, or send the request again after the time in Retry-After."


@dataclass(frozen=True)
class _Crash:
    """Crash of an endpoint that held a suspected part."""

    at_ms: int
    contents: frozenset[int]
    """Contents of the requests that held the part."""
    co_occurring: frozenset[str]
    """Parts of the prompts that held the part."""

    def merge(self, other: _Crash) -> _Crash:
        """Returns what this and another report of the same crash show."""
        return _Crash(
            self.at_ms,
            _unite(self.contents, other.contents, MAX_CONTENTS_KEPT),
            _unite(self.co_occurring, other.co_occurring, MAX_CO_OCCURRING),
        )


def _unite(known: frozenset[T], added: frozenset[T], limit: int) -> frozenset[T]:
    """Returns the union of two sets, or the first one if the union is over the limit."""
    united = known | added
    return united if len(united) <= limit else known


@dataclass
class _Suspect:
    """Crashes of one part since it last completed."""

    key: str
    is_proven: bool = False
    """Whether the part had completed before its first crash."""
    crashes_by_lifetime: dict[str, _Crash] = field(default_factory=dict)
    distinct_crashes_ms: list[int] = field(default_factory=list)
    """Times of the crashes without those that came together with another."""
    tried_ms: int | None = None
    """Time of the last trial on this instance."""

    @property
    def exceeds_threshold(self) -> bool:
        """Whether the crashes are too many for a coincidence, unless another part explains them."""
        needed = MIN_CRASHES_PROVEN if self.is_proven else MIN_CRASHES
        if len(self.distinct_crashes_ms) < needed:
            return False
        contents: set[int] = set()
        return (
            len(contents.union(*(one.contents for one in self.crashes_by_lifetime.values())))
            >= MIN_CONTENTS
        )

    @property
    def next_trial_ms(self) -> int:
        """Time of the next trial, or of the expiry of the crashes after the last one.

        Failed trials are counted from the gaps between crashes, which all instances know.
        """
        failed = count_failed_trials(self.distinct_crashes_ms)
        delay_ms = TRIAL_DELAYS_MS[failed] if failed < len(TRIAL_DELAYS_MS) else CRASH_TTL_MS
        return max(self.distinct_crashes_ms[-1], self.tried_ms or 0) + delay_ms

    def add(self, lifetime: str, crash: _Crash) -> None:
        """Adds a crash, or what another report shows of a known one; drops the oldest of many."""
        known = self.crashes_by_lifetime.get(lifetime)
        self.crashes_by_lifetime[lifetime] = crash if known is None else known.merge(crash)
        if len(self.crashes_by_lifetime) > MAX_CRASHES:
            oldest = min(self.crashes_by_lifetime, key=self._crashed_ms)
            del self.crashes_by_lifetime[oldest]
        self.distinct_crashes_ms.clear()
        contents: set[int] = set()
        for one in sorted(self.crashes_by_lifetime.values(), key=lambda one: one.at_ms):
            is_later = (
                not self.distinct_crashes_ms
                or one.at_ms - self.distinct_crashes_ms[-1] >= SAME_CAUSE_MS
            )
            if is_later or not contents.isdisjoint(one.contents):
                self.distinct_crashes_ms.append(one.at_ms)
                contents.clear()
            contents |= one.contents

    def is_explained_by(self, other: _Suspect) -> bool:
        """Returns whether another part was in most of these crashes and is as likely the cause.

        Chance brings two parts to the same few crashes; to more of them only a common prompt does.
        """
        if other.is_proven and not self.is_proven:
            return False
        crashes = self.crashes_by_lifetime
        common = crashes.keys() & other.crashes_by_lifetime.keys()
        if self.is_proven:
            return len(common) >= EXPLAINED_SHARE * len(crashes)
        if len(self.distinct_crashes_ms) >= MIN_CRASHES_PROVEN:
            return all(other.key in crash.co_occurring for crash in crashes.values())
        return len(common) == len(crashes)

    def _crashed_ms(self, lifetime: str) -> int:
        return self.crashes_by_lifetime[lifetime].at_ms


class PartSuspicions:
    """Tracks the crashes of prompts' parts over the fleet and refuses parts that cause them."""

    def __init__(self, clock: Clock, rank_of: Callable[[str], int] = lambda part: 0) -> None:
        """Creates the tracker without suspicions.

        Args:
            clock: Times crashes and trials.
            rank_of: Returns this instance's rank among all for a part: the first one runs the
                trials of the part, and the first RESENDERS repeat its reports.
        """
        self.on_crash: list[Callable[[PartCrashReport], None]] = []
        """Callbacks for each crash seen on this instance and for each repeated report."""
        self.on_success: list[Callable[[PartSuccessNotice], None]] = []
        """Callbacks for successes of suspected parts that peers need to know of."""
        self._clock = clock
        self._rank_of = rank_of
        self._suspects_by_part: dict[str, _Suspect] = {}
        self._completed_ms_by_part: OrderedDict[str, int] = OrderedDict()

    @property
    def refused_parts(self) -> list[str]:
        """Keys of the parts that are refused in a prompt without other suspected parts."""
        return [part for part, one in self._suspects_by_part.items() if one.exceeds_threshold]

    def is_suspected(self, parts: Sequence[str]) -> bool:
        """Returns whether one of these parts was in a crash since it last completed."""
        return any(part in self._suspects_by_part for part in parts)

    def check(self, parts: Sequence[str]) -> None:
        """Checks whether a prompt may run; may start a trial of its refused parts.

        Args:
            parts: Keys of the prompt's parts.

        Raises:
            PartRefusedError: If a part has crashed too many endpoints; nothing ran.
        """
        if not self._suspects_by_part:
            return
        now = self._clock.now()
        refused = [suspect for suspect in map(self._active_suspect, parts) if suspect is not None]
        refused = [suspect for suspect in refused if self._is_refused(suspect, parts)]
        if not refused:
            return
        next_trial_ms = max(suspect.next_trial_ms for suspect in refused)
        if now >= next_trial_ms and self._rank_of(refused[0].key) == 0:
            for suspect in refused:
                suspect.tried_ms = now
                log(PART_TRIED, part=suspect.key, crashes=len(suspect.distinct_crashes_ms))
            return
        raise PartRefusedError(
            f"Prompts with part {refused[0].key} are refused.",
            retry_after_ms=max(TRIAL_RETRY_MS, next_trial_ms - now),
        )

    def record_crash(self, parts: Sequence[str], content: int, lifetime: str) -> None:
        """Records a crash seen on this instance and reports it to the callbacks.

        Args:
            parts: Keys of the prompt's parts.
            content: Fingerprint of the request's content.
            lifetime: Id and start time in ms of the endpoint, as ``id/start``.
        """
        if not parts:
            return
        proven = tuple(part for part in parts if part in self._completed_ms_by_part)
        report = PartCrashReport(tuple(parts), (content,), lifetime, 0, proven=proven)
        self.apply_crash_report(report)
        for callback in self.on_crash:
            callback(report)

    def apply_crash_report(self, report: PartCrashReport) -> None:
        """Records a reported crash for each of its parts that has not completed since."""
        crashed_ms = self._clock.now() - report.age_ms
        contents = frozenset(report.contents[:MAX_CONTENTS_KEPT])
        co_occurring = frozenset((*report.parts, *report.co_occurring)[:MAX_CO_OCCURRING])
        crash = _Crash(crashed_ms, contents, co_occurring)
        for part in report.parts[:MAX_PARTS]:
            completed_ms = self._completed_ms_by_part.get(part)
            if completed_ms is not None and crashed_ms <= completed_ms:
                continue
            suspect = self._active_suspect(part)
            if suspect is None:
                suspect = self._suspects_by_part[part] = _Suspect(part)
            suspect.is_proven |= completed_ms is not None or part in report.proven
            exceeded_before = suspect.exceeds_threshold
            suspect.add(report.lifetime, crash)
            if suspect.exceeds_threshold and not exceeded_before:
                log(PART_REFUSED, part=part, endpoints=list(suspect.crashes_by_lifetime))
        while len(self._suspects_by_part) > MAX_SUSPECTS:
            del self._suspects_by_part[next(iter(self._suspects_by_part))]

    def record_success(self, parts: Sequence[str]) -> None:
        """Clears the parts of a prompt that completed here, and notifies the callbacks."""
        if suspected := self._clear(parts):
            for callback in self.on_success:
                callback(PartSuccessNotice(tuple(suspected)))

    def apply_success(self, notice: PartSuccessNotice) -> None:
        """Clears the parts of a prompt that completed on another instance."""
        self._clear(notice.parts)

    def list_kept(self) -> dict[str, tuple[PartCrashReport, ...]]:
        """Returns the crashes that the store keeps, by a name of the part."""
        suspects = [
            suspect
            for part, suspect in list(self._suspects_by_part.items())
            if len(suspect.distinct_crashes_ms) >= MIN_CRASHES_KEPT
            and self._active_suspect(part) is not None
        ]
        suspects.sort(key=lambda suspect: -suspect.distinct_crashes_ms[-1])
        return {
            xxhash.xxh3_64_hexdigest(suspect.key.encode()): tuple(self._report_crashes(suspect))
            for suspect in suspects[:MAX_KEPT]
        }

    async def run_resending(self) -> None:
        """Repeats the reports of suspected parts until cancelled."""
        while True:
            await self._clock.sleep(RESEND_INTERVAL_MS)
            for report in self._list_reports():
                for callback in self.on_crash:
                    callback(report)

    def _report_crashes(self, suspect: _Suspect) -> list[PartCrashReport]:
        """Returns the reports of one part's crashes."""
        now = self._clock.now()
        proven = (suspect.key,) if suspect.is_proven else ()
        return [
            PartCrashReport(
                (suspect.key,),
                tuple(crash.contents),
                lifetime,
                now - crash.at_ms,
                tuple(crash.co_occurring.difference((suspect.key,))),
                proven,
            )
            for lifetime, crash in suspect.crashes_by_lifetime.items()
        ]

    def _is_refused(self, suspect: _Suspect, parts: Collection[str]) -> bool:
        """Returns whether a prompt is refused for a part: no part outside of it is the cause."""
        return suspect.exceeds_threshold and not any(
            suspect.is_explained_by(other)
            for other in self._suspects_by_part.values()
            if other.key not in parts and other.exceeds_threshold
        )

    def _clear(self, parts: Sequence[str]) -> list[str]:
        """Records a success of parts and returns those that were suspected."""
        suspected = []
        for part in parts:
            self._completed_ms_by_part[part] = self._clock.now()
            self._completed_ms_by_part.move_to_end(part)
            suspect = self._suspects_by_part.pop(part, None)
            if suspect is None:
                continue
            suspected.append(part)
            if suspect.exceeds_threshold:
                log(PART_CLEARED, part=part, crashes=len(suspect.distinct_crashes_ms))
        while len(self._completed_ms_by_part) > MAX_PROVEN:
            self._completed_ms_by_part.popitem(last=False)
        return suspected

    def _active_suspect(self, part: str) -> _Suspect | None:
        """Returns the crashes of a part, or None if it has none that still count."""
        suspect = self._suspects_by_part.get(part)
        if suspect and suspect.distinct_crashes_ms[-1] + CRASH_TTL_MS <= self._clock.now():
            del self._suspects_by_part[part]
            return None
        return suspect

    def _list_reports(self) -> list[PartCrashReport]:
        """Returns the reports that this instance repeats, newest first.

        Those of refused parts are repeated until they expire, for instances that start meanwhile.
        """
        now = self._clock.now()
        parts_by_crash: dict[tuple[str, _Crash], list[str]] = {}
        for part, suspect in self._suspects_by_part.items():
            if len(suspect.distinct_crashes_ms) < 2 or self._rank_of(part) >= RESENDERS:
                continue
            for lifetime, crash in suspect.crashes_by_lifetime.items():
                if suspect.exceeds_threshold or now - crash.at_ms < RESEND_FOR_MS:
                    parts_by_crash.setdefault((lifetime, crash), []).append(part)
        newest = sorted(parts_by_crash.items(), key=lambda item: -item[0][1].at_ms)[:MAX_RESENT]
        return [
            PartCrashReport(
                tuple(parts),
                tuple(crash.contents),
                lifetime,
                now - crash.at_ms,
                tuple(crash.co_occurring.difference(parts)),
                tuple(part for part in parts if self._suspects_by_part[part].is_proven),
            )
            for (lifetime, crash), parts in newest
        ]


def list_part_keys(service: str, part_ids: Sequence[str]) -> tuple[str, ...]:
    """Returns the keys of a prompt's shared parts; the last part belongs to the request alone.

    Args:
        service: Service that runs the prompt; a part may crash the endpoints of one service only.
        part_ids: Ids of the prompt's parts in order.
    """
    shared = dict.fromkeys(part_ids[:-1][:MAX_PARTS])
    return tuple(f"{service}/{_shorten(part_id)}" for part_id in shared)


def _shorten(part_id: str) -> str:
    """Returns a part's id, or its hash if callers chose a long one."""
    return part_id if len(part_id) <= MAX_ID_LENGTH else xxhash.xxh3_64_hexdigest(part_id.encode())
