"""Refusal of contents that crash endpoints, based on crash reports between instances.

Unlike the permits of ``guard``, crash reports suit endpoints that restart by themselves within
seconds: a content may crash REFUSED_AFTER_CRASHES of them before it is refused, and sends do not
wait for a quorum.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

import msgspec
import xxhash

from mastickeel.errors import UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message
from mastickeel_router.quarantine.fingerprints import format_fingerprint
from mastickeel_router.quarantine.limits import CRASH_TTL_MS, MAX_CONTENTS, MIN_CRASHES_KEPT

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock

REFUSED_AFTER_CRASHES = 3
"""Crashes after which a content is refused; the users' requirements count its retries after the
third crash."""
TRIAL_DELAYS_MS = (10_000, 60_000)
"""Delays after the last crash at which one instance runs a refused content again as a trial, since
the crashes may be a coincidence. There are fewer trials than the three retries that the users'
requirements allow after the third crash."""
TRIAL_RETRY_MS = 2_000
"""Retry time while another instance runs a trial; about the duration of a trial."""
TRIAL_GAP_MS = 9_000
"""Time between two crashes from which the later one was that of a trial: below the first delay, as
reports of the same crash differ by the time that they take."""
MAX_CLEARED = 1_000
"""Number of contents whose last success is kept, to ignore reports of earlier crashes."""
RESEND_INTERVAL_MS = 1_000
"""Interval of repeated crash reports, for instances that were unreachable or have just started.
Well within the three seconds in which, by the users' requirements, all instances know a report."""
RESEND_FOR_MS = 120_000
"""How long a crash report is repeated. Instances that have not received the report by then do not
count the crash."""

CRASH_REPORTED = define_event(
    2380,
    "crash_reported",
    "warning",
    "A content crashed an endpoint, as seen by this instance or reported by a peer.",
)
CONTENT_TRIED = define_event(
    2384,
    "content_tried",
    "info",
    "A refused content may run once as a trial, since the crashes may be coincidence.",
)
CONTENT_CLEARED = define_event(
    2381,
    "content_cleared",
    "info",
    "A suspected content completed, so its recorded crashes were cleared.",
)


@message("content_crash")
@dataclass(frozen=True)
class ContentCrashReport:
    """Report that a content has crashed an endpoint."""

    content: int
    """Fingerprint of the content."""
    lifetime: str
    """Id and start time in ms of the endpoint, as ``id/start``; each start counts as one crash,
    however many instances report the crash."""
    age_ms: int
    """Time since the crash."""
    trials: int = 0
    """Number of trials of the content since it was first refused."""


@message("content_ran")
@dataclass(frozen=True)
class ContentSuccessNotice:
    """Notice that a suspected content has completed."""

    content: int


class ContentRefusedError(UnavailableError):
    """Raised when a request is refused because its content has crashed endpoints."""

    code = "content_refused"
    title = "Requests with this content have crashed endpoints."
    remedy = "Change the request, or send it again after the time in Retry-After."


@dataclass
class _Suspect:
    """Crashes of one content."""

    crashed_ms_by_lifetime: dict[str, int] = field(default_factory=dict)
    """Time of each crash, by lifetime of the endpoint that crashed."""
    begun_trials: int = 0
    """Number of trials that are known to have begun since the content was first refused."""

    @property
    def last_crash_ms(self) -> int:
        """Time of the last crash."""
        return max(self.crashed_ms_by_lifetime.values())

    @property
    def trials(self) -> int:
        """Number of trials since the content was first refused.

        The crashes tell of trials whose begin is not known here.
        """
        crashes_ms = sorted(self.crashed_ms_by_lifetime.values())[REFUSED_AFTER_CRASHES - 1 :]
        return max(self.begun_trials, count_failed_trials(crashes_ms))

    @property
    def next_attempt_ms(self) -> int:
        """Time of the next trial or, after the last trial, of the expiry of the crashes."""
        trials = self.trials
        delay_ms = TRIAL_DELAYS_MS[trials] if trials < len(TRIAL_DELAYS_MS) else CRASH_TTL_MS
        return self.last_crash_ms + delay_ms


class CrashReports:
    """Tracks the crashes of contents and refuses contents that crash endpoints."""

    def __init__(
        self, clock: Clock, runs_trial: Callable[[int], bool] = lambda fingerprint: True
    ) -> None:
        """Creates the tracker without crashes.

        Args:
            clock: Times the expiry of crashes.
            runs_trial: Returns whether this instance runs the trials of a content, by fingerprint.
        """
        self.on_crash: list[Callable[[ContentCrashReport], None]] = []
        """Callbacks for each crash seen on this instance and for each repeated report."""
        self.on_success: list[Callable[[ContentSuccessNotice], None]] = []
        """Callbacks for successes of suspected contents that peers need to know of."""
        self._clock = clock
        self._runs_trial = runs_trial
        self._cleared_ms_by_fingerprint: OrderedDict[int, int] = OrderedDict()
        self._suspects_by_fingerprint: dict[int, _Suspect] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspected; otherwise no request needs a fingerprint."""
        return bool(self._suspects_by_fingerprint)

    def is_suspected(self, fingerprint: int) -> bool:
        """Returns whether a content has crashed an endpoint and has not completed since."""
        return self._active_suspect(fingerprint) is not None

    def check(self, fingerprint: int) -> None:
        """Checks whether a content may run; may start a trial of a refused content.

        Args:
            fingerprint: Fingerprint from ``compute_relay_fingerprint``.

        Raises:
            ContentRefusedError: If the content has crashed REFUSED_AFTER_CRASHES endpoints; nothing
                ran.
        """
        suspect = self._active_suspect(fingerprint)
        if suspect is None or len(suspect.crashed_ms_by_lifetime) < REFUSED_AFTER_CRASHES:
            return
        now = self._clock.now()
        if now >= suspect.next_attempt_ms and self._runs_trial(fingerprint):
            self._begin_trial(fingerprint, suspect)
            return
        raise ContentRefusedError(
            f"Requests with content {format_fingerprint(fingerprint)} are refused.",
            retry_after_ms=max(TRIAL_RETRY_MS, suspect.next_attempt_ms - now),
        )

    def record_crash(self, fingerprint: int, lifetime: str) -> None:
        """Records a crash seen on this instance and reports it to the callbacks.

        Args:
            fingerprint: Fingerprint from ``compute_relay_fingerprint``.
            lifetime: Id and start time in ms of the endpoint, as ``id/start``.
        """
        report = ContentCrashReport(fingerprint, lifetime, 0)
        self.apply_crash_report(report)
        for callback in self.on_crash:
            callback(report)

    def apply_crash_report(self, report: ContentCrashReport) -> None:
        """Records a reported crash, once per start of an endpoint."""
        crashed_ms = self._clock.now() - report.age_ms
        if crashed_ms <= self._cleared_ms_by_fingerprint.get(report.content, crashed_ms - 1):
            # The reporting instance does not know of the later success.
            self._notify_success(report.content)
            return
        suspect = self._active_suspect(report.content)
        if suspect is None:
            suspect = self._suspects_by_fingerprint[report.content] = _Suspect()
        suspect.begun_trials = max(suspect.begun_trials, report.trials)
        if report.lifetime in suspect.crashed_ms_by_lifetime:
            return
        suspect.crashed_ms_by_lifetime[report.lifetime] = crashed_ms
        if len(self._suspects_by_fingerprint) > MAX_CONTENTS:
            del self._suspects_by_fingerprint[next(iter(self._suspects_by_fingerprint))]
        log(
            CRASH_REPORTED,
            content=format_fingerprint(report.content),
            endpoint=report.lifetime,
            crashes=len(suspect.crashed_ms_by_lifetime),
            age_ms=report.age_ms,
        )

    def record_success(self, fingerprint: int) -> None:
        """Clears a suspected content that completed on this instance and notifies the callbacks."""
        if fingerprint in self._suspects_by_fingerprint:
            self.apply_success(ContentSuccessNotice(fingerprint))
            self._notify_success(fingerprint)

    def apply_success(self, notice: ContentSuccessNotice) -> None:
        """Clears a content that completed on this or another instance."""
        if self._suspects_by_fingerprint.pop(notice.content, None) is not None:
            log(CONTENT_CLEARED, content=format_fingerprint(notice.content))
        self._cleared_ms_by_fingerprint.pop(notice.content, None)
        self._cleared_ms_by_fingerprint[notice.content] = self._clock.now()
        if len(self._cleared_ms_by_fingerprint) > MAX_CLEARED:
            self._cleared_ms_by_fingerprint.popitem(last=False)

    def list_kept(self) -> dict[str, tuple[ContentCrashReport, ...]]:
        """Returns the crashes that the store keeps, by the content's name."""
        return {
            format_fingerprint(fingerprint): tuple(self._list_reports(fingerprint, suspect))
            for fingerprint, suspect in list(self._suspects_by_fingerprint.items())
            if len(suspect.crashed_ms_by_lifetime) >= MIN_CRASHES_KEPT
            and self._active_suspect(fingerprint) is not None
        }

    async def run_resending(self) -> None:
        """Repeats the reports of recent crashes until cancelled."""
        while True:
            await self._clock.sleep(RESEND_INTERVAL_MS)
            for report in self._recent_crashes():
                for callback in self.on_crash:
                    callback(report)

    def _begin_trial(self, fingerprint: int, suspect: _Suspect) -> None:
        """Records a trial and reports it, so that no other instance counts from the start."""
        suspect.begun_trials = suspect.trials + 1
        log(CONTENT_TRIED, content=format_fingerprint(fingerprint), trials=suspect.begun_trials)
        newest = min(self._list_reports(fingerprint, suspect), key=lambda report: report.age_ms)
        for callback in self.on_crash:
            callback(newest)

    def _list_reports(self, fingerprint: int, suspect: _Suspect) -> list[ContentCrashReport]:
        """Returns the reports of a content's crashes."""
        now = self._clock.now()
        return [
            ContentCrashReport(fingerprint, lifetime, now - crashed_ms, suspect.begun_trials)
            for lifetime, crashed_ms in suspect.crashed_ms_by_lifetime.items()
        ]

    def _notify_success(self, fingerprint: int) -> None:
        for callback in self.on_success:
            callback(ContentSuccessNotice(fingerprint))

    def _recent_crashes(self) -> list[ContentCrashReport]:
        """Returns the crashes whose reports are still repeated."""
        return [
            report
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            for report in self._list_reports(fingerprint, suspect)
            if report.age_ms < RESEND_FOR_MS
        ]

    def _active_suspect(self, fingerprint: int) -> _Suspect | None:
        """Returns the crashes of a content, or None if it has none that still count."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect and suspect.last_crash_ms + CRASH_TTL_MS <= self._clock.now():
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect


def count_failed_trials(crashes_ms: Sequence[int]) -> int:
    """Returns the number of trials that crashed an endpoint, which all instances know.

    Args:
        crashes_ms: Times of crashes in ascending order.
    """
    return sum(later - earlier >= TRIAL_GAP_MS for earlier, later in pairwise(crashes_ms))


def compute_relay_fingerprint(account: str, target: str, body: bytes) -> int:
    """Returns the fingerprint of a relayed request.

    Args:
        account: Name of the caller; empty on public routes.
        target: Path and query of the request.
        body: Body of the request as sent.
    """
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode((account, target, body)))
