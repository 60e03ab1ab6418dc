"""Billing: records one bill per request."""

from __future__ import annotations

from mastickeel_router.billing.ledger import BillLedger

__all__ = ["BillLedger"]
