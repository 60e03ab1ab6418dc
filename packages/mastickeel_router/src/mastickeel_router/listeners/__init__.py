"""Listeners of callers and operators: bounded connections, requests and memory."""

from mastickeel_router.listeners.listener import RequestHead, RequestListener, Responder

__all__ = ["RequestHead", "RequestListener", "Responder"]
