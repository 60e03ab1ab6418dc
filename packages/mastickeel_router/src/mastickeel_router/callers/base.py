"""Base class of the handlers for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel_router.web import BaseHandler

if TYPE_CHECKING:
    from mastickeel.model import Account, View
    from mastickeel_router.callers.state import CallersState


class CallerHandler(BaseHandler):
    """A request handler that authenticates the caller's account."""

    state: CallersState
    """Components that the handlers use."""

    def set_default_headers(self) -> None:
        """Tells callers to close their connection while this instance is stopping."""
        state: CallersState | None = getattr(self, "state", None)
        if state and state.gate.stop_requested:
            self.set_header("Connection", "close")

    def prepare(self) -> None:
        """Sets the default headers again, now that ``state`` is set, and prepares the request."""
        self.set_default_headers()
        super().prepare()

    @property
    def view(self) -> View:
        """Configuration in force."""
        return self.state.configuration.view

    def account(self) -> Account:
        """Returns the account whose key the request carries.

        Raises:
            UnauthorizedError: When the request has no key or no account has the key.
        """
        return self.state.accounts.find(self.view.committed, self.bearer_token())
