"""Relay: sends callers' requests to endpoints and returns each answer complete and unchanged."""

from mastickeel_router.relay.dispatcher import Dispatcher
from mastickeel_router.relay.listener import CallerListener

__all__ = ["CallerListener", "Dispatcher"]
