"""Intents, which prevent a call with an Idempotency-Key from running twice in the fleet.

An intent is a key in the key-value service, created before the call is sent and never taken over
by another request. It stores the outcome once the call has one. The lease of the intent outlives
every repeat that a caller can reasonably send.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.errors import (
    ExecutionStatus,
    MastickeelError,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
)
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.dispatch._intent_store import IntentStore
from mastickeel_router.dispatch.intent import Intent, IntentKey, IntentOutcome

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.tasks import TaskGroup

MAX_OUTCOME_BYTES = 16 * 1024
"""Maximum size of a stored answer; repeats of a call with a larger one get AlreadyAnsweredError."""
RETENTION_MS = 24 * 3_600_000
"""Minimum time for which an intent blocks its key."""
RECORD_TIMEOUT_MS = 1_000
"""How long a caller's answer is delayed until its outcome is stored."""
MAX_RECORD_ATTEMPTS = 20
RECORD_RETRY_DELAY_MS = 500
REPEAT_POLL_DELAYS_MS = (100, 200, 400, 800, 1_600)
"""Delays between the reads of a repeated request that waits for the call in flight."""
UNRECORDED_RETRY_AFTER_MS = 1_000

OUTCOME_NOT_KEPT = define_event(
    1510,
    "outcome_not_kept",
    "warning",
    "The intent of a keyed call could not be written or deleted; repeats get 'outcome unknown'.",
)


class KeyReusedError(MastickeelError):
    """Raised when an Idempotency-Key was used before for a different request."""

    code = "key_reused"
    status = 422
    title = "The Idempotency-Key was used for a different request."
    remedy = "Use a new key for each request, and repeat a request only with the same body."


class AlreadyAnsweredError(MastickeelError):
    """Raised for a repeated request whose call has run, but whose answer was not stored."""

    code = "already_answered"
    status = 409
    title = "The call was run and answered before; its answer was not stored."
    remedy = "Ask the service for the result; do not send the call with a new key."
    ran = ExecutionStatus.YES


@dataclass(frozen=True)
class _LocalIntent:
    """A key that a request on this instance has claimed or is claiming."""

    fingerprint: str
    settled: asyncio.Future[Intent | None]
    """The settled intent, or None when it must be read from the store."""


class Claim:
    """The right to run a keyed call, held only by the request that created the intent."""

    def __init__(self, intents: IntentTable, path: str, intent: Intent, requested_ms: int) -> None:
        self._intents = intents
        self._path = path
        self._intent = intent
        self._deadline_ms = requested_ms + RETENTION_MS
        self.sent = False
        """Whether the call may have been sent."""
        self.has_outcome = False
        """Whether an outcome is available for repeated requests."""

    def begin_send(self) -> None:
        """Verifies before a send that the intent still blocks its key; marks the call as sent.

        Raises:
            UnavailableError: When this instance was paused until the intent may have expired.
        """
        if self._intents.clock.now() >= self._deadline_ms:
            raise UnavailableError("The intent of the call has expired; nothing was sent.")
        self.sent = True

    async def record_outcome(self, outcome: IntentOutcome) -> None:
        """Stores the answer; after RECORD_TIMEOUT_MS it returns and retries in the background."""
        if outcome.body is not None and len(outcome.body) > MAX_OUTCOME_BYTES:
            outcome = replace(outcome, body=None)
        self.has_outcome = True
        self._settle(replace(self._intent, settled=True, outcome=outcome))
        writing = self._intents.tasks.start(self._write_until_stored())
        try:
            await self._intents.clock.wait_for(asyncio.shield(writing), RECORD_TIMEOUT_MS)
        except TimeoutError:
            return

    def abandon(self) -> None:
        """Settles the intent without an outcome, so that repeated requests stop waiting."""
        self._settle(replace(self._intent, settled=True))
        self._intents.tasks.start(self._write_until_stored())

    async def release(self) -> None:
        """Deletes the intent of a call that was not sent, so that the key can be claimed again."""
        self._intents.forget(self._path)
        try:
            await self._intents.store.delete(self._path, self._intent)
        except StoreError as error:
            # The intent keeps blocking the key, which is safe.
            log(OUTCOME_NOT_KEPT, request=self._intent.id, error=str(error))

    def _settle(self, intent: Intent) -> None:
        self._intent = intent
        self._intents.publish_settled(self._path, intent)

    async def _write_until_stored(self) -> None:
        """Writes the intent, with limited retries and not once its lease may have expired."""
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
    """Claims keys for requests of this instance and returns outcomes of repeated requests."""

    def __init__(
        self, store: KeyValueClient, prefix: str, *, clock: Clock, tasks: TaskGroup
    ) -> None:
        """Creates a table without claimed keys.

        Args:
            store: The key-value service.
            prefix: The key prefix of this deployment.
            clock: Times leases and waits.
            tasks: Runs writes in the background.
        """
        self.clock = clock
        """Times leases and waits."""
        self.tasks = tasks
        """Runs writes in the background."""
        self.store = IntentStore(store, f"{prefix}/intents/", clock, tasks, RETENTION_MS)
        """Reads intents and writes them in batches."""
        self._local_by_path: dict[str, _LocalIntent] = {}

    async def claim(
        self, intent_key: IntentKey, fingerprint: str, request_id: str
    ) -> Claim | IntentOutcome:
        """Claims a key, or returns the outcome of the earlier request that claimed the key.

        Args:
            intent_key: The key to claim.
            fingerprint: A digest of the request.
            request_id: The request's id.

        Returns:
            The claim when this request may run; else the outcome of the earlier request.

        Raises:
            UnavailableError: When the intent cannot be recorded; nothing ran for this request.
            KeyReusedError: When the key was used for a different request.
            OutcomeUnknownError: When the earlier request may have run.
            AlreadyAnsweredError: When the earlier request ran, but its answer was not stored.
        """
        path = intent_key.path()
        while (local := self._local_by_path.get(path)) is not None:
            if local.fingerprint != fingerprint:
                raise KeyReusedError()
            found = await self._wait_for_local(local.settled)
            if found is not None:
                return _replay_outcome(found, fingerprint)
        self._local_by_path[path] = _LocalIntent(
            fingerprint, asyncio.get_running_loop().create_future()
        )
        intent = Intent(request_id, fingerprint, self.clock.wall())
        requested_ms = self.clock.now()
        try:
            found = await self._create(path, intent)
        except BaseException:
            self.forget(path)
            raise
        if found.id == request_id:
            return Claim(self, path, intent, requested_ms)
        self.forget(path)
        return _replay_outcome(await self._wait_for_remote(path, found, fingerprint), fingerprint)

    def publish_settled(self, path: str, intent: Intent) -> None:
        """Passes a settled intent to the repeated requests that wait on this instance."""
        local = self._local_by_path.get(path)
        if local is not None and not local.settled.done():
            local.settled.set_result(intent)

    def forget(self, path: str) -> None:
        """Removes a claimed key; repeated requests that wait for it read the store instead."""
        local = self._local_by_path.pop(path, None)
        if local is not None and not local.settled.done():
            local.settled.set_result(None)

    async def _create(self, path: str, intent: Intent) -> Intent:
        """Creates an intent, or returns the existing one."""
        try:
            return await self.store.create(path, intent)
        except StoreError as error:
            # Nothing is sent for this request from here on, so the error holds even if the intent
            # is created later: it then blocks its key, and no request runs under it.
            raise UnavailableError(
                f"The intent of the call could not be recorded: {error.detail}",
                retry_after_ms=UNRECORDED_RETRY_AFTER_MS,
            ) from error

    async def _wait_for_local(self, settled: asyncio.Future[Intent | None]) -> Intent | None:
        """Waits for a call in flight on this instance."""
        try:
            return await self.clock.wait_for(asyncio.shield(settled), sum(REPEAT_POLL_DELAYS_MS))
        except TimeoutError as error:
            raise _in_flight_error() from error

    async def _wait_for_remote(self, path: str, found: Intent, fingerprint: str) -> Intent:
        """Waits for a call in flight on another instance."""
        for pause_ms in REPEAT_POLL_DELAYS_MS:
            if found.settled or found.fingerprint != fingerprint:
                return found
            await self.clock.sleep(pause_ms)
            try:
                stored = await self.store.read(path)
            except StoreError as error:
                raise _in_flight_error() from error
            if stored is None:
                raise UnavailableError(
                    "The call that claimed the key did not run.",
                    retry_after_ms=UNRECORDED_RETRY_AFTER_MS,
                )
            found = stored
        return found


def _replay_outcome(found: Intent, fingerprint: str) -> IntentOutcome:
    """Returns the outcome for a repeated request, or raises the error that it gets."""
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
    """Returns the error for a repeated request while the outcome of the call is not known."""
    return OutcomeUnknownError(
        "A call with this key is in flight, or its instance was lost.",
        remedy="Repeat the call with the same key later, or ask the service whether it ran.",
        retry_after_ms=sum(REPEAT_POLL_DELAYS_MS),
    )
