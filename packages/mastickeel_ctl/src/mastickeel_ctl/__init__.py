"""Command line for mastickeel operators."""

from __future__ import annotations
