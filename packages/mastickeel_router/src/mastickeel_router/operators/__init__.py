"""Operators' language and administration API."""

from __future__ import annotations

from mastickeel_router.operators.application import make_application
from mastickeel_router.operators.state import OperatorsState

__all__ = ["OperatorsState", "make_application"]
