"""Commits configuration changes requested by operators and duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.changes import Change, Proposal, encode, new_change_id
from mastickeel.errors import BadRequestError
from mastickeel_router.configuration.proposals import ChangeConflictError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import Compare
    from mastickeel.model import Delta
    from mastickeel_router.configuration.messages import HeadState
    from mastickeel_router.configuration.proposals import Proposer

CHANGE_LIMIT_BYTES = 700 * 1024
"""The store's value limit is 1 MB, and base64 in its JSON encodes three bytes as four."""


class ConfigurationWriter:
    """Proposes changes on behalf of this instance's operators and duties."""

    def __init__(self, proposer: Proposer, clock: Clock) -> None:
        """Creates the writer.

        Args:
            proposer: Stages and commits each change.
            clock: Dates the changes.
        """
        self._proposer = proposer
        self._clock = clock

    async def commit(
        self,
        delta: Delta,
        *,
        base: int,
        author: str,
        text: str,
        conditions: Sequence[Compare] = (),
    ) -> Change:
        """Commits a change atomically.

        Args:
            delta: The objects to change.
            base: The revision that the delta is based on.
            author: The requester.
            text: The commands as entered, for the audit.
            conditions: Further store conditions of the commit, such as a duty still held.

        Returns:
            The accepted change, in force on this instance; every other instance has applied the
            change or admits no work until it has caught up.

        Raises:
            ChangeConflictError: When the configuration is no longer at the base, or another
                change is staged.
            ChangeRefusedError: When too few instances acknowledged the change; nothing was
                changed.
            BadRequestError: When the delta is too large for one change.
            StoreUnavailableError: When the store was unavailable and nothing was changed.
            StoreOutcomeUnknownError: When the change may be committed, but reading back the
                outcome failed.
        """
        change = Change(new_change_id(), base + 1, author, self._clock.wall(), text, delta)
        if (size := len(encode(change))) > CHANGE_LIMIT_BYTES:
            raise BadRequestError(
                f"The change has {size} bytes; the limit is {CHANGE_LIMIT_BYTES}.",
                remedy="Split the change into several smaller ones.",
            )

        def plan(head_state: HeadState) -> Proposal:
            if head_state.head.revision != base:
                raise ChangeConflictError(f"Revision {base} is no longer the newest.")
            return Proposal(change.id, change=change)

        await self._proposer.propose(plan, author=author, text=text, conditions=conditions)
        return change
