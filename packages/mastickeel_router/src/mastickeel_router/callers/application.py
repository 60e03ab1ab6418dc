"""Assembles the web application for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.web import Application

from mastickeel_router.callers.chat import ChatHandler
from mastickeel_router.callers.models import ModelsHandler
from mastickeel_router.callers.services import ServiceHandler
from mastickeel_router.web import UnknownPathHandler

if TYPE_CHECKING:
    from mastickeel_router.callers.state import CallersState


def make_application(state: CallersState, body_limit_bytes: int) -> Application:
    """Creates the web application for callers.

    Args:
        state: Components that the handlers use.
        body_limit_bytes: Largest request body accepted.

    Returns:
        The Tornado application.
    """
    shared = {"body_limit_bytes": body_limit_bytes, "state": state}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/v1/models", ModelsHandler, shared),
            (r"/services/([^/]+)(/.*)?", ServiceHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args={"body_limit_bytes": body_limit_bytes},
    )
