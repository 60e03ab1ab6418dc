"""What instances win by telling each other what they send, and what each message costs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from bench.measure.measurement import Measurement
from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel_router.fleet.sharing import SessionRunNotice
from mastickeel_router.placement import WorkSentNotice, scoring
from tests.mastickeel_router.placement.replay import (
    ENGINES,
    ideal_mean_wait_ms,
    read_recorded_sends,
    replay,
    unique_work_ms,
)

if TYPE_CHECKING:
    from tests.mastickeel_router.placement.replay import RecordedSend

RECORDED_MS = 12_000
"""How long the recorded load lasted."""
PARTS = (("2b4aac7dbe68", 144), ("3601d833b5ff", 14), ("78d71906bf77", 1_327))
"""A prompt of three parts, as the recording has them."""


async def measure(quick: bool) -> list[Measurement]:
    """Replays a recorded load, and sends one message of each kind."""
    sends = read_recorded_sends()
    work = WorkSentNotice("i-7f3a91c2ab", 343.2, "daka510000", PARTS, 578_398)
    session = SessionRunNotice("352518267fc1", "v1")
    return [
        *_waits(sends),
        Measurement(
            "placing.reading_at_least",
            unique_work_ms(sends) / (ENGINES * RECORDED_MS),
            "of the engines' time",
            note="each part read once by any engine",
        ),
        Measurement("placing.work_message", await _bytes(work), "B"),
        Measurement("placing.session_message", await _bytes(session), "B"),
    ]


def _waits(sends: list[RecordedSend]) -> list[Measurement]:
    """Returns the mean wait for a prompt's reading, by what instances know."""
    ideal_ms = ideal_mean_wait_ms(sends)
    rows = []
    for share, told in ((False, "nothing_told"), (True, "told")):
        for delayed, counted in (
            (0.0, "others_ignored"),
            (scoring.MEAN_DELAYED_REQUESTS, "as_it_is"),
        ):
            with patch.object(scoring, "MEAN_DELAYED_REQUESTS", delayed):
                wait_ms = replay(sends, share=share).mean_wait_ms
            name = f"placing.wait.{told}.{counted}"
            rows.append(Measurement(name, wait_ms, "ms", baseline=ideal_ms, note="against ideal"))
    return rows


async def _bytes(message: Any) -> float:
    """Returns the bytes of one message to one peer."""
    metrics = Metrics()
    link = PeerLink("edge-pl-central-a-1", clock=Clock(), metrics=metrics)
    try:
        link.connect("peer", Address("127.0.0.1", 1))
        link.send_notice("peer", message)
        return float(metrics.totals_by_name["peers.sent_bytes"])
    finally:
        await link.close()
