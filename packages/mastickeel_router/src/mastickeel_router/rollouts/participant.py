"""An instance's part in roll-outs: draws within its share of the exposure, and counts answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define
from mastickeel.logs import log
from mastickeel.model import RolloutState
from mastickeel_router.rollouts.messages import (
    AnswerCounts,
    ExposureReply,
    ExposureRequest,
    HolderNotice,
    StopNotice,
)
from mastickeel_router.rollouts.plans import is_in_share, rollouts_in_force

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Configuration, Rollout, Version, View
    from mastickeel.peers import PeerLink
    from mastickeel_router.requests import ChatRequest, Outcome

ROUND_INTERVAL_MS = 250
FIRST_REPORT_DELAY_MS = 500
HOLDER_TIMEOUT_MS = 30_000
"""Without an answer for so long, the instance looks for another holder."""
LOCAL_STOP_MS = 5_000
FAILURES_TO_STOP = 3
"""Answers of the new version that fail in a row, before it gets no new work here."""
MAX_STOP_NOTICES = 16
MAX_COUNTED_ACCOUNTS = 64
OTHER_ACCOUNTS = ""
MAX_OPEN_REQUESTS = 10_000
SLOW_MARGIN = 0.25
"""How much slower than the old version's average an answer counts as slow."""
SMOOTHING = 0.05
IGNORED_ERROR_CODES = (
    "unavailable",
    "no_version",
    "model_not_found",
    "bad_request",
    "cancelled",
    "forbidden",
)
"""Errors that say nothing about a version."""

STOPPED_LOCALLY = define(
    1900, "rollout_stopped_locally", "warning", "A new version fails plainly and gets no new work."
)


@dataclass
class _Participation:
    """What the instance holds and knows of one roll-out."""

    stage: int = 0
    fencing: int = 0
    granted: int = 0
    returned: int = 0
    ended: int = 0
    taken: int = 0
    wanted: int = 0
    lease_deadline_ms: int = 0
    next_report_ms: int = 0
    stop_deadline_ms: int = 0
    consecutive_failures: int = 0
    counts_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    reported_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    averages_by_kind: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    """The old version's time and cost, by account and kind."""

    @property
    def remaining(self) -> int:
        """Granted requests that have been neither taken nor returned."""
        return self.granted - self.taken - self.returned

    def target_remaining(self) -> int:
        """Returns how many requests to have in hand: what was drawn of late, and one in advance."""
        return max(1, self.wanted)

    def reset_for_holder(self, fencing: int) -> None:
        """Starts the counts of a new holder; what an earlier one granted is void."""
        self.fencing = fencing
        self.granted = self.returned = self.ended = self.taken = 0

    def return_lapsed(self, now_ms: int) -> None:
        """Returns what was granted and not taken in time."""
        if self.remaining > 0 and now_ms >= self.lease_deadline_ms:
            self.returned += self.remaining


class RolloutParticipant:
    """The roll-outs as this instance takes part in them."""

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Makes the participant.

        Args:
            link: The peers.
            clock: Times leases and reports.
            rng: Spreads the first reports, and picks whom to tell of a stop.
            configuration: Gives what is in force.
        """
        self.holder = ""
        """The instance that holds the duty, as far as is known."""
        self.report_locally: Callable[[str, ExposureRequest], Awaitable[ExposureReply]] = (
            _refuse_report
        )
        """Takes reports where this instance holds the duty."""
        self._link = link
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._incarnation = rng.getrandbits(48)
        self._holder_fencing = 0
        self._last_holder_contact_ms = 0
        self._participations_by_id: dict[str, _Participation] = {}
        self._open_grants_by_request: OrderedDict[str, list[tuple[str, int]]] = OrderedDict()
        link.on(HolderNotice, self._on_holder_notice)
        link.on(StopNotice, self._on_stop_notice)

    def narrow(self, versions: list[Version], view: View) -> list[Version]:
        """Leaves out the new versions of roll-outs, which stand in for old ones by share only.

        Args:
            versions: The candidates of a request.
            view: The configuration in force.

        Returns:
            What is left; a new version stays when it is all there is.
        """
        usable = {version.id for version in versions}
        left_out = set()
        for rollout in view.committed.rollouts_by_id.values():
            ended = rollout.state is RolloutState.DONE
            replaced, kept = (rollout.old, rollout.new) if ended else (rollout.new, rollout.old)
            if kept in usable and not _is_superseded(rollout, replaced, view):
                left_out.add(replaced)
        return [version for version in versions if version.id not in left_out] or versions

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        """Puts new versions in the place of old ones, where the draw and the exposure allow.

        Args:
            request: What is to run.
            version_ids: Its course.
            view: The configuration in force.

        Returns:
            The course to take.
        """
        course = list(version_ids)
        for rollout in rollouts_in_force(view.committed):
            if rollout.old in course and self._try_use_exposure(rollout, request, view):
                course[course.index(rollout.old)] = rollout.new
        return tuple(course)

    def finish(self, request_id: str) -> None:
        """Notes that a request needs its exposure no longer."""
        for rollout_id, fencing in self._open_grants_by_request.pop(request_id, ()):
            part = self._participations_by_id.get(rollout_id)
            if part and part.fencing == fencing:
                part.ended += 1

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Notes that an answer was handed in for a rating."""
        for rollout in rollouts_in_force(self._configuration()):
            if rollout.new == version_id:
                self._add_counts(
                    self._participation(rollout), account_id, AnswerCounts(handed_in=1)
                )

    def observe(self, outcome: Outcome) -> None:
        """Counts how a run went."""
        if outcome.error_code in IGNORED_ERROR_CODES:
            return
        for rollout in rollouts_in_force(self._configuration()):
            if outcome.version_id == rollout.old:
                self._record_old_answer(self._participation(rollout), outcome)
            elif outcome.version_id == rollout.new:
                self._record_new_answer(rollout, self._participation(rollout), outcome)

    async def run(self) -> None:
        """Reports and asks for exposure, for as long as the instance runs."""
        while True:
            await self._clock.sleep(ROUND_INTERVAL_MS)
            await self.run_round()

    async def run_round(self) -> None:
        """Reports each roll-out that is due."""
        now_ms = self._clock.now()
        for rollout in rollouts_in_force(self._configuration()):
            part = self._participation(rollout)
            part.return_lapsed(now_ms)
            if now_ms >= part.next_report_ms and self._needs_report(part):
                await self._send_report(rollout, part)
        self._drop_inactive()

    def _try_use_exposure(self, rollout: Rollout, request: ChatRequest, view: View) -> bool:
        """Draws for one request, and takes from the exposure when it falls to the new version."""
        if not is_in_share(rollout, request.session or request.id):
            return False
        if not view.allows(request.account_id, rollout.new):
            return False
        part = self._participation(rollout)
        now_ms = self._clock.now()
        part.return_lapsed(now_ms)
        part.wanted += 1
        if part.remaining <= 0 or now_ms < part.stop_deadline_ms:
            return False
        part.taken += 1
        opened = self._open_grants_by_request.setdefault(request.id, [])
        opened.append((rollout.id, part.fencing))
        if len(self._open_grants_by_request) > MAX_OPEN_REQUESTS:
            self._open_grants_by_request.popitem(last=False)
        return True

    def _participation(self, rollout: Rollout) -> _Participation:
        part = self._participations_by_id.get(rollout.id)
        if part is None:
            delay = self._rng.randrange(FIRST_REPORT_DELAY_MS)
            part = _Participation(next_report_ms=self._clock.now() + delay)
            self._participations_by_id[rollout.id] = part
        part.stage = rollout.stage
        return part

    def _record_old_answer(self, part: _Participation, outcome: Outcome) -> None:
        """Counts an answer of the old version, and moves the averages."""
        slow, costly = self._compare_with_average(part, outcome, 1.0)
        self._add_counts(
            part,
            outcome.account_id,
            AnswerCounts(old=1, old_failed=not outcome.ok, old_slow=slow, old_costly=costly),
        )
        if outcome.ok:
            key = (outcome.account_id, outcome.kind)
            time_ms, cost = part.averages_by_kind.get(key, (outcome.total_ms, outcome.cost))
            part.averages_by_kind[key] = (
                time_ms + SMOOTHING * (outcome.total_ms - time_ms),
                cost + SMOOTHING * (outcome.cost - cost),
            )

    def _record_new_answer(self, rollout: Rollout, part: _Participation, outcome: Outcome) -> None:
        """Counts an answer of the new version, and stops it here when it fails plainly."""
        limits = {guard.metric: guard.limit for guard in rollout.guards}
        slow, _ = self._compare_with_average(part, outcome, 1 + limits.get("latency", 0.0))
        _, costly = self._compare_with_average(part, outcome, 1 + limits.get("cost", 0.0))
        self._add_counts(
            part,
            outcome.account_id,
            AnswerCounts(new=1, new_failed=not outcome.ok, new_slow=slow, new_costly=costly),
        )
        part.consecutive_failures = 0 if outcome.ok else part.consecutive_failures + 1
        if part.consecutive_failures >= FAILURES_TO_STOP:
            part.consecutive_failures = 0
            self._stop_locally(rollout, part)

    def _compare_with_average(
        self, part: _Participation, outcome: Outcome, factor: float
    ) -> tuple[bool, bool]:
        """Says whether an answer was slow and costly, beside the old version's average.

        A new answer is measured after division by what the plan lets it be worse, so that both
        versions meet the same mark.
        """
        average = part.averages_by_kind.get((outcome.account_id, outcome.kind))
        if average is None or not outcome.ok:
            return False, False
        time_ms, cost = average
        mark = 1 + SLOW_MARGIN
        return outcome.total_ms / factor > time_ms * mark, outcome.cost / factor > cost * mark

    def _add_counts(self, part: _Participation, account_id: str, counts: AnswerCounts) -> None:
        """Adds to an account's counts, or to those of the rest when there are many accounts."""
        known = part.counts_by_account
        if account_id not in known and len(known) >= MAX_COUNTED_ACCOUNTS:
            account_id = OTHER_ACCOUNTS
        known[account_id] = known.get(account_id, AnswerCounts()).plus(counts)

    def _stop_locally(self, rollout: Rollout, part: _Participation) -> None:
        """Gives the new version no new work for a while, and tells peers and the holder."""
        now_ms = self._clock.now()
        log(STOPPED_LOCALLY, rollout=rollout.id, version=rollout.new)
        part.stop_deadline_ms = now_ms + LOCAL_STOP_MS
        part.next_report_ms = now_ms
        peers = sorted(self._link.peer_ids)
        told = self._rng.sample(peers, min(MAX_STOP_NOTICES, len(peers)))
        for peer_id in told:
            self._link.tell(peer_id, StopNotice(rollout.id, rollout.stage))

    def _needs_report(self, part: _Participation) -> bool:
        """Says whether a report would tell anything."""
        return bool(
            part.wanted
            or part.remaining <= 0
            or part.granted > part.ended + part.returned
            or part.counts_by_account != part.reported_by_account
        )

    async def _send_report(self, rollout: Rollout, part: _Participation) -> None:
        """Reports to the holder and takes what it grants."""
        now_ms = self._clock.now()
        if self._last_holder_contact_ms + HOLDER_TIMEOUT_MS < now_ms:
            self.holder = ""
        if not self.holder:
            part.next_report_ms = now_ms + FIRST_REPORT_DELAY_MS
            return
        part.return_lapsed(now_ms)
        counts = dict(part.counts_by_account)
        report = ExposureRequest(
            rollout.id,
            rollout.stage,
            self._incarnation,
            part.fencing,
            part.granted,
            part.ended,
            part.returned,
            max(0, part.target_remaining() - part.remaining),
            {
                account_id: total
                for account_id, total in counts.items()
                if total != part.reported_by_account.get(account_id)
            },
        )
        part.next_report_ms = now_ms + FIRST_REPORT_DELAY_MS
        try:
            grant = await self._request_exposure(report)
        except MastickeelError:
            return
        self._apply_reply(part, grant, counts, now_ms)

    async def _request_exposure(self, report: ExposureRequest) -> ExposureReply:
        """Sends a report, or hands it over where this instance holds the duty itself."""
        if self.holder == self._link.instance_id:
            return await self.report_locally(self.holder, report)
        return await self._link.ask(self.holder, report, ExposureReply)

    def _apply_reply(
        self,
        part: _Participation,
        grant: ExposureReply,
        counts: dict[str, AnswerCounts],
        asked_ms: int,
    ) -> None:
        """Takes what was granted, unless it comes from a holder that has been replaced."""
        if not grant.holds or grant.fencing < max(part.fencing, self._holder_fencing):
            self.holder = ""
            return
        self._last_holder_contact_ms = self._clock.now()
        if grant.fencing > part.fencing:
            part.reset_for_holder(grant.fencing)
            part.reported_by_account = {}
        part.reported_by_account.update(counts)
        part.wanted = 0
        part.granted = max(part.granted, grant.granted)
        part.lease_deadline_ms = asked_ms + grant.lease_ms
        part.next_report_ms = asked_ms + grant.next_ms

    def _drop_inactive(self) -> None:
        """Forgets roll-outs that are no longer in force."""
        current = {rollout.id for rollout in rollouts_in_force(self._configuration())}
        for rollout_id in [one for one in self._participations_by_id if one not in current]:
            del self._participations_by_id[rollout_id]

    def record_holder(self, holder: str, fencing: int) -> None:
        """Notes who holds the duty, unless a later holder is known."""
        if fencing >= self._holder_fencing:
            self.holder, self._holder_fencing = holder, fencing
            self._last_holder_contact_ms = self._clock.now()

    async def _on_holder_notice(self, sender: str, told: HolderNotice) -> None:
        """Takes the news of a holder."""
        self.record_holder(sender, told.fencing)

    async def _on_stop_notice(self, sender: str, told: StopNotice) -> None:
        """Gives a version no new work for a while, as a peer has seen it fail."""
        rollout = self._configuration().rollouts_by_id.get(told.rollout_id)
        if rollout and rollout.stage == told.stage:
            self._participation(rollout).stop_deadline_ms = self._clock.now() + LOCAL_STOP_MS


async def _refuse_report(sender: str, report: ExposureRequest) -> ExposureReply:
    """Answers reports where there is no holder."""
    return ExposureReply(False)


def _is_superseded(rollout: Rollout, version_id: str, view: View) -> bool:
    """Says whether a later plan decides on a version that an ended plan would leave out."""
    if rollout.state not in (RolloutState.DONE, RolloutState.UNDONE):
        return False
    return any(
        other.stage_since_ms > rollout.stage_since_ms and version_id in (other.old, other.new)
        for other in view.committed.rollouts_by_id.values()
        if other.id != rollout.id
    )
