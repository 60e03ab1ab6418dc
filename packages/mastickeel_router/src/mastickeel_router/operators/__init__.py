"""Operators' language and administration API."""

from __future__ import annotations

from mastickeel_router.operators.application import MAX_BODY_BYTES, make_application, wants_body
from mastickeel_router.operators.state import OperatorsState

__all__ = ["MAX_BODY_BYTES", "OperatorsState", "make_application", "wants_body"]
