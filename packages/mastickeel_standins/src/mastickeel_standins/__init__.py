"""Stand-ins for the external systems that mastickeel uses, for tests and the demo only.

A stand-in is a test double that speaks the real protocol of the system it replaces, keeps its state
in memory and has faults that a test can switch on.
"""

from __future__ import annotations
