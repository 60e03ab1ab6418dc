"""Decides which part of a data centre's requests leaves it, and where to.

Answers the load of a data centre whose own endpoints are too few for its callers while others have
room. Each instance decides by figures that all of them share, and each request draws by the share,
so that the instances move together a part of the load and not all of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from mastickeel.clock import Clock

LINK_MS = 2.0
"""Time that a round trip to another data centre takes more than one inside."""
SPAN_OBJECTIVES = 0.6
"""Saved time, as a part of the latency objective, at which all requests would leave. A smaller part
lets the shares swing when the news of the others' load is late."""
MAX_SHARE = 0.9
"""Largest part of the requests that leaves: the others show how the own endpoints are."""
MAX_STEP = 0.1
"""Largest change of a share at a time."""
HYSTERESIS = 0.04
"""Change of a share up to which it stays as it is."""
STEP_INTERVAL_MS = 400
"""Interval of changes: above the time in which the instances learn of each other's sends."""

LEAVING_CHANGED = define_event(
    2420,
    "leaving_changed",
    "info",
    "Another part of a service's requests leaves the data centre than before; the fields say why.",
)


@dataclass(frozen=True)
class LeavingView:
    """What is known of a service when the shares are decided."""

    own_ms: float
    """Mean time until an endpoint of the own data centre is idle."""
    other_ms_by_data_centre: Mapping[str, float]
    """The same of the other data centres; those without a usable endpoint are absent."""
    price_ms: float
    """Waiting time for a caller that is worth as much as the traffic of a request that leaves."""
    objective_ms: float
    """Latency objective of the requests."""
    shares_by_data_centre: Mapping[str, float] = field(default_factory=dict)
    """The shares before."""


def choose_shares(view: LeavingView) -> dict[str, float]:
    """Returns the part of the requests that goes to each other data centre.

    A data centre gets more the more time a request saves there; the time counts by what it has
    itself to do, so that its own callers come first. The shares move by steps.
    """
    span_ms = max(1.0, SPAN_OBJECTIVES * view.objective_ms)
    saved_by_data_centre = {
        name: max(0.0, view.own_ms - other_ms - view.price_ms)
        for name, other_ms in view.other_ms_by_data_centre.items()
    }
    most_ms = max(saved_by_data_centre.values(), default=0.0)
    total_ms = sum(saved_by_data_centre.values())
    wanted = min(MAX_SHARE, most_ms / span_ms)
    shares = {}
    for name, saved_ms in saved_by_data_centre.items():
        target = wanted * saved_ms / total_ms if total_ms else 0.0
        before = view.shares_by_data_centre.get(name, 0.0)
        step = min(MAX_STEP, max(-MAX_STEP, target - before))
        is_settled = abs(target - before) <= HYSTERESIS and target > 0
        shares[name] = before if is_settled else before + step
    return {name: share for name, share in shares.items() if share > 0}


@dataclass
class _Shares:
    """Shares of one service and objective."""

    by_data_centre: dict[str, float] = field(default_factory=dict)
    changed_ms: int | None = None


class LeavingShares:
    """Shares of this data centre's requests that leave it, by service and objective."""

    def __init__(self, clock: Clock, rng: random.Random, price_ms_per_kb: float) -> None:
        """Creates shares by which nothing leaves.

        Args:
            clock: Times the steps.
            rng: Draws for each request whether it leaves.
            price_ms_per_kb: Waiting time that is worth as much as a kilobyte between data centres.
        """
        self._clock = clock
        self._rng = rng
        self._price_ms_per_kb = price_ms_per_kb
        self._shares_by_kind: dict[tuple[str, int], _Shares] = {}

    @property
    def largest(self) -> float:
        """The largest part of a kind's requests that leaves now."""
        totals = (sum(one.by_data_centre.values()) for one in self._shares_by_kind.values())
        return max(totals, default=0.0)

    def price_ms(self, size_bytes: int) -> float:
        """Returns the waiting time that is worth as much as the traffic of a request."""
        return LINK_MS + self._price_ms_per_kb * size_bytes / 1_000

    def draw(
        self,
        service: str,
        objective_ms: int,
        size_bytes: int,
        own_ms: float,
        other_ms_by_data_centre: Mapping[str, float],
    ) -> dict[str, float]:
        """Returns what the way to each other data centre costs one request, in milliseconds.

        A request that stays by its draw leaves only for cached parts that save more than the price,
        whatever waits in both data centres.

        Args:
            service: Name of the service.
            objective_ms: Latency objective of the request.
            size_bytes: Expected size of the request and its answer.
            own_ms: Mean time until an endpoint of the own data centre is idle.
            other_ms_by_data_centre: The same of the others that have a usable endpoint.
        """
        shares = self._shares_by_kind.setdefault((service, objective_ms), _Shares())
        now, price_ms = self._clock.now(), self.price_ms(size_bytes)
        if shares.changed_ms is None or now - shares.changed_ms >= STEP_INTERVAL_MS:
            shares.changed_ms = now
            view = LeavingView(
                own_ms, other_ms_by_data_centre, price_ms, objective_ms, shares.by_data_centre
            )
            chosen = choose_shares(view)
            if chosen != shares.by_data_centre:
                log(
                    LEAVING_CHANGED,
                    service=service,
                    objective_ms=objective_ms,
                    shares={name: round(share, 2) for name, share in chosen.items()},
                    own_ms=round(own_ms),
                    others_ms={name: round(ms) for name, ms in other_ms_by_data_centre.items()},
                )
            shares.by_data_centre = chosen
        drawn = self._rng.random()
        costs_ms = {
            name: price_ms + max(0.0, own_ms - other_ms)
            for name, other_ms in other_ms_by_data_centre.items()
        }
        for name, share in shares.by_data_centre.items():
            drawn -= share
            if drawn < 0:
                if name in costs_ms:
                    costs_ms[name] = LINK_MS
                break
        return costs_ms
