"""Runs a call with an Idempotency-Key at most once, even if the caller or the answer is lost."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel_router.dispatch.intent import IntentKey, IntentOutcome

if TYPE_CHECKING:
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.dispatch.intents import Claim, IntentTable

Operation = Callable[[Callable[[], None]], Awaitable[IntentOutcome]]
"""Function that runs a call; its argument is a check that it must call just before each send."""


async def run_once(
    intents: IntentTable,
    intent_key: IntentKey,
    fingerprint: str,
    request_id: str,
    operation: Operation,
) -> tuple[IntentOutcome, bool]:
    """Runs a call, or returns the recorded outcome of an earlier request with the same key.

    Args:
        intents: Claims the key and records the outcome.
        intent_key: The call's Idempotency-Key with its account and scope.
        fingerprint: A digest of the request.
        request_id: The request's id.
        operation: Runs the call.

    Returns:
        The outcome, and whether it is that of an earlier request.

    Raises:
        MastickeelError: When the call did not run, or its outcome is unknown.
    """
    claimed = await intents.claim(intent_key, fingerprint, request_id)
    if isinstance(claimed, IntentOutcome):
        return claimed, True
    return await run_shielded(intents.tasks, _run_claimed(claimed, operation)), False


async def run_shielded(tasks: TaskGroup, operation: Awaitable[IntentOutcome]) -> IntentOutcome:
    """Runs an operation to its end, even if the awaiting task is cancelled."""
    result: IntentOutcome | MastickeelError = await asyncio.shield(
        tasks.start(_outcome_or_error(operation))
    )
    if isinstance(result, MastickeelError):
        raise result
    return result


async def _outcome_or_error(operation: Awaitable[IntentOutcome]) -> IntentOutcome | MastickeelError:
    """Returns a typed error instead of raising it, since a cancelled caller would not handle it."""
    try:
        return await operation
    except MastickeelError as error:
        return error


async def _run_claimed(claim: Claim, operation: Operation) -> IntentOutcome:
    """Runs a claimed call, then records its outcome, releases its key or abandons the claim."""
    try:
        outcome = await operation(claim.begin_send)
    except asyncio.CancelledError:
        # The instance is stopping; the intent keeps blocking the key.
        raise
    except MastickeelError:
        if claim.sent:
            claim.abandon()
        else:
            await claim.release()
        raise
    except Exception:
        claim.abandon()
        raise
    await claim.record_outcome(outcome)
    return outcome


def compute_fingerprint(*parts: bytes) -> str:
    """Returns a digest of a request's parts, each hashed with its length."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
