"""Orders to the engine stand-in, which load and unload models and set its role."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"
ROLES = ("prefill", "decode", "both")

Outcome = tuple[int, dict[str, Any]]


class OrderBody(msgspec.Struct):
    """The fields of an order."""

    model: str = ""
    """The model to load or unload."""
    role: str = ""
    """The role to set."""
    fencing: int | None = None
    """Fencing token of the sender; None skips the check."""
    order_id: str = ""
    """The order's id."""


class Orders:
    """Loaded models, role and highest fencing token of an engine."""

    def __init__(
        self,
        clock: Clock,
        models: tuple[str, ...],
        checks_fencing: bool,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        """Creates the initial state of an engine.

        Args:
            clock: Source of the times in the log.
            models: Models that are loaded at the start.
            checks_fencing: Whether orders with an outdated fencing token are refused.
            load: Waits for the duration of loading a model.
        """
        self.models: list[str] = list(models)
        """Loaded models."""
        self.role = "both"
        """The engine's role, one of ``ROLES``."""
        self.highest_fencing = 0
        """Highest fencing token received."""
        self.log: list[dict[str, Any]] = []
        """All received orders, including refused ones."""
        self._clock = clock
        self._initial = models
        self._checks_fencing = checks_fencing
        self._load = load
        self._latest_order_by_model: dict[str, int] = {}

    def reset(self) -> None:
        """Restores the initial state; keeps the log for tests to check."""
        self.models = list(self._initial)
        self.role = "both"
        self.highest_fencing = 0
        self._latest_order_by_model.clear()

    def describe_state(self) -> dict[str, Any]:
        """Returns the state in the form of GET /control/state."""
        return {
            "models": list(self.models),
            "role": self.role,
            "highest_fencing": self.highest_fencing,
            "orders": list(self.log),
        }

    async def execute(self, kind: str, order: OrderBody) -> Outcome:
        """Executes an order unless its fencing token is outdated.

        Args:
            kind: ``load``, ``unload`` or ``role``.
            order: The order.

        Returns:
            The HTTP status and body of the response.
        """
        accepted = self._accept_fencing(order.fencing)
        entry = {"kind": kind, **msgspec.structs.asdict(order), "at_ms": self._clock.now()}
        self.log.append({**entry, "accepted": accepted})
        if not accepted:
            return _make_refusal(409, f"fencing {order.fencing} is below {self.highest_fencing}")
        if kind == ROLE:
            return self._set_role(order.role)
        if not order.model:
            return _make_refusal(400, "an order needs a model")
        order_number = len(self.log)
        self._latest_order_by_model[order.model] = order_number
        if kind == UNLOAD:
            return self._unload(order.model)
        return await self._load_model(order.model, order_number)

    def _accept_fencing(self, fencing: int | None) -> bool:
        """Records a fencing token and returns whether an order with this token is accepted."""
        if fencing is None or not self._checks_fencing:
            return True
        if fencing < self.highest_fencing:
            return False
        self.highest_fencing = fencing
        return True

    def _set_role(self, role: str) -> Outcome:
        """Sets the engine's role."""
        if role not in ROLES:
            return _make_refusal(400, f"role must be one of {', '.join(ROLES)}")
        self.role = role
        return 200, {"role": role}

    def _unload(self, model: str) -> Outcome:
        """Unloads a model; its runs in progress continue."""
        was_loaded = model in self.models
        if was_loaded:
            self.models.remove(model)
        return 200, {"model": model, "changed": was_loaded}

    async def _load_model(self, model: str, order_number: int) -> Outcome:
        """Loads a model unless a later order for the same model arrives during the loading."""
        if model in self.models:
            return 200, {"model": model, "changed": False}
        await self._load(model)
        if self._latest_order_by_model.get(model) != order_number:
            return _make_refusal(409, "a later order for the model came while it was loaded")
        self.models.append(model)
        return 200, {"model": model, "changed": True}


def _make_refusal(status: int, message: str) -> Outcome:
    """Returns the status and body of the response to a refused order."""
    return status, {"error": {"message": message, "type": "invalid_request_error", "code": status}}
