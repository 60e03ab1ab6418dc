"""Orders engines to load live versions and to unload withdrawn ones.

The desired state is read from the configuration, and the actual state from the engine before and
after each order. No other state is kept, so the next duty holder continues from there.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.addresses import Address
from mastickeel.decoding import decode_json
from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.httpmessages import HttpRequest, Timeouts
from mastickeel.logs import log
from mastickeel.model import EndpointState, PoolKind, VersionState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Configuration, Endpoint, Pool
    from mastickeel.settings import PoolSettings

CHECKS_PER_SECOND = 20
"""Engines checked per second; a round over a large fleet takes correspondingly longer."""
ROUND_INTERVAL_MS = 5_000
STATE_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 60_000
"""Time after which an unanswered order counts as lost."""
LOAD_INTERVAL_MS = 2_000
"""Interval between load orders over the whole fleet, which protects the weight store."""

UNLOAD_AFTER_MS = 600_000
"""Time from withdrawal to unload of a version, in which operators may restore the version."""

ORDER_GIVEN = define_event(
    2100, "order_given", "info", "An engine was ordered to load or unload a version."
)
ORDER_FAILED = define_event(
    2101,
    "order_failed",
    "warning",
    "An engine refused an order or did not answer; the order is retried.",
)
LAST_ENDPOINT_KEPT = define_event(
    2102,
    "last_endpoint_kept",
    "warning",
    "A withdrawn version stays loaded, since no other endpoint has it.",
)


@dataclass(frozen=True)
class Order:
    """An order to load or unload a version on an endpoint."""

    kind: str
    """``load`` or ``unload``."""
    version_id: str


def pending_orders(pool: Pool, configuration: Configuration, loaded: frozenset[str]) -> list[Order]:
    """Returns the orders that an endpoint of a pool still needs.

    Versions that are not in the configuration get no orders.

    Args:
        pool: The endpoint's pool.
        configuration: The configuration in force.
        loaded: The versions loaded on the endpoint.
    """
    versions = sorted(configuration.versions_by_id.values(), key=lambda version: version.id)
    pool_versions = [version for version in versions if version.pool == pool.id]
    loads = [
        Order("load", version.id)
        for version in pool_versions
        if version.state is VersionState.LIVE and version.id not in loaded
    ]
    unloads = [
        Order("unload", version.id)
        for version in pool_versions
        if version.state is VersionState.WITHDRAWN and version.id in loaded
    ]
    return loads + unloads


class EngineOrders:
    """Reconciles engines with the configuration while this instance holds the duty."""

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        *,
        pools: Mapping[str, PoolSettings],
        configuration: Callable[[], Configuration],
        fencing: Callable[[], int | None],
    ) -> None:
        """Creates the reconciler.

        Args:
            http: Calls the engines.
            clock: Times checks and orders.
            pools: Settings that tell what the engines of each pool verify; other pools get no
                orders.
            configuration: Returns the configuration in force.
            fencing: Returns the duty's fencing token; None unless the duty is certainly held.
        """
        self._http = http
        self._clock = clock
        self._pools = pools
        self._configuration = configuration
        self._fencing = fencing
        self._next_load_ms = 0
        self._duty_since_ms = 0
        self._last_fencing: int | None = None
        self._withdrawn_since_ms_by_id: dict[str, int] = {}

    async def run(self) -> None:
        """Checks every engine in rounds, until cancelled."""
        while True:
            await self.run_round()
            await self._clock.sleep(ROUND_INTERVAL_MS)

    async def run_round(self) -> None:
        """Checks every engine once, and sends each at most one order and waits for the answer."""
        self._record_withdrawals()
        for pool in list(self._configuration().pools_by_id.values()):
            if pool.kind is not PoolKind.ENGINE or not self._may_order(pool.id):
                continue
            for endpoint in pool.endpoints:
                if endpoint.state is EndpointState.LIVE:
                    await self._reconcile_endpoint(pool, endpoint)
                    await self._clock.sleep(1_000 / CHECKS_PER_SECOND)

    def _record_withdrawals(self) -> None:
        """Records when this holder first saw each withdrawn version."""
        now_ms = self._clock.now()
        self._withdrawn_since_ms_by_id = {
            version.id: self._withdrawn_since_ms_by_id.get(version.id, now_ms)
            for version in self._configuration().versions_by_id.values()
            if version.state is VersionState.WITHDRAWN
        }

    def _may_order(self, pool_id: str) -> bool:
        """Returns whether the pool's engines may be sent orders now.

        Engines that do not check the fencing token would also execute an order that the last holder
        sent just before it lost the duty; so the timeout of such an order has to pass first.
        """
        fencing = self._fencing()
        if fencing is None:
            return False
        if fencing != self._last_fencing:
            self._last_fencing, self._duty_since_ms = fencing, self._clock.now()
        settings = self._pools.get(pool_id)
        if settings is None:
            return False
        waited_ms = self._clock.now() - self._duty_since_ms
        return settings.checks_fencing or waited_ms >= ORDER_TIMEOUT_MS

    async def _reconcile_endpoint(self, pool: Pool, endpoint: Endpoint) -> None:
        """Sends an endpoint the first order that is due, and verifies the effect of the order."""
        try:
            loaded = await self._fetch_loaded(endpoint)
            order = await self._next_order(pool, endpoint, loaded)
            if order is None or not self._may_order(pool.id):
                return
            await self._send_order(endpoint, order)
            loaded_after = await self._fetch_loaded(endpoint)
        except MastickeelError as error:
            log(ORDER_FAILED, endpoint=endpoint.id, error=str(error))
            return
        if (order.version_id in loaded_after) != (order.kind == "load"):
            log(ORDER_FAILED, endpoint=endpoint.id, error=f"{order.kind} had no effect")

    async def _next_order(
        self, pool: Pool, endpoint: Endpoint, loaded: frozenset[str]
    ) -> Order | None:
        """Returns the first order that may be sent now; None when no order is due."""
        now_ms = self._clock.now()
        for order in pending_orders(pool, self._configuration(), loaded):
            if order.kind == "load":
                if now_ms >= self._next_load_ms:
                    self._next_load_ms = now_ms + LOAD_INTERVAL_MS
                    return order
            elif not self._is_unload_due(order.version_id):
                continue
            elif await self._is_loaded_elsewhere(pool, endpoint, order.version_id):
                return order
            else:
                log(LAST_ENDPOINT_KEPT, endpoint=endpoint.id, version=order.version_id)
        return None

    def _is_unload_due(self, version_id: str) -> bool:
        since_ms = self._withdrawn_since_ms_by_id.get(version_id)
        return since_ms is not None and self._clock.now() >= since_ms + UNLOAD_AFTER_MS

    async def _is_loaded_elsewhere(self, pool: Pool, excluded: Endpoint, version_id: str) -> bool:
        """Returns whether another live endpoint has a version and could serve it if restored."""
        for endpoint in pool.endpoints:
            if endpoint.id == excluded.id or endpoint.state is not EndpointState.LIVE:
                continue
            try:
                if version_id in await self._fetch_loaded(endpoint):
                    return True
            except MastickeelError:
                continue
        return False

    async def _fetch_loaded(self, endpoint: Endpoint) -> frozenset[str]:
        """Returns the versions that an engine reports as loaded."""
        answer = await self._call(endpoint, "GET", "/control/state", None, STATE_TIMEOUT_MS)
        models = answer.get("models")
        if not isinstance(models, list):
            raise MastickeelError("The engine's state has no list of models.")
        return frozenset(str(model) for model in models)

    async def _send_order(self, endpoint: Endpoint, order: Order) -> None:
        """Sends one order and waits for the answer."""
        body = {
            "model": order.version_id,
            "fencing": self._fencing(),
            "order_id": secrets.token_hex(8),
        }
        path = f"/control/orders/{order.kind}"
        log(ORDER_GIVEN, endpoint=endpoint.id, kind=order.kind, version=order.version_id)
        await self._call(endpoint, "POST", path, body, ORDER_TIMEOUT_MS)

    async def _call(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_ms: int,
    ) -> dict[str, Any]:
        """Sends one call to an engine and returns the decoded answer."""
        content = msgspec.json.encode(body) if body else b""
        request = HttpRequest(method, path, {"Content-Type": "application/json"}, content)
        timeouts = Timeouts(first_byte_ms=timeout_ms, between_bytes_ms=timeout_ms)
        address = Address.parse(endpoint.address)
        answer = await self._http.call(address, request, timeouts, fresh=True)
        if answer.status != 200:
            raise MastickeelError(f"{path} answered {answer.status}.")
        try:
            decoded: dict[str, Any] = decode_json(answer.body, dict)
        except msgspec.MsgspecError as error:
            raise MastickeelError(f"{path} answered with an invalid JSON object.") from error
        return decoded
