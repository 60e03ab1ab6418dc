"""Makes changes of the configuration: the entry for operators and duties alike."""

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
"""The store's limit on values is a megabyte, and its JSON writes three bytes as four."""


class ConfigurationWriter:
    """Proposes changes for this instance's operators and duties."""

    def __init__(self, proposer: Proposer, clock: Clock) -> None:
        """Makes the writer.

        Args:
            proposer: Takes each change from stage to decision.
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
        """Makes a change, all of it or none.

        Args:
            delta: What it does.
            base: The revision that it was worked out on.
            author: Who asks for it.
            text: The commands as given, for the audit.
            conditions: What must hold in the store as well, such as a duty still held.

        Returns:
            The accepted change, in force on this instance; every other one works under it, or
            admits nothing until it has caught up.

        Raises:
            ChangeConflictError: When the configuration is no longer at the base, or another
                change is being decided.
            ChangeRefusedError: When too few instances acknowledged it; nothing was changed.
            BadRequestError: When it is too large for one change.
            StoreUnavailableError: When nothing was changed.
            StoreOutcomeUnknownError: When even reading back gave no answer.
        """
        change = Change(new_change_id(), base + 1, author, self._clock.wall(), text, delta)
        if (size := len(encode(change))) > CHANGE_LIMIT_BYTES:
            raise BadRequestError(
                f"The change has {size} bytes; the limit is {CHANGE_LIMIT_BYTES}.",
                remedy="Split it into several changes.",
            )

        def plan(standing: HeadState) -> Proposal:
            if standing.head.revision != base:
                raise ChangeConflictError(f"Revision {base} is no longer the newest.")
            return Proposal(change.id, change=change)

        await self._proposer.propose(plan, author=author, text=text, conditions=conditions)
        return change
