"""The orders that the engine stand-in takes: which models are loaded, and its role."""

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
    """The role to take."""
    fencing: int | None = None
    """The fencing number of whoever orders."""
    order_id: str = ""
    """The id of the order."""


class Orders:
    """The loaded models, the role and the highest fencing number seen."""

    def __init__(
        self,
        clock: Clock,
        models: tuple[str, ...],
        checks_fencing: bool,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        """Makes the state that an engine starts with.

        Args:
            clock: The clock.
            models: The models that are loaded from the start.
            checks_fencing: Whether orders with a number that is too low are refused.
            load: Takes the time that loading a model takes.
        """
        self.models: list[str] = list(models)
        """The loaded models."""
        self.role = "both"
        """The role."""
        self.highest_fencing = 0
        """The highest fencing number seen."""
        self.log: list[dict[str, Any]] = []
        """All orders, the refused ones too."""
        self._clock = clock
        self._initial = models
        self._checks_fencing = checks_fencing
        self._load = load
        self._latest_order_by_model: dict[str, int] = {}

    def reset(self) -> None:
        """Returns to the state at the start; the log stays, for checking."""
        self.models = list(self._initial)
        self.role = "both"
        self.highest_fencing = 0
        self._latest_order_by_model.clear()

    def describe_state(self) -> dict[str, Any]:
        """Returns the state as GET /control/state gives it."""
        return {
            "models": list(self.models),
            "role": self.role,
            "highest_fencing": self.highest_fencing,
            "orders": list(self.log),
        }

    async def execute(self, kind: str, order: OrderBody) -> Outcome:
        """Carries out an order.

        Args:
            kind: ``load``, ``unload`` or ``role``.
            order: The order.

        Returns:
            The HTTP status and body of the answer.
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
        """Notes a fencing number; returns whether an order with it is accepted."""
        if fencing is None or not self._checks_fencing:
            return True
        if fencing < self.highest_fencing:
            return False
        self.highest_fencing = fencing
        return True

    def _set_role(self, role: str) -> Outcome:
        """Takes a role."""
        if role not in ROLES:
            return _make_refusal(400, f"role must be one of {', '.join(ROLES)}")
        self.role = role
        return 200, {"role": role}

    def _unload(self, model: str) -> Outcome:
        """Unloads a model; what runs on it goes on."""
        was_loaded = model in self.models
        if was_loaded:
            self.models.remove(model)
        return 200, {"model": model, "changed": was_loaded}

    async def _load_model(self, model: str, place: int) -> Outcome:
        """Loads a model, unless a later order for it comes while it loads."""
        if model in self.models:
            return 200, {"model": model, "changed": False}
        await self._load(model)
        if self._latest_order_by_model.get(model) != place:
            return _make_refusal(409, "a later order for the model came while it was loaded")
        self.models.append(model)
        return 200, {"model": model, "changed": True}


def _make_refusal(status: int, message: str) -> Outcome:
    """Returns the answer to an order that is not carried out."""
    return status, {"error": {"message": message, "type": "invalid_request_error", "code": status}}
