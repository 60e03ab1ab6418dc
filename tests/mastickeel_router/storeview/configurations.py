"""Configurations of many routes, as the operator writes them."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ROUTES = 1_400


def make_routes(count: int, seed: int) -> list[dict[str, object]]:
    """Returns routes whose names, hosts and prefixes are drawn."""
    rng = random.Random(seed)

    def word(length: int) -> str:
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length))

    hosts = [f"{word(6)}.example" for _ in range(20)]
    return [
        {
            "name": f"r-{word(7)}",
            "host": rng.choice(hosts),
            "prefix": f"/{word(5)}/",
            "kind": rng.choice(("safe", "unsafe", "streaming")),
            "service": f"service-{rng.randrange(3)}",
            "timeout_ms": rng.choice((1_000, 2_000, 15_000)),
            "objective_ms": rng.choice((200, 400, 3_000)),
            "max_attempts": 2,
            "priority": rng.randrange(4),
            "public": False,
            "sticky": True,
            "resumable": False,
            "max_event_gap_ms": 1_000,
        }
        for _ in range(count)
    ]


def encode(version: int, routes: Sequence[dict[str, object]]) -> bytes:
    """Returns a configuration as the operator writes it."""
    return json.dumps({"version": version, "routes": routes, "limits": {}}).encode()
