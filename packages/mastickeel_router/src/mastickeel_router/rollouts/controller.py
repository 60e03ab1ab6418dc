"""Controls the rollouts on the instance that holds the duty.

All state that must outlive a holder is in the configuration (state, stage and its start) or on the
instances, which report their counts as totals to the next holder. So the next holder sees every
change that a stopped holder left unfinished.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.model import Delta, RolloutState, VersionState
from mastickeel_router.rollouts.exposure import Exposure, grant_lease_ms
from mastickeel_router.rollouts.guards import GuardResult, Guards
from mastickeel_router.rollouts.messages import (
    AnswerCounts,
    ExposureReply,
    ExposureRequest,
    HolderNotice,
)
from mastickeel_router.rollouts.selection import (
    DEFAULT_BUDGET,
    is_withdrawn,
    rollouts_in_force,
    waiting_rollouts,
)
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Configuration, Rollout, Version
    from mastickeel.peers import PeerLink
    from mastickeel_router.choice.ratings import RatingEntry

TICK_INTERVAL_MS = 250
ANNOUNCE_INTERVAL_MS = 2_000
ANNOUNCE_MS_PER_PEER = 40
"""Limits the rate of announcements to a large fleet."""
EXPOSURE_GROWTH = 0.1
"""Growth of a new version's exposure for each judged answer."""
RATING_TIMEOUT_MS = 300_000
"""Time for which an answer awaits its rating before the answer counts as unrated."""
WRITE_RETRY_MS = 5_000
"""Time after which a committed change that is not in force here is written again."""
AUTHOR = "rollouts"

ROLLOUT_HALTED = define_event(
    1901,
    "rollout_halted",
    "error",
    "The guards halted a rollout; the reason field has the evidence.",
)
ROLLOUT_MOVED = define_event(
    1902, "rollout_moved", "info", "A rollout reached its next stage or its end."
)
ROLLOUT_CHANGE_FAILED = define_event(
    1903, "rollout_change_failed", "warning", "A change of a rollout was refused; it is retried."
)


@dataclass(frozen=True)
class RolloutStatus:
    """Status of a rollout on the duty holder, for operators."""

    rollout: Rollout
    answers: int
    outstanding: int
    window: int
    guard_results: tuple[GuardResult, ...]


class _RolloutTracker:
    """Exposure and evidence of one rollout under this holder."""

    def __init__(self, rollout: Rollout, first_grant_ms: int) -> None:
        self.guards = Guards(rollout)
        self.exposure = Exposure(first_grant_ms)
        self.counts_by_source: dict[tuple[str, int, str], AnswerCounts] = {}
        self.answers_at_stage_start = 0
        """Answers that the guards had judged when the current stage began."""
        self.stage = rollout.stage
        self.unrated_batches: deque[tuple[int, int]] = deque()
        """Time of each report in clock milliseconds, and the answers submitted since the last."""
        self.rated_count = 0
        """Ratings received for the answers in ``unrated_batches``."""
        self.halt_reason = ""
        self.written_revision = 0
        """Revision that the last change was based on; 0 when none is pending."""
        self.write_retry_at_ms = 0

    def exposure_window(self, rollout: Rollout) -> int:
        """Returns the number of requests that may be unjudged at once over the whole fleet."""
        budget = rollout.budget or DEFAULT_BUDGET
        return budget + int(EXPOSURE_GROWTH * self.guards.judged_answers())

    def count_unrated(self, now_ms: int) -> int:
        """Returns the number of answers submitted within RATING_TIMEOUT_MS and not yet rated."""
        while self.unrated_batches and self.unrated_batches[0][0] + RATING_TIMEOUT_MS < now_ms:
            _, count = self.unrated_batches.popleft()
            self.rated_count = max(0, self.rated_count - count)
        return max(0, sum(count for _, count in self.unrated_batches) - self.rated_count)


class RolloutController:
    """Grants exposure, evaluates evidence, and advances, halts or undoes rollouts."""

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        *,
        configuration: Callable[[], Configuration],
        fencing: Callable[[], int | None],
        commit: Callable[[Delta, int, str], Awaitable[None]],
    ) -> None:
        """Creates the controller, which acts only while the duty is held.

        Args:
            link: Connects to the peers.
            clock: Times leases and stages.
            configuration: Returns the configuration in force.
            fencing: Returns the duty's fencing token; None unless the duty is certainly held.
            commit: Commits a change based on a revision, on condition that the duty is still held.
        """
        self.on_announced: Callable[[str, int], None] = lambda holder, fencing: None
        """Called with this instance's id and fencing token at each announcement to peers."""
        self._link = link
        self._clock = clock
        self._configuration = configuration
        self._fencing = fencing
        self._commit = commit
        self._trackers_by_id: dict[str, _RolloutTracker] = {}
        self._last_fencing: int | None = None
        self._next_announce_ms = 0
        link.register_handler(ExposureRequest, self.on_report)

    async def run(self) -> None:
        """Controls the rollouts until cancelled."""
        self._reset_on_new_fencing()
        while True:
            await self.tick()
            await self._clock.sleep(TICK_INTERVAL_MS)

    async def tick(self) -> None:
        """Announces the holder when due, and advances or halts rollouts."""
        if self._fencing() is None:
            return
        self._reset_on_new_fencing()
        self._announce()
        configuration = self._configuration()
        for rollout in rollouts_in_force(configuration):
            if rollout.state is RolloutState.RUNNING:
                await self._advance_or_halt(rollout, configuration)
        current_ids = {rollout.id for rollout in rollouts_in_force(configuration)}
        for rollout_id in [key for key in self._trackers_by_id if key not in current_ids]:
            del self._trackers_by_id[rollout_id]

    async def on_report(self, sender: str, report: ExposureRequest) -> ExposureReply:
        """Records an instance's evidence and grants exposure to the instance."""
        fencing = self._fencing()
        if fencing is None:
            return ExposureReply(False)
        self._reset_on_new_fencing()
        rollout = self._configuration().rollouts_by_id.get(report.rollout_id)
        if rollout is None or rollout not in rollouts_in_force(self._configuration()):
            return ExposureReply(True, fencing, 0, self._lease_ms, self._lease_ms)
        tracker = self._tracker(rollout)
        now_ms = self._clock.now()
        tracker.exposure.record_report(sender, report, fencing, now_ms)
        self._record_counts(tracker, sender, report, now_ms)
        wanted = report.wanted if self._may_grant(rollout, tracker, report) else 0
        window = tracker.exposure_window(rollout) - self._count_unrated(rollout, tracker, now_ms)
        granted = tracker.exposure.grant(sender, wanted, window, now_ms)
        next_ms = tracker.exposure.report_interval_ms(now_ms)
        return ExposureReply(True, fencing, granted, self._lease_ms, next_ms)

    def on_rating(self, entry: RatingEntry) -> None:
        """Records one rating from the log."""
        if self._fencing() is None:
            return
        for rollout in rollouts_in_force(self._configuration()):
            if entry.version in (rollout.old, rollout.new):
                tracker = self._tracker(rollout)
                is_new = entry.version == rollout.new
                tracker.rated_count += is_new
                tracker.guards.add_rating(entry.account, is_new, entry.passed)

    def statuses(self) -> list[RolloutStatus]:
        """Returns the status of each rollout in force that this holder tracks."""
        statuses = []
        for rollout in rollouts_in_force(self._configuration()):
            if tracker := self._trackers_by_id.get(rollout.id):
                guards = tracker.guards
                statuses.append(
                    RolloutStatus(
                        rollout,
                        guards.judged_answers(),
                        tracker.exposure.outstanding,
                        tracker.exposure_window(rollout),
                        tuple(guards.results()),
                    )
                )
        return statuses

    @property
    def _lease_ms(self) -> int:
        """Validity of grants in a fleet of the current size, in milliseconds."""
        return grant_lease_ms(len(self._link.peer_ids) + 1)

    def _reset_on_new_fencing(self) -> None:
        """Discards the state of an earlier fencing token after the duty was acquired again."""
        fencing = self._fencing()
        if fencing is not None and fencing != self._last_fencing:
            self._last_fencing = fencing
            self._trackers_by_id.clear()
            self._next_announce_ms = 0

    def _tracker(self, rollout: Rollout) -> _RolloutTracker:
        if rollout.id not in self._trackers_by_id:
            first_grant_ms = self._clock.now() + self._lease_ms
            self._trackers_by_id[rollout.id] = _RolloutTracker(rollout, first_grant_ms)
        tracker = self._trackers_by_id[rollout.id]
        if tracker.stage != rollout.stage:
            tracker.stage, tracker.answers_at_stage_start = (
                rollout.stage,
                tracker.guards.judged_answers(),
            )
        return tracker

    def _record_counts(
        self, tracker: _RolloutTracker, sender: str, report: ExposureRequest, now_ms: int
    ) -> None:
        """Adds the increase since the instance's last totals to the tests."""
        for account_id, total in report.counts_by_account.items():
            source = (sender, report.incarnation, account_id)
            added = total.minus(tracker.counts_by_source.get(source, AnswerCounts()))
            tracker.counts_by_source[source] = total
            tracker.guards.add_counts(account_id, added)
            if added.handed_in:
                tracker.unrated_batches.append((now_ms, added.handed_in))

    def _may_grant(
        self, rollout: Rollout, tracker: _RolloutTracker, report: ExposureRequest
    ) -> bool:
        """Returns whether the new version may get more requests."""
        return (
            rollout.state is RolloutState.RUNNING
            and not tracker.halt_reason
            and report.stage == rollout.stage
        )

    def _count_unrated(self, rollout: Rollout, tracker: _RolloutTracker, now_ms: int) -> int:
        """Returns the number of answers awaiting a rating; 0 when no guard uses ratings."""
        if all(guard.metric != "ratings" for guard in rollout.guards):
            return 0
        return tracker.count_unrated(now_ms)

    async def _advance_or_halt(self, rollout: Rollout, configuration: Configuration) -> None:
        """Halts a rollout or advances it to the next stage, when either is due."""
        tracker = self._tracker(rollout)
        now_ms = self._clock.now()
        if (
            tracker.written_revision == configuration.revision
            and now_ms < tracker.write_retry_at_ms
        ):
            return
        tracker.written_revision = 0
        if reason := tracker.halt_reason or self._find_halt_reason(rollout, tracker, configuration):
            tracker.halt_reason = reason
            await self._halt(rollout, reason, configuration)
        elif self._is_stage_complete(rollout, tracker):
            await self._advance_stage(rollout, configuration)
        else:
            return
        tracker.written_revision, tracker.write_retry_at_ms = (
            configuration.revision,
            now_ms + WRITE_RETRY_MS,
        )

    def _find_halt_reason(
        self, rollout: Rollout, tracker: _RolloutTracker, configuration: Configuration
    ) -> str:
        """Returns the reason to halt a rollout; empty when there is none."""
        if is_withdrawn(configuration, rollout.new):
            return f"{rollout.new} was withdrawn"
        for result in tracker.guards.results():
            if result.is_reached:
                found = f"{result.evidence:.3g} of {result.threshold:.3g}"
                after = f"after {result.answers} answers"
                return f"{result.metric} over {result.account_id}: evidence {found} {after}"
        return ""

    def _is_stage_complete(self, rollout: Rollout, tracker: _RolloutTracker) -> bool:
        """Returns whether the current stage has had enough time and answers."""
        if rollout.stage >= len(rollout.stages):
            return True
        stage = rollout.stages[rollout.stage]
        waited_ms = self._clock.wall() - rollout.stage_since_ms
        judged = tracker.guards.judged_answers() - tracker.answers_at_stage_start
        return waited_ms >= stage.minimum_ms and judged >= stage.minimum_answers

    async def _halt(self, rollout: Rollout, reason: str, configuration: Configuration) -> None:
        """Undoes a rollout, or halts one that leaves the withdrawal to operators."""
        state = RolloutState.UNDONE if rollout.withdraw else RolloutState.HALTED
        updated = replace(rollout, state=state, reason=reason)
        version = configuration.versions_by_id.get(rollout.new)
        withdrawn: tuple[Version, ...] = ()
        if rollout.withdraw and version:
            withdrawn = (replace(version, state=VersionState.WITHDRAWN),)
        delta = Delta(rollouts=(updated,), versions=withdrawn)
        text = f"{state.value} roll-out {rollout.id}: {reason}"
        if await self._commit_change(delta, configuration.revision, text):
            log(ROLLOUT_HALTED, rollout=rollout.id, reason=reason)

    async def _advance_stage(self, rollout: Rollout, configuration: Configuration) -> None:
        """Advances a rollout to its next stage or to its end."""
        is_last = rollout.stage + 1 >= len(rollout.stages)
        since_ms = self._clock.wall()
        if is_last:
            updated = replace(rollout, state=RolloutState.DONE, stage_since_ms=since_ms)
            text = f"end roll-out {rollout.id}"
        else:
            updated = replace(rollout, stage=rollout.stage + 1, stage_since_ms=since_ms)
            text = f"roll-out {rollout.id} to stage {updated.stage}"
        if await self._commit_change(Delta(rollouts=(updated,)), configuration.revision, text):
            log(ROLLOUT_MOVED, rollout=rollout.id, stage=updated.stage, state=updated.state.value)

    async def _commit_change(self, delta: Delta, base_revision: int, text: str) -> bool:
        """Commits a change; returns False when it is refused, so that the next tick retries."""
        try:
            await self._commit(delta, base_revision, text)
        except MastickeelError as error:
            log(ROLLOUT_CHANGE_FAILED, text=text, error=str(error))
            return False
        return True

    def _announce(self) -> None:
        """Announces this holder to the peers when an announcement is due."""
        now_ms = self._clock.now()
        fencing = self._fencing()
        if now_ms < self._next_announce_ms or fencing is None:
            return
        peers = self._link.peer_ids
        self._next_announce_ms = now_ms + max(
            ANNOUNCE_INTERVAL_MS, ANNOUNCE_MS_PER_PEER * len(peers)
        )
        for peer_id in peers:
            self._link.send_notice(peer_id, HolderNotice(fencing))
        self.on_announced(self._link.instance_id, fencing)


def status_table(statuses: list[RolloutStatus], configuration: Configuration) -> Table:
    """Returns a table of every rollout with its evidence.

    Args:
        statuses: The statuses on the duty holder; empty on other instances.
        configuration: The configuration in force.

    Returns:
        The table.
    """
    statuses_by_id = {status.rollout.id: status for status in statuses}
    waiting_ids = {rollout.id for rollout in waiting_rollouts(configuration)}
    rows = []
    for rollout in configuration.rollouts_by_id.values():
        status = statuses_by_id.get(rollout.id)
        evidence = "" if status is None else _format_evidence(status)
        state = "waiting for another" if rollout.id in waiting_ids else rollout.state.value
        rows.append(
            (
                rollout.id,
                rollout.old,
                rollout.new,
                state,
                rollout.stage,
                status.answers if status else "",
                status.outstanding if status else "",
                status.window if status else "",
                evidence,
                rollout.reason,
            )
        )
    columns = ("rollout", "old", "new", "state", "stage")
    more = ("answers", "outstanding", "window", "evidence", "reason")
    return Table((*columns, *more), tuple(rows))


def _format_evidence(status: RolloutStatus) -> str:
    """Formats the strongest evidence of each metric."""
    strongest: dict[str, GuardResult] = {}
    for result in status.guard_results:
        previous = strongest.get(result.metric)
        if (
            previous is None
            or result.evidence / result.threshold > previous.evidence / previous.threshold
        ):
            strongest[result.metric] = result
    return " ".join(
        f"{result.metric}={result.evidence:.3g}/{result.threshold:.3g} ({result.account_id})"
        for result in strongest.values()
    )
