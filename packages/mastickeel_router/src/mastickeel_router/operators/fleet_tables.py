"""Tables gathered from every instance: what runs where, and who is missing."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from mastickeel.errors import MastickeelError, NotFoundError
from mastickeel.peers import message
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.peers import PeerLink
    from mastickeel_router.membership import Members

MAX_CONCURRENT_REQUESTS = 32
INSTANCE_COLUMN = "instance"
ANSWER_COLUMN = "answer"
ANSWERED = "yes"
NOT_ANSWERED = "none"
"""What the column of answers says of an instance that did not give one."""


@message("operators.table_ask")
@dataclass(frozen=True)
class TableRequest:
    """Asks a peer for one of its own tables."""

    name: str


@message("operators.table_reply")
@dataclass(frozen=True)
class TableReply:
    """A peer's own table."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class FleetTables:
    """The tables that each instance gives of itself."""

    def __init__(self, link: PeerLink, members: Callable[[], Members]) -> None:
        """Makes the tables and answers peers that ask for them.

        Args:
            link: Reaches the peers.
            members: Gives the fleet's members.
        """
        self.table_builders_by_name: dict[str, Callable[[], Table]] = {}
        """What this instance tells of itself."""
        self._link = link
        self._members = members
        link.register_handler(TableRequest, self.on_table_request)

    async def on_table_request(self, sender: str, request: TableRequest) -> TableReply:
        """Answers a peer.

        Raises:
            NotFoundError: When there is no such table, as with a peer of another version.
        """
        make = self.table_builders_by_name.get(request.name)
        if make is None:
            raise NotFoundError(f"There is no table {request.name!r}.")
        table = make()
        return TableReply(table.columns, table.rows)

    async def gather_table(self, name: str) -> Table:
        """Asks every instance for one of its tables.

        Args:
            name: The table.

        Returns:
            The rows of all, with the instance and whether it answered before them; an instance
            that did not answer has one row of its own.
        """
        mine = self.table_builders_by_name[name]()
        me = self._members().local_member.id
        rows = [(me, ANSWERED, *row) for row in mine.rows]
        limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        others = sorted(self._members().members_by_id)
        answers = await asyncio.gather(*(self._ask(one, name, limit) for one in others))
        blank = (None,) * len(mine.columns)
        for instance_id, table in zip(others, answers, strict=True):
            if table is None:
                rows.append((instance_id, NOT_ANSWERED, *blank))
            else:
                rows += [(instance_id, ANSWERED, *row) for row in table.rows]
        return Table((INSTANCE_COLUMN, ANSWER_COLUMN, *mine.columns), tuple(rows))

    async def _ask(self, instance_id: str, name: str, limit: asyncio.Semaphore) -> Table | None:
        """Asks one peer; None when it does not answer."""
        async with limit:
            try:
                reply = await self._link.request(instance_id, TableRequest(name), TableReply)
            except MastickeelError:
                return None
        return Table(reply.columns, reply.rows)
