"""Sends requests to new versions within the instance's granted exposure, and counts answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.model import RolloutState
from mastickeel_router.rollouts.messages import (
    AnswerCounts,
    ExposureReply,
    ExposureRequest,
    HolderNotice,
    StopNotice,
)
from mastickeel_router.rollouts.selection import is_in_share, rollouts_in_force

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
"""Time without a reply after which the instance looks for another duty holder."""
LOCAL_STOP_MS = 5_000
"""How long a failing new version gets no requests."""
FAILURES_TO_STOP = 3
"""Consecutive failures of the new version after which the instance stops its new requests."""
MAX_STOP_NOTICES = 16
MAX_COUNTED_ACCOUNTS = 64
OTHER_ACCOUNTS = ""
MAX_OPEN_REQUESTS = 10_000
SLOW_MARGIN = 0.25
"""Relative excess over the old version's average from which an answer counts as slow or costly."""
SMOOTHING = 0.05
IGNORED_ERROR_CODES = (
    "unavailable",
    "no_version",
    "model_not_found",
    "bad_request",
    "cancelled",
    "forbidden",
)
"""Error codes that do not reflect on a version."""

STOPPED_LOCALLY = define_event(
    1900,
    "rollout_stopped_locally",
    "warning",
    "A new version fails repeatedly and gets no new requests for a while.",
)


@dataclass
class _LocalExposure:
    """The exposure and evidence of one rollout on this instance."""

    stage: int = 0
    fencing: int = 0
    granted: int = 0
    returned: int = 0
    ended: int = 0
    used: int = 0
    wanted: int = 0
    lease_deadline_ms: int = 0
    next_report_ms: int = 0
    stop_deadline_ms: int = 0
    consecutive_failures: int = 0
    counts_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    reported_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    averages_by_kind: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    """Average time in milliseconds and cost of the old version, by account and kind."""

    @property
    def remaining(self) -> int:
        """Granted requests that are neither used nor returned."""
        return self.granted - self.used - self.returned

    def target_remaining(self) -> int:
        """Returns the target for ``remaining``: the requests wanted of late, but at least one."""
        return max(1, self.wanted)

    def reset_for_holder(self, fencing: int) -> None:
        """Resets the counts for a new holder, since the grants of the earlier holder are void."""
        self.fencing = fencing
        self.granted = self.returned = self.ended = self.used = 0

    def return_lapsed(self, now_ms: int) -> None:
        """Returns granted requests that were not used before their lease expired."""
        if self.remaining > 0 and now_ms >= self.lease_deadline_ms:
            self.returned += self.remaining


class RolloutParticipant:
    """Applies rollouts to this instance's requests."""

    def __init__(
        self,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Creates the participant.

        Args:
            link: Connects to the peers.
            clock: Times leases and reports.
            rng: Spreads the first reports, and picks the peers to notify of a stop.
            configuration: Returns the configuration in force.
        """
        self.holder = ""
        """The id of the last known duty holder; empty when unknown."""
        self.report_locally: Callable[[str, ExposureRequest], Awaitable[ExposureReply]] = (
            _refuse_report
        )
        """Handles reports while this instance holds the duty itself."""
        self._link = link
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._incarnation = rng.getrandbits(48)
        self._holder_fencing = 0
        self._last_holder_contact_ms = 0
        self._exposures_by_id: dict[str, _LocalExposure] = {}
        self._open_grants_by_request: OrderedDict[str, list[tuple[str, int]]] = OrderedDict()
        link.register_handler(HolderNotice, self._on_holder_notice)
        link.register_handler(StopNotice, self._on_stop_notice)

    def filter_candidates(self, versions: list[Version], view: View) -> list[Version]:
        """Removes the new versions of rollouts from the candidates, since they replace old ones.

        ``substitute`` chooses new versions by share. Once a rollout is done, its old version is
        removed instead.

        Args:
            versions: The candidates of a request.
            view: The configuration in force.

        Returns:
            The remaining candidates, or all of them if none would remain.
        """
        candidate_ids = {version.id for version in versions}
        excluded_ids = set()
        for rollout in view.committed.rollouts_by_id.values():
            is_done = rollout.state is RolloutState.DONE
            excluded_id, kept_id = (
                (rollout.old, rollout.new) if is_done else (rollout.new, rollout.old)
            )
            if kept_id in candidate_ids and not _is_superseded(rollout, excluded_id, view):
                excluded_ids.add(excluded_id)
        return [version for version in versions if version.id not in excluded_ids] or versions

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        """Replaces old versions by new ones, where the stage's share and the exposure allow.

        Args:
            request: The request to run.
            version_ids: The versions planned for the request, in order.
            view: The configuration in force.

        Returns:
            The versions to run the request on, in order.
        """
        course = list(version_ids)
        for rollout in rollouts_in_force(view.committed):
            if rollout.old in course and self._try_use_exposure(rollout, request, view):
                course[course.index(rollout.old)] = rollout.new
        return tuple(course)

    def on_request_ended(self, request_id: str) -> None:
        """Records that a request has ended and no longer uses exposure."""
        for rollout_id, fencing in self._open_grants_by_request.pop(request_id, ()):
            exposure = self._exposures_by_id.get(rollout_id)
            if exposure and exposure.fencing == fencing:
                exposure.ended += 1

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Records that an answer was submitted for a rating."""
        for rollout in rollouts_in_force(self._configuration()):
            if rollout.new == version_id:
                self._add_counts(self._exposure(rollout), account_id, AnswerCounts(handed_in=1))

    def observe(self, outcome: Outcome) -> None:
        """Counts the outcome of a run."""
        if outcome.error_code in IGNORED_ERROR_CODES:
            return
        for rollout in rollouts_in_force(self._configuration()):
            if outcome.version_id == rollout.old:
                self._record_old_answer(self._exposure(rollout), outcome)
            elif outcome.version_id == rollout.new:
                self._record_new_answer(rollout, self._exposure(rollout), outcome)

    async def run(self) -> None:
        """Reports counts and requests exposure, until cancelled."""
        while True:
            await self._clock.sleep(ROUND_INTERVAL_MS)
            await self.run_round()

    async def run_round(self) -> None:
        """Sends the reports that are due."""
        now_ms = self._clock.now()
        for rollout in rollouts_in_force(self._configuration()):
            exposure = self._exposure(rollout)
            exposure.return_lapsed(now_ms)
            if now_ms >= exposure.next_report_ms and self._needs_report(exposure):
                await self._send_report(rollout, exposure)
        self._drop_inactive()

    def _try_use_exposure(self, rollout: Rollout, request: ChatRequest, view: View) -> bool:
        """Returns whether a request runs on the new version, and uses up exposure if so."""
        if not is_in_share(rollout, request.session or request.id):
            return False
        if not view.allows(request.account_id, rollout.new):
            return False
        exposure = self._exposure(rollout)
        now_ms = self._clock.now()
        exposure.return_lapsed(now_ms)
        exposure.wanted += 1
        if exposure.remaining <= 0 or now_ms < exposure.stop_deadline_ms:
            return False
        exposure.used += 1
        grants = self._open_grants_by_request.setdefault(request.id, [])
        grants.append((rollout.id, exposure.fencing))
        if len(self._open_grants_by_request) > MAX_OPEN_REQUESTS:
            self._open_grants_by_request.popitem(last=False)
        return True

    def _exposure(self, rollout: Rollout) -> _LocalExposure:
        exposure = self._exposures_by_id.get(rollout.id)
        if exposure is None:
            delay_ms = self._rng.randrange(FIRST_REPORT_DELAY_MS)
            exposure = _LocalExposure(next_report_ms=self._clock.now() + delay_ms)
            self._exposures_by_id[rollout.id] = exposure
        exposure.stage = rollout.stage
        return exposure

    def _record_old_answer(self, exposure: _LocalExposure, outcome: Outcome) -> None:
        """Counts an answer of the old version and updates the averages."""
        slow, costly = self._compare_with_average(exposure, outcome, 1.0)
        self._add_counts(
            exposure,
            outcome.account_id,
            AnswerCounts(old=1, old_failed=not outcome.ok, old_slow=slow, old_costly=costly),
        )
        if outcome.ok:
            key = (outcome.account_id, outcome.kind)
            time_ms, cost = exposure.averages_by_kind.get(key, (outcome.total_ms, outcome.cost))
            exposure.averages_by_kind[key] = (
                time_ms + SMOOTHING * (outcome.total_ms - time_ms),
                cost + SMOOTHING * (outcome.cost - cost),
            )

    def _record_new_answer(
        self, rollout: Rollout, exposure: _LocalExposure, outcome: Outcome
    ) -> None:
        """Counts an answer of the new version, and stops the version after repeated failures."""
        limits = {guard.metric: guard.limit for guard in rollout.guards}
        slow, _ = self._compare_with_average(exposure, outcome, 1 + limits.get("latency", 0.0))
        _, costly = self._compare_with_average(exposure, outcome, 1 + limits.get("cost", 0.0))
        self._add_counts(
            exposure,
            outcome.account_id,
            AnswerCounts(new=1, new_failed=not outcome.ok, new_slow=slow, new_costly=costly),
        )
        exposure.consecutive_failures = 0 if outcome.ok else exposure.consecutive_failures + 1
        if exposure.consecutive_failures >= FAILURES_TO_STOP:
            exposure.consecutive_failures = 0
            self._stop_locally(rollout, exposure)

    def _compare_with_average(
        self, exposure: _LocalExposure, outcome: Outcome, factor: float
    ) -> tuple[bool, bool]:
        """Returns whether an answer was slow and whether it was costly, against the old average.

        The values of a new answer are first divided by the factor that the rollout permits, so
        that both versions are compared with the same limit.
        """
        average = exposure.averages_by_kind.get((outcome.account_id, outcome.kind))
        if average is None or not outcome.ok:
            return False, False
        time_ms, cost = average
        limit = 1 + SLOW_MARGIN
        return outcome.total_ms / factor > time_ms * limit, outcome.cost / factor > cost * limit

    def _add_counts(self, exposure: _LocalExposure, account_id: str, counts: AnswerCounts) -> None:
        """Adds to an account's counts, or to the common counts beyond MAX_COUNTED_ACCOUNTS."""
        counts_by_account = exposure.counts_by_account
        if account_id not in counts_by_account and len(counts_by_account) >= MAX_COUNTED_ACCOUNTS:
            account_id = OTHER_ACCOUNTS
        counts_by_account[account_id] = counts_by_account.get(account_id, AnswerCounts()).plus(
            counts
        )

    def _stop_locally(self, rollout: Rollout, exposure: _LocalExposure) -> None:
        """Stops new requests to the new version for a while, and notifies peers and the holder."""
        now_ms = self._clock.now()
        log(STOPPED_LOCALLY, rollout=rollout.id, version=rollout.new)
        exposure.stop_deadline_ms = now_ms + LOCAL_STOP_MS
        exposure.next_report_ms = now_ms
        peers = sorted(self._link.peer_ids)
        peer_ids = self._rng.sample(peers, min(MAX_STOP_NOTICES, len(peers)))
        for peer_id in peer_ids:
            self._link.send_notice(peer_id, StopNotice(rollout.id, rollout.stage))

    def _needs_report(self, exposure: _LocalExposure) -> bool:
        """Returns whether a report would contain changes."""
        return bool(
            exposure.wanted
            or exposure.remaining <= 0
            or exposure.granted > exposure.ended + exposure.returned
            or exposure.counts_by_account != exposure.reported_by_account
        )

    async def _send_report(self, rollout: Rollout, exposure: _LocalExposure) -> None:
        """Reports to the holder and applies the reply."""
        now_ms = self._clock.now()
        if self._last_holder_contact_ms + HOLDER_TIMEOUT_MS < now_ms:
            self.holder = ""
        if not self.holder:
            exposure.next_report_ms = now_ms + FIRST_REPORT_DELAY_MS
            return
        exposure.return_lapsed(now_ms)
        counts = dict(exposure.counts_by_account)
        report = ExposureRequest(
            rollout.id,
            rollout.stage,
            self._incarnation,
            exposure.fencing,
            exposure.granted,
            exposure.ended,
            exposure.returned,
            max(0, exposure.target_remaining() - exposure.remaining),
            {
                account_id: total
                for account_id, total in counts.items()
                if total != exposure.reported_by_account.get(account_id)
            },
        )
        exposure.next_report_ms = now_ms + FIRST_REPORT_DELAY_MS
        try:
            reply = await self._request_exposure(report)
        except MastickeelError:
            return
        self._apply_reply(exposure, reply, counts, now_ms)

    async def _request_exposure(self, report: ExposureRequest) -> ExposureReply:
        """Sends a report to the holder, or handles it locally when this instance is the holder."""
        if self.holder == self._link.instance_id:
            return await self.report_locally(self.holder, report)
        return await self._link.request(self.holder, report, ExposureReply)

    def _apply_reply(
        self,
        exposure: _LocalExposure,
        reply: ExposureReply,
        counts: dict[str, AnswerCounts],
        sent_ms: int,
    ) -> None:
        """Applies a grant, unless its holder has been replaced."""
        if not reply.holds or reply.fencing < max(exposure.fencing, self._holder_fencing):
            self.holder = ""
            return
        self._last_holder_contact_ms = self._clock.now()
        if reply.fencing > exposure.fencing:
            exposure.reset_for_holder(reply.fencing)
            exposure.reported_by_account = {}
        exposure.reported_by_account.update(counts)
        exposure.wanted = 0
        exposure.granted = max(exposure.granted, reply.granted)
        exposure.lease_deadline_ms = sent_ms + reply.lease_ms
        exposure.next_report_ms = sent_ms + reply.next_ms

    def _drop_inactive(self) -> None:
        """Drops the exposure of rollouts that are no longer in force."""
        current_ids = {rollout.id for rollout in rollouts_in_force(self._configuration())}
        for rollout_id in [key for key in self._exposures_by_id if key not in current_ids]:
            del self._exposures_by_id[rollout_id]

    def record_holder(self, holder: str, fencing: int) -> None:
        """Records the duty holder, unless a later one is known."""
        if fencing >= self._holder_fencing:
            self.holder, self._holder_fencing = holder, fencing
            self._last_holder_contact_ms = self._clock.now()

    async def _on_holder_notice(self, sender: str, notice: HolderNotice) -> None:
        """Records the sender as the duty holder."""
        self.record_holder(sender, notice.fencing)

    async def _on_stop_notice(self, sender: str, notice: StopNotice) -> None:
        """Stops new requests to a version for a while, after a peer has seen the version fail."""
        rollout = self._configuration().rollouts_by_id.get(notice.rollout_id)
        if rollout and rollout.stage == notice.stage:
            self._exposure(rollout).stop_deadline_ms = self._clock.now() + LOCAL_STOP_MS


async def _refuse_report(sender: str, report: ExposureRequest) -> ExposureReply:
    """Replies to a report that this instance does not hold the duty."""
    return ExposureReply(False)


def _is_superseded(rollout: Rollout, version_id: str, view: View) -> bool:
    """Returns whether a later rollout decides on a version that an ended one would exclude."""
    if rollout.state not in (RolloutState.DONE, RolloutState.UNDONE):
        return False
    return any(
        other.stage_since_ms > rollout.stage_since_ms and version_id in (other.old, other.new)
        for other in view.committed.rollouts_by_id.values()
        if other.id != rollout.id
    )
