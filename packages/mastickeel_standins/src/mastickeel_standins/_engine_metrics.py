"""Metrics page of the engine stand-in, delayed like that of a real engine."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

TYPES_BY_NAME = {
    "vllm:num_requests_running": "gauge",
    "vllm:num_requests_waiting": "gauge",
    "vllm:kv_cache_usage_perc": "gauge",
    "vllm:prefix_cache_hits_total": "counter",
    "vllm:prefix_cache_queries_total": "counter",
}

Sample = dict[str, dict[str, float]]


class LaggedMetrics:
    """History of metric samples that renders the sample current a fixed time ago."""

    def __init__(self, clock: Clock, lag_ms: int) -> None:
        """Creates an empty history.

        Args:
            clock: Source of time.
            lag_ms: Age of the rendered page, in milliseconds.
        """
        self._clock = clock
        self._lag_ms = lag_ms
        self._history: deque[tuple[int, Sample]] = deque()

    def add_sample(self, sample: Sample) -> None:
        """Adds a sample, which holds values by model for each metric name."""
        self._history.append((self._clock.now(), sample))
        self._trim()

    def render(self) -> str:
        """Returns the sample of ``lag_ms`` ago in the Prometheus text format."""
        self._trim()
        cutoff_ms = self._clock.now() - self._lag_ms
        sample = self._history[0][1] if self._history and self._history[0][0] <= cutoff_ms else {}
        return "".join(_render_metric(name, sample.get(name, {})) for name in TYPES_BY_NAME)

    def _trim(self) -> None:
        """Drops the samples that are older than the one to render."""
        cutoff_ms = self._clock.now() - self._lag_ms
        while len(self._history) > 1 and self._history[1][0] <= cutoff_ms:
            self._history.popleft()


def _render_metric(name: str, values_by_model: dict[str, float]) -> str:
    """Returns the text lines of one metric."""
    family = name.removesuffix("_total")
    lines = [f"# HELP {family} {family}", f"# TYPE {family} {TYPES_BY_NAME[name]}"]
    for model, value in values_by_model.items():
        lines.append(f'{name}{{model_name="{model}"}} {float(value)}')
    return "\n".join(lines) + "\n"
