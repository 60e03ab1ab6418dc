"""Tables gathered from every instance, with the instances that did not answer."""

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
"""Value of the answer column for an instance that did not answer."""


@message("operators.table_ask")
@dataclass(frozen=True)
class TableRequest:
    """Request for a table of the receiving peer."""

    name: str


@message("operators.table_reply")
@dataclass(frozen=True)
class TableReply:
    """Table of the answering peer."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class FleetTables:
    """Tables that each instance builds about itself and sends to peers on request."""

    def __init__(self, link: PeerLink, members: Callable[[], Members]) -> None:
        """Registers the handler for peers' requests.

        Args:
            link: Sends requests to peers and receives theirs.
            members: Returns the fleet's current members.
        """
        self.table_builders_by_name: dict[str, Callable[[], Table]] = {}
        """Functions that build this instance's tables."""
        self._link = link
        self._members = members
        link.register_handler(TableRequest, self.on_table_request)

    async def on_table_request(self, sender: str, request: TableRequest) -> TableReply:
        """Returns the table that a peer requested.

        Raises:
            NotFoundError: When this instance's release has no such table.
        """
        build_table = self.table_builders_by_name.get(request.name)
        if build_table is None:
            raise NotFoundError(f"There is no table {request.name!r}.")
        table = build_table()
        return TableReply(table.columns, table.rows)

    async def gather_table(self, name: str) -> Table:
        """Gathers a table from every instance.

        Args:
            name: The table's name.

        Returns:
            The rows of all instances. Each row begins with the instance's id and whether the
            instance answered; an instance that did not answer has one row without other values.
        """
        local_table = self.table_builders_by_name[name]()
        local_id = self._members().local_member.id
        rows = [(local_id, ANSWERED, *row) for row in local_table.rows]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        peer_ids = sorted(self._members().members_by_id)
        tables = await asyncio.gather(
            *(self._request_table(peer_id, name, semaphore) for peer_id in peer_ids)
        )
        empty_cells = (None,) * len(local_table.columns)
        for instance_id, table in zip(peer_ids, tables, strict=True):
            if table is None:
                rows.append((instance_id, NOT_ANSWERED, *empty_cells))
            else:
                rows += [(instance_id, ANSWERED, *row) for row in table.rows]
        return Table((INSTANCE_COLUMN, ANSWER_COLUMN, *local_table.columns), tuple(rows))

    async def _request_table(
        self, instance_id: str, name: str, semaphore: asyncio.Semaphore
    ) -> Table | None:
        """Returns a table of one peer; None when the request fails."""
        async with semaphore:
            try:
                reply = await self._link.request(instance_id, TableRequest(name), TableReply)
            except MastickeelError:
                return None
        return Table(reply.columns, reply.rows)
