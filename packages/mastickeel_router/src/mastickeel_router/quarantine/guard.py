"""Guards each send: asks two holders for a permit, and reports an endpoint that crashed."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
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
"""Members that hold what is known of a content."""
QUORUM = 2
"""Holders that must grant each send: any two quorums have one in common."""
CRASH_COPIES = 4
"""Members that are told of each crash, so that two changes in a row forget none."""
REQUEST_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
BUSY_PAUSE_MS = 20
BUSY_LIMIT_MS = 30_000
"""The longest that a request waits for others of the same content."""
BUSY_RETRY_MS = 2_000
PROBE_MS = 1_000
COPY_INTERVAL_MS = 5_000
COLUMNS = ("fingerprint", "account", "crashes", "endpoints", "running", "until_ms")

ENDPOINT_CRASHED = define_event(
    2210, "endpoint_crashed", "error", "An endpoint vanished while it ran a request."
)

C = TypeVar("C")
R = TypeVar("R")


class QuarantinedError(MastickeelError):
    """Raised when the request's content has crashed endpoints and is refused for a while."""

    code = "quarantined"
    status = 422
    title = "Requests with this content have crashed endpoints."
    remedy = "Change the request, or ask an operator to 'clear quarantine' its fingerprint."


@dataclass(frozen=True)
class Permit:
    """A send that is allowed, and who allowed it."""

    fingerprint: int
    account_id: str
    name: str
    version_id: str
    replica_ids: tuple[str, ...]


class Quarantine:
    """This instance's sends, and its part in holding what is known of contents."""

    def __init__(
        self,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Makes the quarantine.

        Args:
            link: Reaches the holders.
            members: The fleet.
            http: Probes endpoints.
            clock: Times waits.
            rng: Spreads repeated asks.
        """
        self.replica = QuarantineReplica(clock)
        """What this instance holds."""
        self._link = link
        self._members = members
        self._http = http
        self._clock = clock
        self._draw = rng
        self._suspect_until_ms: dict[str, int] = {}
        link.register_handler(PermitRequest, self.replica.on_permit_request)
        link.register_handler(PermitReleaseNotice, self.replica.on_permit_release_notice)
        link.register_handler(CrashReport, self.replica.on_crash_report)
        link.register_handler(ClearRequest, self.replica.on_clear_request)

    @contextlib.asynccontextmanager
    async def guard(
        self, request: ChatRequest, version_id: str, endpoint: Endpoint
    ) -> AsyncIterator[None]:
        """Surrounds one send of a request to one endpoint.

        Args:
            request: What is sent.
            version_id: The version that runs it.
            endpoint: Where it is sent.

        Raises:
            QuarantinedError: When its content is refused; this send does not take place.
            UnavailableError: When others of the same content run for too long.
        """
        permit = await self._acquire(request, version_id)
        finished = crashed = False
        try:
            yield
            finished = True
        except MastickeelError as error:
            crashed = error.ran is not ExecutionStatus.NO and await self._is_gone(endpoint, error)
            if crashed:
                log(ENDPOINT_CRASHED, endpoint=endpoint.id, request=request.id)
                await self.report_crash(permit, endpoint.id)
            raise
        finally:
            # A holder that was not told of the crash has to go on counting the permit.
            if not crashed:
                self._release(permit, finished)

    async def report_crash(self, permit: Permit, endpoint_id: str) -> None:
        """Tells the holders that an endpoint crashed under a permit.

        Args:
            permit: The send's permit.
            endpoint_id: The endpoint.
        """
        crash = Crash(endpoint_id, self._clock.wall())
        report = CrashReport(permit.fingerprint, permit.account_id, (crash,), permit.name)
        myself = self._members().local_member.id
        ranked = self._ranked(permit.fingerprint)[:CRASH_COPIES]
        told = dict.fromkeys([myself, *permit.replica_ids, *ranked])
        asked = [
            self._ask(one, report, CrashReportReply, self.replica.on_crash_report) for one in told
        ]
        await asyncio.gather(*asked, return_exceptions=True)

    async def run_crash_copying(self) -> None:
        """Keeps the holders informed as members come and go, for as long as the router runs."""
        while True:
            await self._clock.sleep(COPY_INTERVAL_MS)
            await self.send_known_crashes()

    async def send_known_crashes(self) -> None:
        """Tells the present holders of the crashes that this instance knows of."""
        myself = self._members().local_member.id
        for fingerprint, known in self.replica.suspects().items():
            report = CrashReport(fingerprint, known.account_id, tuple(known.crashes))
            for member_id in self._ranked(fingerprint)[:REPLICAS]:
                if member_id != myself:
                    self._link.send_notice(member_id, report)

    def table(self) -> Table:
        """Returns the contents that this instance holds and that crashed an endpoint."""
        rows = tuple(
            (
                format_fingerprint(fingerprint),
                known.account_id,
                len(known.crashes),
                ", ".join(sorted(crash.endpoint_id for crash in known.crashes)),
                len(known.expiry_ms_by_permit),
                known.refused_until_wall_ms,
            )
            for fingerprint, known in self.replica.suspects().items()
        )
        return Table(COLUMNS, rows)

    async def clear(self, fingerprint: str, author: str) -> str:
        """Forgets a content's crashes on every member, for ``clear quarantine``.

        Args:
            fingerprint: As the table shows it.
            author: Who asks.

        Returns:
            What was done.

        Raises:
            BadRequestError: When it is no fingerprint.
        """
        try:
            ask = ClearRequest(int(fingerprint, 16))
        except ValueError as error:
            raise BadRequestError(f"{fingerprint!r} is no fingerprint of 16 digits.") from error
        members = self._members()
        asked = [
            self._ask(member_id, ask, ClearReply, self.replica.on_clear_request)
            for member_id in (members.local_member.id, *members.members_by_id)
        ]
        replies = await asyncio.gather(*asked, return_exceptions=True)
        known = sum(isinstance(reply, ClearReply) and reply.known for reply in replies)
        failed = sum(isinstance(reply, BaseException) for reply in replies)
        return f"cleared {fingerprint} on {known} instances; {failed} did not answer"

    async def _acquire(self, request: ChatRequest, version_id: str) -> Permit:
        """Gets a permit from two holders, waiting for others of the same content."""
        fingerprint = compute_fingerprint(request)
        name = f"{request.id}/{version_id}"
        ask = PermitRequest(fingerprint, request.account_id, name, version_id)
        until_ms = self._clock.now() + BUSY_LIMIT_MS
        if request.deadline_ms is not None:
            until_ms = min(until_ms, request.deadline_ms)
        while True:
            replies = await self._ask_holders(ask)
            holders = tuple(one for one, got in replies.items() if got.verdict is Verdict.GRANTED)
            permit = Permit(fingerprint, request.account_id, name, version_id, holders)
            enough = len(replies) >= self._quorum()
            until = refusal_end_wall_ms(
                {crash for got in replies.values() for crash in got.crashes}
            )
            if enough and len(holders) == len(replies) and not until:
                return permit
            self._release(permit, finished=False)
            if until:
                raise self._refusal(fingerprint, until)
            if not enough:
                raise UnavailableError(
                    "No other instance could be asked about the request's content.",
                    retry_after_ms=BUSY_RETRY_MS,
                )
            if self._clock.now() >= until_ms:
                raise UnavailableError(
                    "Other requests with the same content run.", retry_after_ms=BUSY_RETRY_MS
                )
            await self._clock.sleep(self._draw.uniform(BUSY_PAUSE_MS, 2 * BUSY_PAUSE_MS))

    async def _ask_holders(self, ask: PermitRequest) -> dict[str, PermitReply]:
        """Asks all holders at once; those that were silent of late only when it takes them."""
        ranked = self._ranked(ask.fingerprint)[:REPLICAS]
        suspected = self._suspected()
        replies = await self._ask_each([one for one in ranked if one not in suspected], ask)
        if len(replies) < self._quorum():
            replies |= await self._ask_each([one for one in ranked if one in suspected], ask)
        return replies

    async def _ask_each(self, member_ids: list[str], ask: PermitRequest) -> dict[str, PermitReply]:
        """Asks some members at once; returns the replies of those that answer."""
        got = await asyncio.gather(
            *(
                self._ask(one, ask, PermitReply, self.replica.on_permit_request)
                for one in member_ids
            ),
            return_exceptions=True,
        )
        replies: dict[str, PermitReply] = {}
        for member_id, reply in zip(member_ids, got, strict=True):
            if isinstance(reply, PermitReply):
                replies[member_id] = reply
            elif not isinstance(reply, MastickeelError):
                raise reply
        return replies

    def _quorum(self) -> int:
        """Returns how many holders must answer; a fleet of two goes on when it loses one."""
        return QUORUM if len(self._members().members_by_id) >= REPLICAS - 1 else 1

    async def _ask(
        self,
        member_id: str,
        content: C,
        expect: type[R],
        local: Callable[[str, C], Awaitable[R]],
    ) -> R:
        """Asks a member, or this instance itself."""
        if member_id == self._members().local_member.id:
            return await local(member_id, content)
        try:
            return await self._link.request(member_id, content, expect, REQUEST_TIMEOUT_MS)
        except MastickeelError:
            self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
            raise

    def _release(self, permit: Permit, finished: bool) -> None:
        """Gives a permit back, without waiting."""
        release = PermitReleaseNotice(permit.fingerprint, permit.name, permit.version_id, finished)
        for member_id in permit.replica_ids:
            if member_id != self._members().local_member.id:
                self._link.send_notice(member_id, release)
            else:
                self.replica.release(release)

    def _ranked(self, fingerprint: int) -> list[str]:
        """Returns the members in the order in which they hold a content."""
        members = self._members()
        return rank(str(fingerprint), [members.local_member.id, *members.members_by_id])

    def _suspected(self) -> set[str]:
        """Returns the members that did not answer of late."""
        now = self._clock.now()
        known = self._members().members_by_id
        return {
            one for one, until in self._suspect_until_ms.items() if until > now and one in known
        }

    async def _is_gone(self, endpoint: Endpoint, error: MastickeelError) -> bool:
        """Says whether an endpoint did or does not answer a fresh connection."""
        if isinstance(error.__cause__, ConnectionFailedError):
            return True
        try:
            connection = await self._http.connect(
                Address.parse(endpoint.address), timeouts=Timeouts(connect_ms=PROBE_MS), fresh=True
            )
        except ConnectionFailedError:
            return True
        connection.close()
        return False

    def _refusal(self, fingerprint: int, until_wall_ms: int) -> QuarantinedError:
        """Makes the refusal."""
        left_ms = max(1_000, until_wall_ms - self._clock.wall())
        return QuarantinedError(
            f"The content {format_fingerprint(fingerprint)} is refused for {left_ms // 1_000} s.",
            retry_after_ms=left_ms,
        )
