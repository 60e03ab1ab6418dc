"""Bill ledgers of a few instances, without the rest of a router."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel_router.billing import BillLedger
from mastickeel_router.requests import Bill, Run, Usage
from tests.peers import Nodes

if TYPE_CHECKING:
    from tests.peers import Node

PREFIX = "/test"
ACCOUNT = "demo"


@dataclass
class Ledgers:
    """One bill ledger on each of a few instances."""

    nodes: Nodes = field(default_factory=Nodes)
    ledgers: list[BillLedger] = field(default_factory=list)

    async def start(self, count: int, data_centres: int = 3) -> None:
        """Starts the instances and their ledgers, which store no bills unless a test runs them."""
        await self.nodes.start(count, data_centres)
        self.ledgers = [self._make_ledger(node) for node in self.nodes.nodes_by_id.values()]

    async def kill(self, index: int) -> None:
        """Stops an instance without notice, as a crash does."""
        await self.ledgers[index].abandon()
        await self.nodes.kill(self.node(index))

    async def stop(self) -> None:
        """Stops all ledgers and instances."""
        for ledger in self.ledgers:
            await ledger.abandon()
        await self.nodes.stop()

    def node(self, index: int) -> Node:
        """Returns an instance by its number."""
        return self.nodes.nodes_by_id[f"node-{index}"]

    def copy_holders(self, index: int) -> list[int]:
        """Returns the numbers of the instances that hold copies of an instance's bills."""
        source = self.ledgers[index].journal.source
        return [
            number
            for number, ledger in enumerate(self.ledgers)
            if source in ledger.copies.copies_by_source
        ]

    async def count_stored_bills(self) -> Counter[str]:
        """Returns how often each bill is in the store's segments, by bill id."""
        alive = [index for index in range(len(self.ledgers)) if not self.node(index).is_dead]
        segments = self.ledgers[alive[0]].segments
        counts: Counter[str] = Counter()
        async for segment in segments.read(0, 10**14):
            counts.update(entry.decode_bill().id for entry in segment.entries)
        return counts

    def _make_ledger(self, node: Node) -> BillLedger:
        return BillLedger(
            node.store,
            PREFIX,
            instance_id=node.id,
            clock=self.nodes.clock,
            link=node.link,
            members=node.get_members,
            metrics=node.metrics,
        )


def make_bill(bill_id: str, at_ms: int = 1_700_000_000_000, cost: int = 5) -> Bill:
    """Returns a bill of one run."""
    run = Run("draft-small@1", "engine-1", Usage(10, 20), cost)
    return Bill(bill_id, ACCOUNT, at_ms, (run,))
