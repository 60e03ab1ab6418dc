"""Relay: takes callers' requests on routes, and brings back each answer whole and unchanged."""

from mastickeel_router.relay.dispatcher import Dispatcher
from mastickeel_router.relay.listener import CallerListener

__all__ = ["CallerListener", "Dispatcher"]
