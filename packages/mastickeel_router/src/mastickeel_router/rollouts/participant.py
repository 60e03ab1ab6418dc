"""An instance's part in roll-outs: draws within its share of the exposure, and counts answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define
from mastickeel.logs import log
from mastickeel.model import RolloutState
from mastickeel_router.rollouts.messages import Counts, Grant, HolderTold, Report, StopTold
from mastickeel_router.rollouts.plans import in_force, is_drawn

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Configuration, Rollout, Version, View
    from mastickeel.peers import PeerLink
    from mastickeel_router.requests import ChatRequest, Outcome

ROUND_MS = 250
FIRST_REPORT_MS = 500
SILENT_HOLDER_MS = 30_000
"""Without an answer for so long, the instance looks for another holder."""
STOP_MS = 5_000
FAILURES_TO_STOP = 3
"""Answers of the new version that fail in a row, before it gets no new work here."""
STOP_TOLD_PEERS = 16
ACCOUNTS_COUNTED = 64
OTHER_ACCOUNTS = ""
OPEN_REQUESTS_LIMIT = 10_000
SLOWER_LIMIT = 0.25
"""How much slower than the old version's average an answer counts as slow."""
SMOOTHING = 0.05
NOT_THE_VERSION = (
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
class _Part:
    """What the instance holds and knows of one roll-out."""

    stage: int = 0
    fencing: int = 0
    granted: int = 0
    returned: int = 0
    ended: int = 0
    taken: int = 0
    wanted: int = 0
    lapses_ms: int = 0
    next_report_ms: int = 0
    stopped_until_ms: int = 0
    failures_in_row: int = 0
    counts_by_account: dict[str, Counts] = field(default_factory=dict)
    reported_by_account: dict[str, Counts] = field(default_factory=dict)
    averages_by_kind: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    """The old version's time and cost, by account and kind."""

    @property
    def left(self) -> int:
        """Granted requests that have been neither taken nor returned."""
        return self.granted - self.taken - self.returned

    def demand(self) -> int:
        """Returns how many requests to have in hand: what was drawn of late, and one in advance."""
        return max(1, self.wanted)

    def begin_with(self, fencing: int) -> None:
        """Starts the counts of a new holder; what an earlier one granted is void."""
        self.fencing = fencing
        self.granted = self.returned = self.ended = self.taken = 0

    def lapse(self, now_ms: int) -> None:
        """Returns what was granted and not taken in time."""
        if self.left > 0 and now_ms >= self.lapses_ms:
            self.returned += self.left


class RolloutParticipant:
    """The roll-outs as this instance takes part in them."""

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        draw: random.Random,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Makes the participant.

        Args:
            link: The peers.
            clock: Times leases and reports.
            draw: Spreads the first reports, and picks whom to tell of a stop.
            configuration: Gives what is in force.
        """
        self.holder = ""
        """The instance that holds the duty, as far as is known."""
        self.ask_locally: Callable[[str, Report], Awaitable[Grant]] = _no_holder_here
        """Takes reports where this instance holds the duty."""
        self._link = link
        self._clock = clock
        self._draw = draw
        self._configuration = configuration
        self._incarnation = draw.getrandbits(48)
        self._holder_fencing = 0
        self._holder_heard_ms = 0
        self._parts_by_id: dict[str, _Part] = {}
        self._open_by_request: OrderedDict[str, list[tuple[str, int]]] = OrderedDict()
        link.on(HolderTold, self._on_holder_told)
        link.on(StopTold, self._on_stop_told)

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
            if kept in usable and not _is_overruled(rollout, replaced, view):
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
        for rollout in in_force(view.committed):
            if rollout.old in course and self._gives_new(rollout, request, view):
                course[course.index(rollout.old)] = rollout.new
        return tuple(course)

    def finish(self, request_id: str) -> None:
        """Notes that a request needs its exposure no longer."""
        for rollout_id, fencing in self._open_by_request.pop(request_id, ()):
            part = self._parts_by_id.get(rollout_id)
            if part and part.fencing == fencing:
                part.ended += 1

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Notes that an answer was handed in for a rating."""
        for rollout in in_force(self._configuration()):
            if rollout.new == version_id:
                self._count(self._part(rollout), account_id, Counts(handed_in=1))

    def observe(self, outcome: Outcome) -> None:
        """Counts how a run went."""
        if outcome.error_code in NOT_THE_VERSION:
            return
        for rollout in in_force(self._configuration()):
            if outcome.version_id == rollout.old:
                self._observe_old(self._part(rollout), outcome)
            elif outcome.version_id == rollout.new:
                self._observe_new(rollout, self._part(rollout), outcome)

    async def run(self) -> None:
        """Reports and asks for exposure, for as long as the instance runs."""
        while True:
            await self._clock.sleep(ROUND_MS)
            await self.round()

    async def round(self) -> None:
        """Reports each roll-out that is due."""
        now_ms = self._clock.now()
        for rollout in in_force(self._configuration()):
            part = self._part(rollout)
            part.lapse(now_ms)
            if now_ms >= part.next_report_ms and self._has_news(part):
                await self._report(rollout, part)
        self._drop_ended()

    def _gives_new(self, rollout: Rollout, request: ChatRequest, view: View) -> bool:
        """Draws for one request, and takes from the exposure when it falls to the new version."""
        if not is_drawn(rollout, request.session or request.id):
            return False
        if not view.allows(request.account_id, rollout.new):
            return False
        part = self._part(rollout)
        now_ms = self._clock.now()
        part.lapse(now_ms)
        part.wanted += 1
        if part.left <= 0 or now_ms < part.stopped_until_ms:
            return False
        part.taken += 1
        opened = self._open_by_request.setdefault(request.id, [])
        opened.append((rollout.id, part.fencing))
        if len(self._open_by_request) > OPEN_REQUESTS_LIMIT:
            self._open_by_request.popitem(last=False)
        return True

    def _part(self, rollout: Rollout) -> _Part:
        part = self._parts_by_id.get(rollout.id)
        if part is None:
            delay = self._draw.randrange(FIRST_REPORT_MS)
            part = _Part(next_report_ms=self._clock.now() + delay)
            self._parts_by_id[rollout.id] = part
        part.stage = rollout.stage
        return part

    def _observe_old(self, part: _Part, outcome: Outcome) -> None:
        """Counts an answer of the old version, and moves the averages."""
        slow, costly = self._against_average(part, outcome, 1.0)
        self._count(
            part,
            outcome.account_id,
            Counts(old=1, old_failed=not outcome.ok, old_slow=slow, old_costly=costly),
        )
        if outcome.ok:
            key = (outcome.account_id, outcome.kind)
            time_ms, cost = part.averages_by_kind.get(key, (outcome.total_ms, outcome.cost))
            part.averages_by_kind[key] = (
                time_ms + SMOOTHING * (outcome.total_ms - time_ms),
                cost + SMOOTHING * (outcome.cost - cost),
            )

    def _observe_new(self, rollout: Rollout, part: _Part, outcome: Outcome) -> None:
        """Counts an answer of the new version, and stops it here when it fails plainly."""
        limits = {guard.metric: guard.limit for guard in rollout.guards}
        slow, _ = self._against_average(part, outcome, 1 + limits.get("latency", 0.0))
        _, costly = self._against_average(part, outcome, 1 + limits.get("cost", 0.0))
        self._count(
            part,
            outcome.account_id,
            Counts(new=1, new_failed=not outcome.ok, new_slow=slow, new_costly=costly),
        )
        part.failures_in_row = 0 if outcome.ok else part.failures_in_row + 1
        if part.failures_in_row >= FAILURES_TO_STOP:
            part.failures_in_row = 0
            self._stop_locally(rollout, part)

    def _against_average(self, part: _Part, outcome: Outcome, factor: float) -> tuple[bool, bool]:
        """Says whether an answer was slow and costly, beside the old version's average.

        A new answer is measured after division by what the plan lets it be worse, so that both
        versions meet the same mark.
        """
        average = part.averages_by_kind.get((outcome.account_id, outcome.kind))
        if average is None or not outcome.ok:
            return False, False
        time_ms, cost = average
        mark = 1 + SLOWER_LIMIT
        return outcome.total_ms / factor > time_ms * mark, outcome.cost / factor > cost * mark

    def _count(self, part: _Part, account_id: str, counts: Counts) -> None:
        """Adds to an account's counts, or to those of the rest when there are many accounts."""
        known = part.counts_by_account
        if account_id not in known and len(known) >= ACCOUNTS_COUNTED:
            account_id = OTHER_ACCOUNTS
        known[account_id] = known.get(account_id, Counts()).plus(counts)

    def _stop_locally(self, rollout: Rollout, part: _Part) -> None:
        """Gives the new version no new work for a while, and tells peers and the holder."""
        now_ms = self._clock.now()
        log(STOPPED_LOCALLY, rollout=rollout.id, version=rollout.new)
        part.stopped_until_ms = now_ms + STOP_MS
        part.next_report_ms = now_ms
        peers = sorted(self._link.peer_ids)
        told = self._draw.sample(peers, min(STOP_TOLD_PEERS, len(peers)))
        for peer_id in told:
            self._link.tell(peer_id, StopTold(rollout.id, rollout.stage))

    def _has_news(self, part: _Part) -> bool:
        """Says whether a report would tell anything."""
        return bool(
            part.wanted
            or part.left <= 0
            or part.granted > part.ended + part.returned
            or part.counts_by_account != part.reported_by_account
        )

    async def _report(self, rollout: Rollout, part: _Part) -> None:
        """Reports to the holder and takes what it grants."""
        now_ms = self._clock.now()
        if self._holder_heard_ms + SILENT_HOLDER_MS < now_ms:
            self.holder = ""
        if not self.holder:
            part.next_report_ms = now_ms + FIRST_REPORT_MS
            return
        part.lapse(now_ms)
        counts = dict(part.counts_by_account)
        report = Report(
            rollout.id,
            rollout.stage,
            self._incarnation,
            part.fencing,
            part.granted,
            part.ended,
            part.returned,
            max(0, part.demand() - part.left),
            {
                account_id: total
                for account_id, total in counts.items()
                if total != part.reported_by_account.get(account_id)
            },
        )
        part.next_report_ms = now_ms + FIRST_REPORT_MS
        try:
            grant = await self._ask(report)
        except MastickeelError:
            return
        self._take_grant(part, grant, counts, now_ms)

    async def _ask(self, report: Report) -> Grant:
        """Sends a report, or hands it over where this instance holds the duty itself."""
        if self.holder == self._link.instance_id:
            return await self.ask_locally(self.holder, report)
        return await self._link.ask(self.holder, report, Grant)

    def _take_grant(
        self, part: _Part, grant: Grant, counts: dict[str, Counts], asked_ms: int
    ) -> None:
        """Takes what was granted, unless it comes from a holder that has been replaced."""
        if not grant.holds or grant.fencing < max(part.fencing, self._holder_fencing):
            self.holder = ""
            return
        self._holder_heard_ms = self._clock.now()
        if grant.fencing > part.fencing:
            part.begin_with(grant.fencing)
            part.reported_by_account = {}
        part.reported_by_account.update(counts)
        part.wanted = 0
        part.granted = max(part.granted, grant.granted)
        part.lapses_ms = asked_ms + grant.lease_ms
        part.next_report_ms = asked_ms + grant.next_ms

    def _drop_ended(self) -> None:
        """Forgets roll-outs that are no longer in force."""
        current = {rollout.id for rollout in in_force(self._configuration())}
        for rollout_id in [one for one in self._parts_by_id if one not in current]:
            del self._parts_by_id[rollout_id]

    def hear_holder(self, holder: str, fencing: int) -> None:
        """Notes who holds the duty, unless a later holder is known."""
        if fencing >= self._holder_fencing:
            self.holder, self._holder_fencing = holder, fencing
            self._holder_heard_ms = self._clock.now()

    async def _on_holder_told(self, sender: str, told: HolderTold) -> None:
        """Takes the news of a holder."""
        self.hear_holder(sender, told.fencing)

    async def _on_stop_told(self, sender: str, told: StopTold) -> None:
        """Gives a version no new work for a while, as a peer has seen it fail."""
        rollout = self._configuration().rollouts_by_id.get(told.rollout_id)
        if rollout and rollout.stage == told.stage:
            self._part(rollout).stopped_until_ms = self._clock.now() + STOP_MS


async def _no_holder_here(sender: str, report: Report) -> Grant:
    """Answers reports where there is no holder."""
    return Grant(False)


def _is_overruled(rollout: Rollout, version_id: str, view: View) -> bool:
    """Says whether a later plan decides on a version that an ended plan would leave out."""
    if rollout.state not in (RolloutState.DONE, RolloutState.UNDONE):
        return False
    return any(
        other.stage_since_ms > rollout.stage_since_ms and version_id in (other.old, other.new)
        for other in view.committed.rollouts_by_id.values()
        if other.id != rollout.id
    )
