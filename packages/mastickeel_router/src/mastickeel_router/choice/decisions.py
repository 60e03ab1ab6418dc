"""Recent decisions of this instance, for ``explain``."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import Iterable

DECISIONS_LIMIT = 1_000
COLUMNS = ("request", "account", "kind", "session", "course", "reason", "at_ms", "figures")


@dataclass(frozen=True)
class Decision:
    """The course chosen for one request, with the reason and the figures behind it."""

    request_id: str
    account_id: str
    kind: str
    session: str
    version_ids: tuple[str, ...]
    reason: str
    at_ms: int
    """Calendar time of the decision, in milliseconds."""
    figures: dict[str, float]


class Decisions:
    """The most recent decisions, up to DECISIONS_LIMIT."""

    def __init__(self) -> None:
        self._decisions_by_request: OrderedDict[str, Decision] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Records a decision and drops the oldest ones over the limit."""
        self._decisions_by_request[decision.request_id] = decision
        while len(self._decisions_by_request) > DECISIONS_LIMIT:
            self._decisions_by_request.popitem(last=False)

    async def explain_request(self, request_id: str) -> Table:
        """Lists the decision on one request."""
        decision = self._decisions_by_request.get(request_id)
        return _table([decision] if decision else [])

    async def explain_account(self, account_id: str) -> Table:
        """Lists the recent decisions on requests of an account."""
        return _table(decision for decision in self._recent() if decision.account_id == account_id)

    async def explain_version(self, version_id: str) -> Table:
        """Lists the recent decisions that chose a version."""
        return _table(decision for decision in self._recent() if version_id in decision.version_ids)

    async def table(self) -> Table:
        """Lists the recent decisions, newest first."""
        return _table(self._recent())

    def _recent(self) -> Iterable[Decision]:
        return reversed(self._decisions_by_request.values())


def _table(decisions: Iterable[Decision]) -> Table:
    """Returns decisions as a table."""
    return Table(COLUMNS, tuple(_row(decision) for decision in decisions))


def _row(decision: Decision) -> tuple[object, ...]:
    figures = " ".join(f"{name}={value:.4g}" for name, value in decision.figures.items())
    return (
        decision.request_id,
        decision.account_id,
        decision.kind,
        decision.session,
        " > ".join(decision.version_ids),
        decision.reason,
        decision.at_ms,
        figures,
    )
