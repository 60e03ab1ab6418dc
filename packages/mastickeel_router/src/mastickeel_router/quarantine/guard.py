"""Guards each send: asks two holders for a permit, and reports an endpoint that crashed."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from mastickeel.addresses import Address
from mastickeel.errors import BadRequestError, MastickeelError, Ran, UnavailableError
from mastickeel.events import define
from mastickeel.httpmessages import ConnectionFailedError, Waits
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel_router.quarantine.fingerprints import fingerprint_of, write_fingerprint
from mastickeel_router.quarantine.holder import (
    ClearAsk,
    Cleared,
    Crash,
    CrashNoted,
    CrashReport,
    Holder,
    PermitAsk,
    PermitRelease,
    PermitReply,
    Verdict,
    refused_until,
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

HOLDERS = 3
"""Members that hold what is known of a content."""
QUORUM = 2
"""Holders that must grant each send: any two quorums have one in common."""
CRASH_COPIES = 4
"""Members that are told of each crash, so that two changes in a row forget none."""
ASK_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
BUSY_PAUSE_MS = 20
BUSY_LIMIT_MS = 30_000
"""The longest that a request waits for others of the same content."""
BUSY_RETRY_MS = 2_000
PROBE_MS = 1_000
COPY_INTERVAL_MS = 5_000
COLUMNS = ("fingerprint", "account", "crashes", "endpoints", "running", "until_ms")

ENDPOINT_CRASHED = define(
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
    holders: tuple[str, ...]


class Quarantine:
    """This instance's sends, and its part in holding what is known of contents."""

    def __init__(
        self,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        http: HttpClient,
        clock: Clock,
        draw: random.Random,
    ) -> None:
        """Makes the quarantine.

        Args:
            link: Reaches the holders.
            members: The fleet.
            http: Probes endpoints.
            clock: Times waits.
            draw: Spreads repeated asks.
        """
        self.holder = Holder(clock)
        """What this instance holds."""
        self._link = link
        self._members = members
        self._http = http
        self._clock = clock
        self._draw = draw
        self._suspect_until_ms: dict[str, int] = {}
        link.on(PermitAsk, self.holder.on_permit_ask)
        link.on(PermitRelease, self.holder.on_permit_release)
        link.on(CrashReport, self.holder.on_crash_report)
        link.on(ClearAsk, self.holder.on_clear_ask)

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
            crashed = error.ran is not Ran.NO and await self._is_gone(endpoint, error)
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
        told = dict.fromkeys([myself, *permit.holders, *ranked])
        asked = [self._ask(one, report, CrashNoted, self.holder.on_crash_report) for one in told]
        await asyncio.gather(*asked, return_exceptions=True)

    async def keep_copied(self) -> None:
        """Keeps the holders informed as members come and go, for as long as the router runs."""
        while True:
            await self._clock.sleep(COPY_INTERVAL_MS)
            await self.copy_suspects()

    async def copy_suspects(self) -> None:
        """Tells the present holders of the crashes that this instance knows of."""
        myself = self._members().local_member.id
        for fingerprint, known in self.holder.suspects().items():
            report = CrashReport(fingerprint, known.account_id, tuple(known.crashes))
            for member_id in self._ranked(fingerprint)[:HOLDERS]:
                if member_id != myself:
                    self._link.tell(member_id, report)

    def table(self) -> Table:
        """Returns the contents that this instance holds and that crashed an endpoint."""
        rows = tuple(
            (
                write_fingerprint(fingerprint),
                known.account_id,
                len(known.crashes),
                ", ".join(sorted(crash.endpoint_id for crash in known.crashes)),
                len(known.permits_until_ms),
                known.until_wall_ms,
            )
            for fingerprint, known in self.holder.suspects().items()
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
            ask = ClearAsk(int(fingerprint, 16))
        except ValueError as error:
            raise BadRequestError(f"{fingerprint!r} is no fingerprint of 16 digits.") from error
        members = self._members()
        asked = [
            self._ask(member_id, ask, Cleared, self.holder.on_clear_ask)
            for member_id in (members.local_member.id, *members.members_by_id)
        ]
        replies = await asyncio.gather(*asked, return_exceptions=True)
        known = sum(isinstance(reply, Cleared) and reply.known for reply in replies)
        failed = sum(isinstance(reply, BaseException) for reply in replies)
        return f"cleared {fingerprint} on {known} instances; {failed} did not answer"

    async def _acquire(self, request: ChatRequest, version_id: str) -> Permit:
        """Gets a permit from two holders, waiting for others of the same content."""
        fingerprint = fingerprint_of(request)
        name = f"{request.id}/{version_id}"
        ask = PermitAsk(fingerprint, request.account_id, name, version_id)
        until_ms = self._clock.now() + BUSY_LIMIT_MS
        if request.deadline_ms is not None:
            until_ms = min(until_ms, request.deadline_ms)
        while True:
            replies = await self._ask_holders(ask)
            holders = tuple(one for one, got in replies.items() if got.verdict is Verdict.GRANTED)
            permit = Permit(fingerprint, request.account_id, name, version_id, holders)
            enough = len(replies) >= self._quorum()
            until = refused_until({crash for got in replies.values() for crash in got.crashes})
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

    async def _ask_holders(self, ask: PermitAsk) -> dict[str, PermitReply]:
        """Asks all holders at once; those that were silent of late only when it takes them."""
        ranked = self._ranked(ask.fingerprint)[:HOLDERS]
        suspected = self._suspected()
        replies = await self._ask_each([one for one in ranked if one not in suspected], ask)
        if len(replies) < self._quorum():
            replies |= await self._ask_each([one for one in ranked if one in suspected], ask)
        return replies

    async def _ask_each(self, member_ids: list[str], ask: PermitAsk) -> dict[str, PermitReply]:
        """Asks some members at once; returns the replies of those that answer."""
        got = await asyncio.gather(
            *(self._ask(one, ask, PermitReply, self.holder.on_permit_ask) for one in member_ids),
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
        return QUORUM if len(self._members().members_by_id) >= HOLDERS - 1 else 1

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
            return await self._link.ask(member_id, content, expect, ASK_TIMEOUT_MS)
        except MastickeelError:
            self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
            raise

    def _release(self, permit: Permit, finished: bool) -> None:
        """Gives a permit back, without waiting."""
        release = PermitRelease(permit.fingerprint, permit.name, permit.version_id, finished)
        for member_id in permit.holders:
            if member_id != self._members().local_member.id:
                self._link.tell(member_id, release)
            else:
                self.holder.release(release)

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
                Address.parse(endpoint.address), waits=Waits(connect_ms=PROBE_MS), fresh=True
            )
        except ConnectionFailedError:
            return True
        connection.close()
        return False

    def _refusal(self, fingerprint: int, until_wall_ms: int) -> QuarantinedError:
        """Makes the refusal."""
        left_ms = max(1_000, until_wall_ms - self._clock.wall())
        return QuarantinedError(
            f"The content {write_fingerprint(fingerprint)} is refused for {left_ms // 1_000} s.",
            retry_after_ms=left_ms,
        )
