"""Intents: what keeps a call with an Idempotency-Key from running twice, on any instance.

An intent is a key in the key-value service, created before the call is sent and never taken over
by anybody else. It holds the outcome once there is one. Its lease outlives every repeat that a
caller can reasonably send.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.errors import (
    MastickeelError,
    OutcomeUnknownError,
    Ran,
    StoreError,
    UnavailableError,
)
from mastickeel.events import define
from mastickeel.logs import log
from mastickeel_router.dispatch._intent_store import IntentStore
from mastickeel_router.dispatch.intent import Intent, IntentKey, Outcome

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.tasks import TaskGroup

MAX_OUTCOME_BYTES = 16 * 1024
"""Larger answers are not kept: a repeat is told that the call ran."""
RETENTION_MS = 24 * 3_600_000
"""How long an intent surely blocks its key."""
RECORD_TIMEOUT_MS = 1_000
"""How long a caller's answer waits for its outcome to be kept."""
MAX_RECORD_ATTEMPTS = 20
RECORD_RETRY_DELAY_MS = 500
REPEAT_POLL_DELAYS_MS = (100, 200, 400, 800, 1_600)
"""Pauses between the reads of a repeat that waits for the call in flight."""
UNRECORDED_RETRY_AFTER_MS = 1_000

OUTCOME_NOT_KEPT = define(
    1510,
    "outcome_not_kept",
    "warning",
    "A keyed call's outcome could not be kept; repeats get " "'outcome unknown'.",
)


class KeyReusedError(MastickeelError):
    """Raised when an Idempotency-Key comes again with another request."""

    code = "key_reused"
    status = 422
    title = "The Idempotency-Key was used for another request."
    remedy = "Send each request under a key of its own; repeat a request with the same body."


class AlreadyAnsweredError(MastickeelError):
    """Raised when a repeat's call has run, and its answer was not kept."""

    code = "already_answered"
    status = 409
    title = "The call has run and was answered; the answer was not kept."
    remedy = "Ask the service for the result; do not send the call under a new key."
    ran = Ran.YES


@dataclass(frozen=True)
class _LocalIntent:
    """A key that a request of this instance has claimed, or is about to."""

    fingerprint: str
    settled: asyncio.Future[Intent | None]
    """The settled intent, or None when the store must be asked."""


class Claim:
    """The right to run a keyed call, held by the one request that created the intent."""

    def __init__(self, intents: IntentTable, path: str, intent: Intent, asked_ms: int) -> None:
        self._intents = intents
        self._path = path
        self._intent = intent
        self._deadline_ms = asked_ms + RETENTION_MS
        self.sent = False
        """Whether a send may have begun."""
        self.has_outcome = False
        """Whether there is an outcome to give to repeats."""

    def begin_send(self) -> None:
        """Makes sure, just before the send, that the intent still blocks its key.

        Raises:
            UnavailableError: When this instance was paused for so long that it may not.
        """
        if self._intents.clock.now() >= self._deadline_ms:
            raise UnavailableError("The intent has lapsed; nothing was sent.")
        self.sent = True

    async def record_outcome(self, outcome: Outcome) -> None:
        """Keeps the answer; waits only a while, and goes on trying after that."""
        if outcome.body is not None and len(outcome.body) > MAX_OUTCOME_BYTES:
            outcome = replace(outcome, body=None)
        self.has_outcome = True
        self._settle(replace(self._intent, settled=True, outcome=outcome))
        keeping = self._intents.tasks.start(self._write_until_stored())
        try:
            await self._intents.clock.wait_for(asyncio.shield(keeping), RECORD_TIMEOUT_MS)
        except TimeoutError:
            return

    def abandon(self) -> None:
        """Notes that the outcome is not known, and that nobody need wait for it."""
        self._settle(replace(self._intent, settled=True))
        self._intents.tasks.start(self._write_until_stored())

    async def release(self) -> None:
        """Frees the key, since surely nothing was sent."""
        self._intents.forget(self._path)
        try:
            await self._intents.store.delete(self._path, self._intent)
        except StoreError as error:
            # The intent goes on blocking the key, which is safe.
            log(OUTCOME_NOT_KEPT, request=self._intent.id, error=str(error))

    def _settle(self, intent: Intent) -> None:
        self._intent = intent
        self._intents.publish_settled(self._path, intent)

    async def _write_until_stored(self) -> None:
        """Writes the record until that has succeeded, within the period."""
        for _ in range(MAX_RECORD_ATTEMPTS):
            if self._intents.clock.now() >= self._deadline_ms:
                return
            try:
                await self._intents.store.write(self._path, self._intent)
            except StoreError as error:
                log(OUTCOME_NOT_KEPT, request=self._intent.id, error=str(error))
                await self._intents.clock.sleep(RECORD_RETRY_DELAY_MS)
            else:
                self._intents.forget(self._path)
                return
        self._intents.forget(self._path)


class IntentTable:
    """The intents of this instance, and its view of the others'."""

    def __init__(
        self, store: KeyValueClient, prefix: str, *, clock: Clock, tasks: TaskGroup
    ) -> None:
        """Makes the table.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Times the leases and waits.
            tasks: Keeps the writes that are under way.
        """
        self.clock = clock
        """Times the leases and waits."""
        self.tasks = tasks
        """Keeps the writes that are under way."""
        self.store = IntentStore(store, f"{prefix}/intents/", clock, tasks, RETENTION_MS)
        """Reads and writes intents, many at once."""
        self._local_by_path: dict[str, _LocalIntent] = {}

    async def claim(
        self, intent_key: IntentKey, fingerprint: str, request_id: str
    ) -> Claim | Outcome:
        """Claims a key, or finds what came of the request that has it.

        Args:
            intent_key: The key.
            fingerprint: A digest of the request.
            request_id: The request's id.

        Returns:
            The claim, when this request may run; else the outcome of the one that did.

        Raises:
            UnavailableError: When the intent cannot be recorded; nothing ran for this request.
            KeyReusedError: When the key belongs to another request.
            OutcomeUnknownError: When the one that has the key may have run.
            AlreadyAnsweredError: When it ran, and its answer was not kept.
        """
        path = intent_key.path()
        while (open_here := self._local_by_path.get(path)) is not None:
            if open_here.fingerprint != fingerprint:
                raise KeyReusedError()
            found = await self._wait_for_local(open_here.settled)
            if found is not None:
                return _replay_outcome(found, fingerprint)
        self._local_by_path[path] = _LocalIntent(
            fingerprint, asyncio.get_running_loop().create_future()
        )
        intent = Intent(request_id, fingerprint, self.clock.wall())
        asked_ms = self.clock.now()
        try:
            found = await self._create(path, intent)
        except BaseException:
            self.forget(path)
            raise
        if found.id == request_id:
            return Claim(self, path, intent, asked_ms)
        self.forget(path)
        return _replay_outcome(await self._wait_for_remote(path, found, fingerprint), fingerprint)

    def publish_settled(self, path: str, intent: Intent) -> None:
        """Tells the repeats that wait on this instance."""
        waiting = self._local_by_path.get(path)
        if waiting is not None and not waiting.settled.done():
            waiting.settled.set_result(intent)

    def forget(self, path: str) -> None:
        """Ends the waiting of repeats on this instance; they look in the store then."""
        waiting = self._local_by_path.pop(path, None)
        if waiting is not None and not waiting.settled.done():
            waiting.settled.set_result(None)

    async def _create(self, path: str, intent: Intent) -> Intent:
        """Creates an intent, or finds the one that is there."""
        try:
            return await self.store.create(path, intent)
        except StoreError as error:
            # Nothing is sent for this request any more, so this is true even when the intent
            # should still appear: then it blocks its key, and nobody runs under it.
            raise UnavailableError(
                f"The intent of the call could not be recorded: {error.detail}",
                retry_after_ms=UNRECORDED_RETRY_AFTER_MS,
            ) from error

    async def _wait_for_local(self, open_here: asyncio.Future[Intent | None]) -> Intent | None:
        """Waits for a call in flight on this instance."""
        try:
            return await self.clock.wait_for(asyncio.shield(open_here), sum(REPEAT_POLL_DELAYS_MS))
        except TimeoutError as error:
            raise _in_flight_error() from error

    async def _wait_for_remote(self, path: str, found: Intent, fingerprint: str) -> Intent:
        """Waits for a call in flight on another instance."""
        for pause_ms in REPEAT_POLL_DELAYS_MS:
            if found.settled or found.fingerprint != fingerprint:
                return found
            await self.clock.sleep(pause_ms)
            try:
                read = await self.store.read(path)
            except StoreError as error:
                raise _in_flight_error() from error
            if read is None:
                raise UnavailableError(
                    "The call that had the key did not run.",
                    retry_after_ms=UNRECORDED_RETRY_AFTER_MS,
                )
            found = read
        return found


def _replay_outcome(found: Intent, fingerprint: str) -> Outcome:
    """Returns what a repeat is answered with."""
    if found.fingerprint != fingerprint:
        raise KeyReusedError()
    if not found.settled:
        raise _in_flight_error()
    if found.outcome is None:
        raise OutcomeUnknownError("The call was sent once, and its answer was lost.")
    if found.outcome.body is None:
        raise AlreadyAnsweredError()
    return found.outcome


def _in_flight_error() -> OutcomeUnknownError:
    """Returns the error of a repeat that has waited long enough."""
    return OutcomeUnknownError(
        "A call with this key is under way, or its instance was lost.",
        remedy="Repeat it with the same key later, or ask the service whether it ran.",
        retry_after_ms=sum(REPEAT_POLL_DELAYS_MS),
    )
