"""Relay: sends callers' requests to endpoints and returns each answer complete and unchanged."""

from mastickeel_router.relay.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
