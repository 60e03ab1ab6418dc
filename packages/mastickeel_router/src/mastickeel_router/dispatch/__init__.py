"""Sends requests to endpoints and returns their answers."""

from __future__ import annotations

from mastickeel_router.dispatch.chat import ChatDispatcher
from mastickeel_router.dispatch.endpoints import EndpointTable
from mastickeel_router.dispatch.services import ServiceDispatcher

__all__ = ["ChatDispatcher", "EndpointTable", "ServiceDispatcher"]
