"""Finds answers that failed or were several times slower than usual.

The usual pace is that of the version that is not under test, over all instances: one instance alone
serves too few answers of a route and model to know it within the first part of a release.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from enum import IntEnum
from typing import TYPE_CHECKING

from mastickeel_router.relay.policy import SendOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from mastickeel_router.relay.context import OpenSend, SendObservation
    from mastickeel_router.relay.policy import SendResult

SLOW_FACTOR = 2.5
"""Multiple of the usual pace from which an answer is slow; load alone slows engines by a factor of
less than two."""
VERY_SLOW_FACTOR = 3.5
"""Multiple of the usual pace from which an answer is very slow: fewer answers of a sound version
are, which helps to find a version of which only a part is several times slower."""
MAX_SAMPLES = 64
"""Maximum number of samples for each service, route and model."""
MAX_BASELINES = 1_024
"""Maximum number of baselines; bounds the memory as configurations add routes."""
MAX_REPORTED_BASELINES = 32
"""Maximum number of baselines in a report, of those with the newest samples."""
MIN_SAMPLES = 8
"""Minimum number of samples from which the usual pace is known."""
BUCKET_RATIO = 1.1
"""Ratio of the paces of two neighbouring buckets of a histogram."""

Histogram = dict[int, int]
"""Number of samples by bucket."""


class Pace(IntEnum):
    """Pace of an answer compared with the usual one."""

    USUAL = 0
    SLOW = 1
    VERY_SLOW = 2


def is_failure(result: SendResult) -> bool:
    """Returns whether an answer was lost, unusable or a server error."""
    failed = result.head is not None and result.head.status >= 500
    return failed or result.outcome is SendOutcome.BROKEN


def has_pace(observation: SendObservation) -> bool:
    """Returns whether the pace of an answer tells about its version; an endpoint starts slowly."""
    return observation.pace_ms is not None and not observation.endpoint.warmup_ms


class PaceBaseline:
    """Recent paces of sound answers, by service, route and model."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str, str], deque[int]] = {}
        self._usual_ms_by_key: dict[tuple[str, str, str], float] = {}

    def classify(self, observation: SendObservation) -> Pace | None:
        """Returns the pace of a complete answer; None while the usual pace is unknown."""
        if observation.pace_ms is None or not has_pace(observation):
            return Pace.USUAL
        usual_ms = self._usual_ms_by_key.get(_key(observation))
        return None if usual_ms is None else _classify(observation.pace_ms / usual_ms)

    def classify_open(self, send: OpenSend) -> Pace:
        """Returns the pace of an open send, which the rest of its answer can only make slower."""
        usual_ms = self._usual_ms_by_key.get(_key(send))
        pace_ms = send.min_pace_ms()
        if usual_ms is None or pace_ms is None or send.endpoint.warmup_ms:
            return Pace.USUAL
        return _classify(pace_ms / usual_ms)

    def record(self, observation: SendObservation) -> None:
        """Adds the pace of a complete answer of a version that is not under test."""
        if not observation.pace_ms or not has_pace(observation):
            return
        if observation.result.outcome is not SendOutcome.WHOLE:
            return
        key = _key(observation)
        samples = self._samples.pop(key, None) or deque(maxlen=MAX_SAMPLES)
        samples.append(round(math.log(observation.pace_ms, BUCKET_RATIO)))
        self._samples[key] = samples
        while len(self._samples) > MAX_BASELINES:
            del self._samples[next(iter(self._samples))]

    def summarize(self, service: str) -> dict[str, dict[str, Histogram]]:
        """Returns this instance's histograms for a service, by route and model."""
        histograms: dict[str, dict[str, Histogram]] = {}
        keys = [key for key in self._samples if key[0] == service]
        for key in keys[-MAX_REPORTED_BASELINES:]:
            _, route, model = key
            histograms.setdefault(route, {})[model] = dict(Counter(self._samples[key]))
        return histograms

    def update_usual(
        self, service: str, reports: Iterable[Mapping[str, Mapping[str, Histogram]]]
    ) -> None:
        """Computes the usual paces of a service from the histograms of all instances."""
        totals: dict[tuple[str, str, str], Counter[int]] = {}
        for report in reports:
            for route, histograms in report.items():
                for model, histogram in histograms.items():
                    totals.setdefault((service, route, model), Counter()).update(histogram)
        for key in [key for key in self._usual_ms_by_key if key[0] == service]:
            del self._usual_ms_by_key[key]
        for key, total in totals.items():
            if total.total() >= MIN_SAMPLES:
                self._usual_ms_by_key[key] = BUCKET_RATIO ** _median(total)


def _key(send: SendObservation | OpenSend) -> tuple[str, str, str]:
    return send.endpoint.service, send.route.name, send.model


def _classify(ratio: float) -> Pace:
    """Returns the pace for a multiple of the usual time."""
    if ratio > VERY_SLOW_FACTOR:
        return Pace.VERY_SLOW
    return Pace.SLOW if ratio > SLOW_FACTOR else Pace.USUAL


def _median(histogram: Counter[int]) -> int:
    """Returns the lower median of the buckets."""
    left = (histogram.total() + 1) // 2
    for bucket in sorted(histogram):
        left -= histogram[bucket]
        if left <= 0:
            return bucket
    raise ValueError("The histogram is empty.")
