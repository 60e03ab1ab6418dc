"""Stand-in of the clients."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from bed_http import read_message, write_message

if TYPE_CHECKING:
    from bed_gateways import Fleet, Gateway

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclass
class Attempt:
    """One client attempt."""

    id: str
    gateway: Gateway
    sent: float
    status: int = 0
    """Status of the answer; 0 for none."""
    answered: float = 0.0


class Clients:
    """Sends requests, each on a channel of its own."""

    def __init__(self, fleet: Fleet, record: Any, seed: int = 1) -> None:
        self.attempts: dict[str, Attempt] = {}
        self._fleet = fleet
        self._record = record
        self._rng = random.Random(seed)
        self._count = 0

    async def send(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"x",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 2500,
        gateway: Gateway | None = None,
        label: str = "",
    ) -> Attempt:
        """Sends one attempt and waits for its answer."""
        self._count += 1
        attempt_id = f"{label}{self._rng.getrandbits(48):012x}"
        chosen = gateway or self._fleet.choose(self._count)
        attempt = Attempt(attempt_id, chosen, time.monotonic())
        self.attempts[attempt_id] = attempt
        fields = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        } | (headers or {})
        data = write_message(f"{method} {path} HTTP/1.1", fields, body)
        self._record(f"{attempt_id} sent to {chosen.name}")
        try:
            await asyncio.wait_for(self._exchange(attempt, data), deadline_ms / 1_000)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            attempt.status = 0
        attempt.answered = time.monotonic()
        self._record(f"{attempt_id} answered with {attempt.status or 'nothing'}")
        return attempt

    async def _exchange(self, attempt: Attempt, data: bytes) -> None:
        opening = asyncio.open_connection(attempt.gateway.host, attempt.gateway.frontend)
        reader, writer = await asyncio.wait_for(opening, 1.0)
        try:
            writer.write(data)
            answer = await read_message(reader)
            attempt.status = answer.status if answer is not None else 0
        finally:
            writer.close()

    async def run(self, path: str, per_second: float, until: float) -> None:
        """Sends attempts at a mean rate until a time, and waits for their answers."""
        open_attempts = set()
        next_at = time.monotonic()
        while next_at < until:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            open_attempts.add(asyncio.ensure_future(self.send(path)))
            next_at += self._rng.uniform(0.5, 1.5) / per_second
        await asyncio.gather(*open_attempts)
