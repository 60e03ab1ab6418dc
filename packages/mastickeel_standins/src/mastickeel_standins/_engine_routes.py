"""HTTP routes of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ._engine_orders import LOAD, ROLE, UNLOAD, OrderBody

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ._engine_http import Exchange
    from .engine import EngineStandin

    Route = Callable[[EngineStandin, Exchange], Awaitable[None]]

FENCING_HEADER = "fencing"
CANCEL_PREFIX = "/v1/requests/"
CANCEL_SUFFIX = "/cancel"
ORDER_PREFIX = "/control/orders/"


async def handle_request(engine: EngineStandin, exchange: Exchange) -> None:
    """Handles a request to an engine, subject to the engine's faults.

    Args:
        engine: The engine.
        exchange: The caller's connection.
    """
    request = exchange.request
    key = f"{request.method} {request.path}"
    # Control routes ignore faults, so that a test can switch a fault off again.
    if key in CONTROL_ROUTES:
        await CONTROL_ROUTES[key](engine, exchange)
    elif engine.faults.down:
        exchange.drop()
    elif engine.faults.silent:
        await exchange.closed.wait()
    elif key in ROUTES:
        await ROUTES[key](engine, exchange)
    else:
        await _handle_named_route(engine, exchange)


async def _handle_named_route(engine: EngineStandin, exchange: Exchange) -> None:
    """Handles the routes that have a request id or an order kind in their path."""
    path = exchange.request.path
    is_post = exchange.request.method == "POST"
    if is_post and path.startswith(CANCEL_PREFIX) and path.endswith(CANCEL_SUFFIX):
        request_id = path[len(CANCEL_PREFIX) : -len(CANCEL_SUFFIX)]
        found = engine.cancel(request_id)
        await exchange.json(200 if found else 404, {"id": request_id, "cancelled": found})
        return
    kind = path.removeprefix(ORDER_PREFIX)
    if is_post and kind != path and kind in (LOAD, UNLOAD, ROLE):
        await _handle_order(engine, exchange, kind)
        return
    await exchange.error(404, "Not Found", "NotFound")


async def _handle_order(engine: EngineStandin, exchange: Exchange, kind: str) -> None:
    """Executes an order and sends its outcome."""
    try:
        order = msgspec.json.decode(exchange.request.body, type=OrderBody)
        order.fencing = _read_fencing(exchange, order.fencing)
    except ValueError as error:
        await exchange.error(400, str(error))
        return
    status, answer = await engine.orders.execute(kind, order)
    await exchange.json(status, answer)


async def _load_adapter(engine: EngineStandin, exchange: Exchange) -> None:
    """Handles vLLM's route for loading an adapter."""
    await _handle_adapter_order(engine, exchange, LOAD)


async def _unload_adapter(engine: EngineStandin, exchange: Exchange) -> None:
    """Handles vLLM's route for unloading an adapter."""
    await _handle_adapter_order(engine, exchange, UNLOAD)


async def _handle_adapter_order(engine: EngineStandin, exchange: Exchange, kind: str) -> None:
    """Executes an order in the format of vLLM's adapter routes."""
    try:
        body: dict[str, Any] = msgspec.json.decode(exchange.request.body, type=dict[str, Any])
        fencing = _read_fencing(exchange, body.get("fencing"))
    except ValueError as error:
        await exchange.error(400, str(error))
        return
    name = body.get("lora_name")
    if not isinstance(name, str) or (kind == LOAD and not body.get("lora_path")):
        await exchange.error(400, "'lora_name' and 'lora_path' must be given.")
        return
    status, answer = await engine.orders.execute(kind, OrderBody(model=name, fencing=fencing))
    if status != 200:
        await exchange.json(status, answer)
    elif answer["changed"]:
        done = "added" if kind == LOAD else "removed"
        await exchange.text(200, f"Success: LoRA adapter '{name}' {done} successfully.")
    elif kind == LOAD:
        await exchange.error(400, f"The lora adapter '{name}' has already been loaded.")
    else:
        await exchange.error(404, f"The lora adapter '{name}' cannot be found.", "NotFoundError")


def _read_fencing(exchange: Exchange, field: Any) -> int | None:
    """Returns an order's fencing token from the header, else from the body field."""
    value = exchange.header(FENCING_HEADER) or field
    return None if value is None else int(value)


async def _complete_chat(engine: EngineStandin, exchange: Exchange) -> None:
    """Handles a chat completion request."""
    await engine.complete_chat(exchange)


async def _get_metrics(engine: EngineStandin, exchange: Exchange) -> None:
    """Sends the metrics page."""
    await exchange.text(200, engine.render_metrics(), "text/plain; version=0.0.4")


async def _get_health(engine: EngineStandin, exchange: Exchange) -> None:
    """Sends an empty success response to a health check."""
    await exchange.text(200, "")


async def _get_models(engine: EngineStandin, exchange: Exchange) -> None:
    """Sends the list of loaded models."""
    models = [{"id": model, "object": "model"} for model in engine.orders.models]
    await exchange.json(200, {"object": "list", "data": models})


async def _get_state(engine: EngineStandin, exchange: Exchange) -> None:
    """Sends the loaded models, the role, the highest fencing token and the orders."""
    await exchange.json(200, engine.orders.describe_state())


async def _get_runs(engine: EngineStandin, exchange: Exchange) -> None:
    """Sends the records of ended and running runs and the number of crashes."""
    running = list(engine.running_by_id.values())
    await exchange.json(200, {"runs": engine.runs, "running": running, "crashes": engine.crashes})


async def _set_faults(engine: EngineStandin, exchange: Exchange) -> None:
    """Sets the faults named in the body and sends all faults."""
    try:
        engine.faults.update(msgspec.json.decode(exchange.request.body, type=dict[str, Any]))
    except ValueError as error:
        await exchange.error(400, str(error))
        return
    await exchange.json(200, engine.faults)


CONTROL_ROUTES: dict[str, Route] = {
    "POST /control/faults": _set_faults,
    "GET /control/runs": _get_runs,
}
ROUTES: dict[str, Route] = {
    "POST /v1/chat/completions": _complete_chat,
    "POST /v1/load_lora_adapter": _load_adapter,
    "POST /v1/unload_lora_adapter": _unload_adapter,
    "GET /v1/models": _get_models,
    "GET /health": _get_health,
    "GET /metrics": _get_metrics,
    "GET /control/state": _get_state,
}
