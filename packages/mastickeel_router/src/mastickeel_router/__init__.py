"""The mastickeel router: serves callers, operators and peers."""

from __future__ import annotations
