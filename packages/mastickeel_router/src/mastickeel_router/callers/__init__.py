"""HTTP interface for callers: chat completions, models and services."""

from __future__ import annotations

from mastickeel_router.callers.application import make_application, measure_work, wants_body
from mastickeel_router.callers.state import CallersState

__all__ = ["CallersState", "make_application", "measure_work", "wants_body"]
