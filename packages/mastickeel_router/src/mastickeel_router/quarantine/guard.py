"""Guards each send: obtains a permit from a quorum of replicas and reports endpoint crashes."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeVar

from mastickeel.addresses import Address
from mastickeel.errors import BadRequestError, ExecutionStatus, MastickeelError, UnavailableError
from mastickeel.events import define_event
from mastickeel.httpmessages import ConnectionFailedError, Timeouts
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel_router.quarantine.fingerprints import compute_fingerprint, format_fingerprint
from mastickeel_router.quarantine.replica import (
    ClearReply,
    ClearRequest,
    Crash,
    CrashReport,
    CrashReportReply,
    PermitReleaseNotice,
    PermitReply,
    PermitRequest,
    QuarantineReplica,
    Verdict,
    refusal_end_wall_ms,
)
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Endpoint
    from mastickeel.peers import PeerLink
    from mastickeel_router.membership import Members
    from mastickeel_router.requests import ChatRequest

REPLICAS = 3
"""Number of members that replicate the state of a content."""
QUORUM = 2
"""Replicas that must grant each send; any two quorums have a replica in common."""
CRASH_COPIES = 4
"""Members that receive each crash report, so that two membership changes in a row lose none."""
REQUEST_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
BUSY_PAUSE_MS = 20
BUSY_LIMIT_MS = 30_000
"""Longest time that a request waits for running requests with the same content."""
BUSY_RETRY_MS = 2_000
PROBE_TIMEOUT_MS = 1_000
COPY_INTERVAL_MS = 5_000
DEPARTURE_HOLD_MS = 6_000
"""Time for which a departed member still counts as a replica: above the interval at which the
permits under way are copied to the members that replace it."""
COLUMNS = ("fingerprint", "account", "crashes", "endpoints", "running", "until_ms")

ENDPOINT_CRASHED = define_event(
    2210, "endpoint_crashed", "error", "An endpoint crashed while it ran a request."
)

C = TypeVar("C")
R = TypeVar("R")


class QuarantinedError(MastickeelError):
    """Raised when a request is refused because its content has crashed endpoints."""

    code = "quarantined"
    status = 422
    title = "Requests with this content have crashed endpoints."
    remedy = "Change the request, or ask an operator to 'clear quarantine' its fingerprint."


@dataclass(frozen=True)
class Permit:
    """Permission for one send."""

    fingerprint: int
    account_id: str
    send_id: str
    version_id: str
    replica_ids: tuple[str, ...]
    """Replicas that granted it, and those whose answer is missing: they may grant it late."""


class Quarantine:
    """Guards the sends of this instance and replicates the state of contents."""

    def __init__(
        self,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the quarantine.

        Args:
            link: Connects to the other members.
            members: Returns the fleet members.
            http: Client for probing endpoints.
            clock: Provides the time and the pauses.
            rng: Adds jitter to the pause between permit requests.
        """
        self.replica = QuarantineReplica(clock)
        """Replica of content states on this instance."""
        self._link = link
        self._members = members
        self._http = http
        self._clock = clock
        self._rng = rng
        self._suspect_until_ms: dict[str, int] = {}
        self._known_ids: set[str] = set()
        self._departed_ms_by_id: dict[str, int] = {}
        self._permits_by_send: dict[str, Permit] = {}
        link.register_handler(PermitRequest, self.replica.on_permit_request)
        link.register_handler(PermitReleaseNotice, self.replica.on_permit_release_notice)
        link.register_handler(CrashReport, self.replica.on_crash_report)
        link.register_handler(ClearRequest, self.replica.on_clear_request)

    @contextlib.asynccontextmanager
    async def guard(
        self, request: ChatRequest, version_id: str, endpoint: Endpoint
    ) -> AsyncIterator[None]:
        """Guards one send of a request to an endpoint for the duration of the context.

        Args:
            request: The request to send.
            version_id: The version that runs the request.
            endpoint: The endpoint that receives the request.

        Raises:
            QuarantinedError: If the content is quarantined; the request is not sent.
            UnavailableError: If no quorum of replicas answers, or requests with the same content
                run for too long; the request is not sent.
        """
        permit = await self._acquire_permit(request, version_id)
        self._permits_by_send[permit.send_id] = permit
        finished = crashed = False
        try:
            yield
            finished = True
        except MastickeelError as error:
            crashed = error.ran is not ExecutionStatus.NO and await self._has_crashed(
                endpoint, error
            )
            if crashed:
                log(ENDPOINT_CRASHED, endpoint=endpoint.id, request=request.id)
                await self.report_crash(permit, endpoint.id)
            raise
        finally:
            permit = self._permits_by_send.pop(permit.send_id, permit)
            # A replica that missed the crash report must keep counting the permit.
            if not crashed:
                self._release_permit(permit, finished)

    async def report_crash(self, permit: Permit, endpoint_id: str) -> None:
        """Reports to the replicas that an endpoint crashed during a permitted send.

        Args:
            permit: The permit of the send.
            endpoint_id: The endpoint that crashed.
        """
        crash = Crash(endpoint_id, self._clock.wall())
        report = CrashReport(permit.fingerprint, permit.account_id, (crash,), permit.send_id)
        own_id = self._members().local_member.id
        ranked = self._ranked_members(permit.fingerprint)[:CRASH_COPIES]
        recipients = dict.fromkeys([own_id, *permit.replica_ids, *ranked])
        requests = [
            self._request(member_id, report, CrashReportReply, self.replica.on_crash_report)
            for member_id in recipients
        ]
        await asyncio.gather(*requests, return_exceptions=True)

    async def run_crash_copying(self) -> None:
        """Copies known crashes and own permits to the current replicas until cancelled."""
        while True:
            self.observe_members()
            await self._clock.sleep(COPY_INTERVAL_MS)
            await self.send_known_crashes()
            await self.copy_permits()

    def observe_members(self) -> None:
        """Records which members are present, and which have departed since the last call."""
        now, present = self._clock.now(), set(self._members().members_by_id)
        for member_id in self._known_ids - present:
            self._departed_ms_by_id[member_id] = now
        self._known_ids = present
        self._departed_ms_by_id = {
            member_id: at_ms
            for member_id, at_ms in self._departed_ms_by_id.items()
            if member_id not in present and now - at_ms < DEPARTURE_HOLD_MS
        }

    async def copy_permits(self) -> None:
        """Copies permits to members that have become replicas since they were granted.

        These are the permits of own sends, and those of departed instances: whether their sends
        still run, or have crashed an endpoint, is not known.
        """
        for send_id, permit in list(self._permits_by_send.items()):
            ranked = self._ranked_members(permit.fingerprint)[:REPLICAS]
            new_ids = [member_id for member_id in ranked if member_id not in permit.replica_ids]
            if not new_ids:
                continue
            # Named before the request, so that a permit that is granted late is released too.
            held_by = (*permit.replica_ids, *new_ids)
            self._permits_by_send[send_id] = replace(permit, replica_ids=held_by)
            await self._request_from(
                new_ids,
                PermitRequest(permit.fingerprint, permit.account_id, send_id, permit.version_id),
            )
        for request in self.replica.permits_held_by(self._list_departed()):
            ranked = self._ranked_members(request.fingerprint)[:REPLICAS]
            await self._request_from(ranked, request)

    async def send_known_crashes(self) -> None:
        """Sends the crashes that this instance knows of to the current replicas."""
        own_id = self._members().local_member.id
        for fingerprint, state in self.replica.suspects().items():
            report = CrashReport(fingerprint, state.account_id, tuple(state.crashes))
            for member_id in self._ranked_members(fingerprint)[:REPLICAS]:
                if member_id != own_id:
                    self._link.send_notice(member_id, report)

    def table(self) -> Table:
        """Returns the table of contents on this instance that have crashed an endpoint."""
        rows = tuple(
            (
                format_fingerprint(fingerprint),
                state.account_id,
                len(state.crashes),
                ", ".join(sorted(crash.endpoint_id for crash in state.crashes)),
                len(state.expiry_ms_by_permit),
                state.refused_until_wall_ms,
            )
            for fingerprint, state in self.replica.suspects().items()
        )
        return Table(COLUMNS, rows)

    async def clear(self, fingerprint: str, author: str) -> str:
        """Clears the state of a content on every member, for ``clear quarantine``.

        Args:
            fingerprint: The fingerprint in hexadecimal, as in the table.
            author: The operator who runs the command.

        Returns:
            A summary of the result.

        Raises:
            BadRequestError: If the fingerprint is not hexadecimal.
        """
        try:
            request = ClearRequest(int(fingerprint, 16))
        except ValueError as error:
            raise BadRequestError(
                f"{fingerprint!r} is not a fingerprint of 16 hexadecimal digits."
            ) from error
        members = self._members()
        requests = [
            self._request(member_id, request, ClearReply, self.replica.on_clear_request)
            for member_id in (members.local_member.id, *members.members_by_id)
        ]
        replies = await asyncio.gather(*requests, return_exceptions=True)
        cleared = sum(isinstance(reply, ClearReply) and reply.known for reply in replies)
        failed = sum(isinstance(reply, BaseException) for reply in replies)
        return f"cleared {fingerprint} on {cleared} instances; {failed} did not answer"

    async def _acquire_permit(self, request: ChatRequest, version_id: str) -> Permit:
        """Obtains a permit, waiting while requests with the same content run."""
        fingerprint = compute_fingerprint(request)
        send_id = f"{request.id}/{version_id}"
        permit_request = PermitRequest(fingerprint, request.account_id, send_id, version_id)
        deadline_ms = self._clock.now() + BUSY_LIMIT_MS
        if request.deadline_ms is not None:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        while True:
            answers = await self._request_permits(permit_request)
            held_by = tuple(
                member_id
                for member_id, reply in answers.items()
                if reply is None or reply.verdict is Verdict.GRANTED
            )
            permit = Permit(fingerprint, request.account_id, send_id, version_id, held_by)
            replies = [reply for reply in answers.values() if reply is not None]
            has_quorum = len(replies) >= self._quorum()
            refused_until_wall_ms = refusal_end_wall_ms(
                {crash for reply in replies for crash in reply.crashes}
            )
            all_granted = all(reply.verdict is Verdict.GRANTED for reply in replies)
            if has_quorum and all_granted and not refused_until_wall_ms:
                return permit
            self._release_permit(permit, finished=False)
            if refused_until_wall_ms:
                raise self._quarantined_error(fingerprint, refused_until_wall_ms)
            if not has_quorum:
                raise UnavailableError(
                    "Too few instances answered the permit request for this content.",
                    retry_after_ms=BUSY_RETRY_MS,
                )
            if self._clock.now() >= deadline_ms:
                raise UnavailableError(
                    "Requests with the same content are still running.",
                    retry_after_ms=BUSY_RETRY_MS,
                )
            await self._clock.sleep(self._rng.uniform(BUSY_PAUSE_MS, 2 * BUSY_PAUSE_MS))

    async def _request_permits(self, request: PermitRequest) -> dict[str, PermitReply | None]:
        """Requests a permit from the replicas; suspected replicas only if needed for a quorum.

        Returns:
            The replies by member id; None for a member that did not answer in time.
        """
        ranked = self._ranked_replicas(request.fingerprint)
        suspected = self._suspected_members()
        answers = await self._request_from(
            [member_id for member_id in ranked if member_id not in suspected], request
        )
        if sum(reply is not None for reply in answers.values()) < self._quorum():
            answers |= await self._request_from(
                [member_id for member_id in ranked if member_id in suspected], request
            )
        return answers

    async def _request_from(
        self, member_ids: list[str], request: PermitRequest
    ) -> dict[str, PermitReply | None]:
        """Requests a permit from members concurrently; returns the replies by member id."""
        results = await asyncio.gather(
            *(
                self._request(member_id, request, PermitReply, self.replica.on_permit_request)
                for member_id in member_ids
            ),
            return_exceptions=True,
        )
        answers: dict[str, PermitReply | None] = {}
        for member_id, reply in zip(member_ids, results, strict=True):
            if isinstance(reply, PermitReply):
                answers[member_id] = reply
            elif isinstance(reply, MastickeelError):
                answers[member_id] = None
            else:
                raise reply
        return answers

    def _quorum(self) -> int:
        """Returns how many replicas must answer.

        In a fleet with fewer than REPLICAS members, one answer is enough, so that a fleet of two
        still works after losing one member.
        """
        others = {*self._members().members_by_id, *self._list_departed()}
        return QUORUM if len(others) >= REPLICAS - 1 else 1

    async def _request(
        self,
        member_id: str,
        payload: C,
        reply_type: type[R],
        handler: Callable[[str, C], Awaitable[R]],
    ) -> R:
        """Sends a message to a member, or handles it locally; returns the reply."""
        if member_id == self._members().local_member.id:
            return await handler(member_id, payload)
        try:
            return await self._link.request(member_id, payload, reply_type, REQUEST_TIMEOUT_MS)
        except MastickeelError:
            self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
            raise

    def _release_permit(self, permit: Permit, finished: bool) -> None:
        """Sends the release of a permit to its replicas, without waiting."""
        notice = PermitReleaseNotice(
            permit.fingerprint, permit.send_id, permit.version_id, finished
        )
        for member_id in permit.replica_ids:
            if member_id != self._members().local_member.id:
                self._link.send_notice(member_id, notice)
            else:
                self.replica.release(notice)

    def _ranked_members(self, fingerprint: int) -> list[str]:
        """Returns all member ids by rendezvous rank; the first REPLICAS replicate the content."""
        members = self._members()
        return rank(str(fingerprint), [members.local_member.id, *members.members_by_id])

    def _ranked_replicas(self, fingerprint: int) -> list[str]:
        """Returns the live replicas of a content, not counting those that replace departed ones.

        Until the permits under way are copied, a member that replaces a departed replica does not
        know of them.
        """
        departed = self._list_departed()
        ids = {*self._ranked_members(fingerprint), *departed}
        replicas = rank(str(fingerprint), ids)[:REPLICAS]
        return [member_id for member_id in replicas if member_id not in departed]

    def _list_departed(self) -> set[str]:
        """Returns the ids of the members that have departed within the last DEPARTURE_HOLD_MS."""
        self.observe_members()
        return set(self._departed_ms_by_id)

    def _suspected_members(self) -> set[str]:
        """Returns the ids of members that failed to answer within the last SUSPECT_MS."""
        now = self._clock.now()
        members_by_id = self._members().members_by_id
        return {
            member_id
            for member_id, suspect_until_ms in self._suspect_until_ms.items()
            if suspect_until_ms > now and member_id in members_by_id
        }

    async def _has_crashed(self, endpoint: Endpoint, error: MastickeelError) -> bool:
        """Returns whether the send or a probe connection could not reach the endpoint."""
        if isinstance(error.__cause__, ConnectionFailedError):
            return True
        try:
            connection = await self._http.connect(
                Address.parse(endpoint.address),
                timeouts=Timeouts(connect_ms=PROBE_TIMEOUT_MS),
                fresh=True,
            )
        except ConnectionFailedError:
            return True
        connection.close()
        return False

    def _quarantined_error(self, fingerprint: int, until_wall_ms: int) -> QuarantinedError:
        """Returns the error for a quarantined content."""
        remaining_ms = max(1_000, until_wall_ms - self._clock.wall())
        return QuarantinedError(
            f"Requests with content {format_fingerprint(fingerprint)} are refused for "
            f"{remaining_ms // 1_000} s.",
            retry_after_ms=remaining_ms,
        )
