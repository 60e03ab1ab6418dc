"""Leads the roll-outs, on the one instance that holds the duty.

Everything that must outlive a holder is in the configuration (state, stage, since when) or with the
instances (their counts, which they give to the next holder as totals). So a holder that stops
leaves nothing half done that the next one does not see.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define
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
from mastickeel_router.rollouts.plans import (
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
"""Keeps the announcements to a large fleet within a steady rate."""
EXPOSURE_GROWTH = 0.1
"""By how much of its judged answers the exposure of a new version grows."""
RATING_TIMEOUT_MS = 300_000
"""How long a rating is waited for, before the answer counts as unrated."""
WRITE_RETRY_MS = 5_000
"""How long a written change has to come into force here, before it is written again."""
AUTHOR = "rollouts"

ROLLOUT_HALTED = define(
    1901, "rollout_halted", "error", "The guards halted a roll-out; see its reason and evidence."
)
ROLLOUT_MOVED = define(1902, "rollout_moved", "info", "A roll-out reached its next stage or end.")
ROLLOUT_CHANGE_FAILED = define(
    1903, "rollout_change_failed", "warning", "A roll-out's change was refused; tried again."
)


@dataclass(frozen=True)
class RolloutStatus:
    """What the holder knows of a roll-out, for operators."""

    rollout: Rollout
    answers: int
    outstanding: int
    window: int
    verdicts: tuple[GuardResult, ...]


class _LedRollout:
    """One roll-out under this holder."""

    def __init__(self, rollout: Rollout, starts_ms: int) -> None:
        self.guards = Guards(rollout)
        self.exposure = Exposure(starts_ms)
        self.counts_by_source: dict[tuple[str, int, str], AnswerCounts] = {}
        self.answers_at_stage_start = 0
        self.stage = rollout.stage
        self.unrated_batches: deque[tuple[int, int]] = deque()
        self.rated_count = 0
        self.halt_reason = ""
        self.written_revision = 0
        self.write_retry_at_ms = 0

    def exposure_window(self, rollout: Rollout) -> int:
        """Returns how many requests may be unjudged at once over the whole fleet."""
        budget = rollout.budget or DEFAULT_BUDGET
        return budget + int(EXPOSURE_GROWTH * self.guards.judged_answers())

    def count_unrated(self, now_ms: int) -> int:
        """Returns how many answers wait for a rating that may still come."""
        while self.unrated_batches and self.unrated_batches[0][0] + RATING_TIMEOUT_MS < now_ms:
            _, count = self.unrated_batches.popleft()
            self.rated_count = max(0, self.rated_count - count)
        return max(0, sum(count for _, count in self.unrated_batches) - self.rated_count)


class RolloutController:
    """Grants exposure, weighs evidence, and moves plans on, halts or undoes them."""

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        *,
        configuration: Callable[[], Configuration],
        fencing: Callable[[], int | None],
        commit: Callable[[Delta, int, str], Awaitable[None]],
    ) -> None:
        """Makes the controller, which acts only while the duty is held.

        Args:
            link: The peers.
            clock: Times leases and stages.
            configuration: Gives what is in force.
            fencing: Gives the duty's number; None when it is not surely held.
            commit: Writes a change, worked out on a revision, on condition of the duty.
        """
        self.on_announced: Callable[[str, int], None] = lambda holder, fencing: None
        """Told of this holder, as a peer would be."""
        self._link = link
        self._clock = clock
        self._configuration = configuration
        self._fencing = fencing
        self._commit = commit
        self._led_by_id: dict[str, _LedRollout] = {}
        self._last_fencing: int | None = None
        self._next_announce_ms = 0
        link.on(ExposureRequest, self.on_report)

    async def run(self) -> None:
        """Leads until cancelled."""
        self._reset_on_new_fencing()
        while True:
            await self.tick()
            await self._clock.sleep(TICK_INTERVAL_MS)

    async def tick(self) -> None:
        """Does what is due."""
        if self._fencing() is None:
            return
        self._reset_on_new_fencing()
        self._announce()
        configuration = self._configuration()
        for rollout in rollouts_in_force(configuration):
            if rollout.state is RolloutState.RUNNING:
                await self._advance_or_halt(rollout, configuration)
        current = {rollout.id for rollout in rollouts_in_force(configuration)}
        for rollout_id in [one for one in self._led_by_id if one not in current]:
            del self._led_by_id[rollout_id]

    async def on_report(self, sender: str, report: ExposureRequest) -> ExposureReply:
        """Takes an instance's evidence and grants it exposure."""
        fencing = self._fencing()
        if fencing is None:
            return ExposureReply(False)
        self._reset_on_new_fencing()
        rollout = self._configuration().rollouts_by_id.get(report.rollout_id)
        if rollout is None or rollout not in rollouts_in_force(self._configuration()):
            return ExposureReply(True, fencing, 0, self._lease_ms, self._lease_ms)
        lead = self._led_rollout(rollout)
        now_ms = self._clock.now()
        lead.exposure.record_report(sender, report, fencing, now_ms)
        self._record_counts(lead, sender, report, now_ms)
        wanted = report.wanted if self._may_grant(rollout, lead, report) else 0
        window = lead.exposure_window(rollout) - self._count_unrated(rollout, lead, now_ms)
        granted = lead.exposure.grant(sender, wanted, window, now_ms)
        next_ms = lead.exposure.report_interval_ms(now_ms)
        return ExposureReply(True, fencing, granted, self._lease_ms, next_ms)

    def on_rating(self, entry: RatingEntry) -> None:
        """Takes one rating of the log."""
        if self._fencing() is None:
            return
        for rollout in rollouts_in_force(self._configuration()):
            if entry.version in (rollout.old, rollout.new):
                lead = self._led_rollout(rollout)
                is_new = entry.version == rollout.new
                lead.rated_count += is_new
                lead.guards.add_rating(entry.account, is_new, entry.passed)

    def statuses(self) -> list[RolloutStatus]:
        """Returns what this holder knows of each roll-out in force."""
        found = []
        for rollout in rollouts_in_force(self._configuration()):
            if lead := self._led_by_id.get(rollout.id):
                guards = lead.guards
                found.append(
                    RolloutStatus(
                        rollout,
                        guards.judged_answers(),
                        lead.exposure.outstanding,
                        lead.exposure_window(rollout),
                        tuple(guards.results()),
                    )
                )
        return found

    @property
    def _lease_ms(self) -> int:
        """How long grants last in a fleet of this size."""
        return grant_lease_ms(len(self._link.peer_ids) + 1)

    def _reset_on_new_fencing(self) -> None:
        """Starts anew under a new number; what was known under an older one is void."""
        fencing = self._fencing()
        if fencing is not None and fencing != self._last_fencing:
            self._last_fencing = fencing
            self._led_by_id.clear()
            self._next_announce_ms = 0

    def _led_rollout(self, rollout: Rollout) -> _LedRollout:
        if rollout.id not in self._led_by_id:
            starts_ms = self._clock.now() + self._lease_ms
            self._led_by_id[rollout.id] = _LedRollout(rollout, starts_ms)
        lead = self._led_by_id[rollout.id]
        if lead.stage != rollout.stage:
            lead.stage, lead.answers_at_stage_start = rollout.stage, lead.guards.judged_answers()
        return lead

    def _record_counts(
        self, lead: _LedRollout, sender: str, report: ExposureRequest, now_ms: int
    ) -> None:
        """Adds what has come since the instance's last totals to the tests."""
        for account_id, total in report.counts_by_account.items():
            source = (sender, report.incarnation, account_id)
            fresh = total.minus(lead.counts_by_source.get(source, AnswerCounts()))
            lead.counts_by_source[source] = total
            lead.guards.add_counts(account_id, fresh)
            if fresh.handed_in:
                lead.unrated_batches.append((now_ms, fresh.handed_in))

    def _may_grant(self, rollout: Rollout, lead: _LedRollout, report: ExposureRequest) -> bool:
        """Says whether the new version may be given more work."""
        return (
            rollout.state is RolloutState.RUNNING
            and not lead.halt_reason
            and report.stage == rollout.stage
        )

    def _count_unrated(self, rollout: Rollout, lead: _LedRollout, now_ms: int) -> int:
        """Returns the answers that wait for a rating, where ratings guard the plan."""
        if all(guard.metric != "ratings" for guard in rollout.guards):
            return 0
        return lead.count_unrated(now_ms)

    async def _advance_or_halt(self, rollout: Rollout, configuration: Configuration) -> None:
        """Halts a roll-out or moves it on, when it is time for either."""
        lead = self._led_rollout(rollout)
        now_ms = self._clock.now()
        if lead.written_revision == configuration.revision and now_ms < lead.write_retry_at_ms:
            return
        lead.written_revision = 0
        if reason := lead.halt_reason or self._find_halt_reason(rollout, lead, configuration):
            lead.halt_reason = reason
            await self._halt(rollout, reason, configuration)
        elif self._is_stage_complete(rollout, lead):
            await self._advance_stage(rollout, configuration)
        else:
            return
        lead.written_revision, lead.write_retry_at_ms = (
            configuration.revision,
            now_ms + WRITE_RETRY_MS,
        )

    def _find_halt_reason(
        self, rollout: Rollout, lead: _LedRollout, configuration: Configuration
    ) -> str:
        """Returns why a roll-out must not go on; empty when it may."""
        if is_withdrawn(configuration, rollout.new):
            return f"{rollout.new} was withdrawn"
        for verdict in lead.guards.results():
            if verdict.is_reached:
                found = f"{verdict.evidence:.3g} of {verdict.threshold:.3g}"
                after = f"after {verdict.answers} answers"
                return f"{verdict.metric} over {verdict.account_id}: evidence {found} {after}"
        return ""

    def _is_stage_complete(self, rollout: Rollout, lead: _LedRollout) -> bool:
        """Says whether the time and the evidence of the stage in force are enough."""
        if rollout.stage >= len(rollout.stages):
            return True
        stage = rollout.stages[rollout.stage]
        waited_ms = self._clock.wall() - rollout.stage_since_ms
        judged = lead.guards.judged_answers() - lead.answers_at_stage_start
        return waited_ms >= stage.minimum_ms and judged >= stage.minimum_answers

    async def _halt(self, rollout: Rollout, reason: str, configuration: Configuration) -> None:
        """Undoes a roll-out, or halts it where the plan leaves the rest to operators."""
        state = RolloutState.UNDONE if rollout.withdraw else RolloutState.HALTED
        ended = replace(rollout, state=state, reason=reason)
        version = configuration.versions_by_id.get(rollout.new)
        withdrawn: tuple[Version, ...] = ()
        if rollout.withdraw and version:
            withdrawn = (replace(version, state=VersionState.WITHDRAWN),)
        delta = Delta(rollouts=(ended,), versions=withdrawn)
        text = f"{state.value} roll-out {rollout.id}: {reason}"
        if await self._commit_change(delta, configuration.revision, text):
            log(ROLLOUT_HALTED, rollout=rollout.id, reason=reason)

    async def _advance_stage(self, rollout: Rollout, configuration: Configuration) -> None:
        """Takes a roll-out to its next stage, or to its end."""
        is_last = rollout.stage + 1 >= len(rollout.stages)
        since_ms = self._clock.wall()
        if is_last:
            moved = replace(rollout, state=RolloutState.DONE, stage_since_ms=since_ms)
            text = f"end roll-out {rollout.id}"
        else:
            moved = replace(rollout, stage=rollout.stage + 1, stage_since_ms=since_ms)
            text = f"roll-out {rollout.id} to stage {moved.stage}"
        if await self._commit_change(Delta(rollouts=(moved,)), configuration.revision, text):
            log(ROLLOUT_MOVED, rollout=rollout.id, stage=moved.stage, state=moved.state.value)

    async def _commit_change(self, delta: Delta, base: int, text: str) -> bool:
        """Writes a change; a refused one is worked out again at the next tick."""
        try:
            await self._commit(delta, base, text)
        except MastickeelError as error:
            log(ROLLOUT_CHANGE_FAILED, text=text, error=str(error))
            return False
        return True

    def _announce(self) -> None:
        """Tells the instances who holds the duty."""
        now_ms = self._clock.now()
        fencing = self._fencing()
        if now_ms < self._next_announce_ms or fencing is None:
            return
        peers = self._link.peer_ids
        self._next_announce_ms = now_ms + max(
            ANNOUNCE_INTERVAL_MS, ANNOUNCE_MS_PER_PEER * len(peers)
        )
        for peer_id in peers:
            self._link.tell(peer_id, HolderNotice(fencing))
        self.on_announced(self._link.instance_id, fencing)


def status_table(standings: list[RolloutStatus], configuration: Configuration) -> Table:
    """Shows every roll-out with its evidence.

    Args:
        standings: What the holder knows; empty elsewhere.
        configuration: What is in force.

    Returns:
        The table.
    """
    standing_by_id = {one.rollout.id: one for one in standings}
    held_up = {one.id for one in waiting_rollouts(configuration)}
    rows = []
    for rollout in configuration.rollouts_by_id.values():
        standing = standing_by_id.get(rollout.id)
        evidence = "" if standing is None else _format_evidence(standing)
        state = "waiting for another" if rollout.id in held_up else rollout.state.value
        rows.append(
            (
                rollout.id,
                rollout.old,
                rollout.new,
                state,
                rollout.stage,
                standing.answers if standing else "",
                standing.outstanding if standing else "",
                standing.window if standing else "",
                evidence,
                rollout.reason,
            )
        )
    columns = ("rollout", "old", "new", "state", "stage")
    more = ("answers", "outstanding", "window", "evidence", "reason")
    return Table((*columns, *more), tuple(rows))


def _format_evidence(standing: RolloutStatus) -> str:
    """Shows the strongest evidence of each metric."""
    strongest: dict[str, GuardResult] = {}
    for verdict in standing.verdicts:
        known = strongest.get(verdict.metric)
        if known is None or verdict.evidence / verdict.threshold > known.evidence / known.threshold:
            strongest[verdict.metric] = verdict
    return " ".join(
        f"{one.metric}={one.evidence:.3g}/{one.threshold:.3g} ({one.account_id})"
        for one in strongest.values()
    )
