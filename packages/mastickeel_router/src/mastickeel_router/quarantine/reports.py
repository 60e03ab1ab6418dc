"""Contents that crashed endpoints, as the instances report them to each other.

Where endpoints come back by themselves within seconds, a content may crash a few before it is
refused. Then no permit is asked for before a send: instances tell each other of crashes only.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from mastickeel.errors import UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message
from mastickeel_router.quarantine.fingerprints import format_fingerprint
from mastickeel_router.quarantine.replica import CRASH_TTL_MS, MAX_CONTENTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

REFUSED_AFTER_CRASHES = 3
"""Endpoints that a content may crash: the users' rules count retries after the third."""
TRIAL_DELAYS_MS = (10_000, 60_000)
"""How long after the last crash a refused content is tried again, once each, by one instance: it
may have been there by chance. Fewer than the three retries that the users' rules allow."""
TRIAL_RETRY_MS = 2_000
"""When to come back while a content waits for its trial elsewhere: about what a trial takes."""
MAX_CLEARED = 1_000
"""Contents whose good run is remembered, against reports of crashes before it."""
RESEND_INTERVAL_MS = 1_000
"""How often crashes are told again, for those that were cut off or have just started: well within
the three seconds after which the users expect a report to be known everywhere."""
RESEND_FOR_MS = 120_000
"""How long after a crash it is told again; later a content is refused by those that know it."""

CRASH_REPORTED = define_event(
    2380, "crash_reported", "warning", "A content crashed an endpoint, as seen here or by a peer."
)
CONTENT_TRIED = define_event(
    2384, "content_tried", "info", "A refused content is let pass once, as it may be innocent."
)
CONTENT_CLEARED = define_event(
    2381, "content_cleared", "info", "A content that was suspected ran well; nothing counts."
)


@message("content_crash")
@dataclass(frozen=True)
class ContentCrashReport:
    """A content has crashed an endpoint."""

    content: int
    """What compute_relay_fingerprint gives."""
    lifetime: str
    """The endpoint's id and start: one start crashes once, however many saw it."""
    age_ms: int
    """How long ago it was."""


@message("content_ran")
@dataclass(frozen=True)
class ContentSuccessNotice:
    """A suspected content has run to its end."""

    content: int


class ContentRefusedError(UnavailableError):
    """Raised when a request's content has crashed endpoints and is refused for a while."""

    code = "content_refused"
    title = "Requests with this content have crashed endpoints."
    remedy = "Change the request, or send it again after the time in Retry-After."


@dataclass
class _Suspect:
    """What is known of one content."""

    crashed_ms_by_lifetime: dict[str, int] = field(default_factory=dict)
    trials: int = 0
    """How often it was let pass here since it is refused."""

    @property
    def last_ms(self) -> int:
        """When the last crash was."""
        return max(self.crashed_ms_by_lifetime.values())

    @property
    def next_ms(self) -> int:
        """When it may run again: once for a trial, or because the crashes count no more."""
        if self.trials < len(TRIAL_DELAYS_MS):
            return self.last_ms + TRIAL_DELAYS_MS[self.trials]
        return self.last_ms + CRASH_TTL_MS


class CrashReports:
    """The crashes that this instance knows of, by content."""

    def __init__(
        self, clock: Clock, runs_trial: Callable[[int], bool] = lambda content: True
    ) -> None:
        """Makes it empty.

        Args:
            clock: Times how long crashes count.
            runs_trial: Whether this instance, of all, tries a refused content again.
        """
        self.on_crash: list[Callable[[ContentCrashReport], None]] = []
        """Called with each crash that was seen here, and again while it is to be told."""
        self.on_success: list[Callable[[ContentSuccessNotice], None]] = []
        """Called when a suspected content has run to its end here."""
        self._clock = clock
        self._is_trier = runs_trial
        self._cleared_ms_by_content: OrderedDict[int, int] = OrderedDict()
        self._suspects_by_content: dict[int, _Suspect] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspected, without which none needs to be hashed."""
        return bool(self._suspects_by_content)

    def check(self, fingerprint: int) -> None:
        """Lets a content pass, or refuses it.

        Args:
            fingerprint: What compute_relay_fingerprint gives.

        Raises:
            ContentRefusedError: When it has crashed REFUSED_AFTER_CRASHES endpoints; nothing ran.
        """
        suspect = self._suspect(fingerprint)
        if suspect is None or len(suspect.crashed_ms_by_lifetime) < REFUSED_AFTER_CRASHES:
            return
        now = self._clock.now()
        if now >= suspect.next_ms and self._is_trier(fingerprint):
            suspect.trials += 1
            log(CONTENT_TRIED, content=format_fingerprint(fingerprint), trials=suspect.trials)
            return
        raise ContentRefusedError(
            f"The content {format_fingerprint(fingerprint)} is refused.",
            retry_after_ms=max(TRIAL_RETRY_MS, suspect.next_ms - now),
        )

    def record_crash(self, fingerprint: int, lifetime: str) -> None:
        """Counts a crash that was seen here, and has it told.

        Args:
            fingerprint: What compute_relay_fingerprint gives.
            lifetime: The endpoint's id and start.
        """
        report = ContentCrashReport(fingerprint, lifetime, 0)
        self.apply_crash_report(report)
        for tell in self.on_crash:
            tell(report)

    def apply_crash_report(self, report: ContentCrashReport) -> None:
        """Counts a crash, once for each start of an endpoint."""
        crashed_ms = self._clock.now() - report.age_ms
        if crashed_ms <= self._cleared_ms_by_content.get(report.content, crashed_ms - 1):
            # Whoever told it has not heard of the good run.
            self._tell_ran(report.content)
            return
        suspect = self._suspect(report.content)
        if suspect is None:
            suspect = self._suspects_by_content[report.content] = _Suspect()
        if report.lifetime in suspect.crashed_ms_by_lifetime:
            return
        suspect.crashed_ms_by_lifetime[report.lifetime] = crashed_ms
        if len(self._suspects_by_content) > MAX_CONTENTS:
            del self._suspects_by_content[next(iter(self._suspects_by_content))]
        log(
            CRASH_REPORTED,
            content=format_fingerprint(report.content),
            endpoint=report.lifetime,
            crashes=len(suspect.crashed_ms_by_lifetime),
            age_ms=report.age_ms,
        )

    def record_success(self, fingerprint: int) -> None:
        """Clears a content that has run to its end here, and has that told."""
        if fingerprint in self._suspects_by_content:
            self.apply_success(ContentSuccessNotice(fingerprint))
            self._tell_ran(fingerprint)

    def apply_success(self, notice: ContentSuccessNotice) -> None:
        """Clears a content that has run to its end here or on another instance."""
        if self._suspects_by_content.pop(notice.content, None) is not None:
            log(CONTENT_CLEARED, content=format_fingerprint(notice.content))
        self._cleared_ms_by_content.pop(notice.content, None)
        self._cleared_ms_by_content[notice.content] = self._clock.now()
        if len(self._cleared_ms_by_content) > MAX_CLEARED:
            self._cleared_ms_by_content.popitem(last=False)

    async def run_resending(self) -> None:
        """Tells of the last crashes again and again, for as long as the instance runs."""
        while True:
            await self._clock.sleep(RESEND_INTERVAL_MS)
            for report in self._recent():
                for tell in self.on_crash:
                    tell(report)

    def _tell_ran(self, content: int) -> None:
        for tell in self.on_success:
            tell(ContentSuccessNotice(content))

    def _recent(self) -> list[ContentCrashReport]:
        """Returns the crashes that are still to be told."""
        now = self._clock.now()
        return [
            ContentCrashReport(content, lifetime, now - crashed_ms)
            for content, suspect in self._suspects_by_content.items()
            for lifetime, crashed_ms in suspect.crashed_ms_by_lifetime.items()
            if now - crashed_ms < RESEND_FOR_MS
        ]

    def _suspect(self, content: int) -> _Suspect | None:
        """Returns what is known of a content, unless it is too old to count."""
        suspect = self._suspects_by_content.get(content)
        if suspect and suspect.last_ms + CRASH_TTL_MS <= self._clock.now():
            del self._suspects_by_content[content]
            return None
        return suspect


def compute_relay_fingerprint(account: str, target: str, body: bytes) -> int:
    """Returns the fingerprint of a relayed request.

    Args:
        account: The caller's name; empty where routes are public.
        target: Path and query.
        body: As it was sent.
    """
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode((account, target, body)))
