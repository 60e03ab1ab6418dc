"""Assembles the web application for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.web import Application

from mastickeel.errors import UnauthorizedError
from mastickeel_router.callers.chat import ChatHandler
from mastickeel_router.callers.models import ModelsHandler
from mastickeel_router.callers.services import ServiceHandler
from mastickeel_router.listeners.listener import measure_copy
from mastickeel_router.web import UnknownPathHandler, measure_json_work, parse_bearer

if TYPE_CHECKING:
    from mastickeel_router.callers.state import CallersState
    from mastickeel_router.listeners import RequestHead

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"


def make_application(state: CallersState) -> Application:
    """Creates the web application for callers.

    Args:
        state: Components that the handlers use.

    Returns:
        The Tornado application.
    """
    shared = {"state": state}
    return Application(
        [
            (CHAT_PATH, ChatHandler, shared),
            (r"/v1/models", ModelsHandler, shared),
            (rf"{SERVICES_PREFIX}([^/]+)(/.*)?", ServiceHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
    )


def wants_body(state: CallersState, head: RequestHead) -> bool:
    """Returns whether a request has a route that reads its body, and the key of an account."""
    if head.path != CHAT_PATH and not head.path.startswith(SERVICES_PREFIX):
        return False
    try:
        state.accounts.find(state.configuration.view.committed, parse_bearer(head.headers))
    except UnauthorizedError:
        return False
    return True


def measure_work(head: RequestHead, body: bytearray) -> int:
    """Returns the memory that serving a body takes beside it, in bytes."""
    return measure_json_work(head, body) if head.path == CHAT_PATH else measure_copy(head, body)
