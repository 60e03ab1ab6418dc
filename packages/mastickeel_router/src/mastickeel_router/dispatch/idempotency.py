"""Runs a call under its Idempotency-Key: once, whatever becomes of the caller or the answer."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel_router.dispatch.intent import IntentKey, Outcome

if TYPE_CHECKING:
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.dispatch.intents import Claim, IntentTable

Operation = Callable[[Callable[[], None]], Awaitable[Outcome]]
"""Runs the call; told what to ask just before each send."""


async def run_once(
    intents: IntentTable, name: IntentKey, fingerprint: str, request_id: str, work: Operation
) -> tuple[Outcome, bool]:
    """Runs a call, or gives back what came of it before.

    Args:
        intents: The intents.
        name: The call's key.
        fingerprint: A digest of the request.
        request_id: The request's id.
        work: Runs the call.

    Returns:
        The outcome, and whether it is that of an earlier request.

    Raises:
        MastickeelError: When it did not run, or what came of it is not known.
    """
    claimed = await intents.claim(name, fingerprint, request_id)
    if isinstance(claimed, Outcome):
        return claimed, True
    return await run_shielded(intents.tasks, _run_claimed(claimed, work)), False


async def run_shielded(tasks: TaskGroup, work: Awaitable[Outcome]) -> Outcome:
    """Waits for work that goes on to its end also when the caller goes away."""
    ended: Outcome | MastickeelError = await asyncio.shield(tasks.start(_outcome_or_error(work)))
    if isinstance(ended, MastickeelError):
        raise ended
    return ended


async def _outcome_or_error(work: Awaitable[Outcome]) -> Outcome | MastickeelError:
    """Returns a typed error instead of raising it, since a caller that went away hears nothing."""
    try:
        return await work
    except MastickeelError as error:
        return error


async def _run_claimed(claim: Claim, work: Operation) -> Outcome:
    """Runs a claimed call and settles its intent."""
    try:
        outcome = await work(claim.begin_send)
    except asyncio.CancelledError:
        # The instance stops; the intent goes on blocking the key.
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
    """Returns a digest of a request's parts."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
