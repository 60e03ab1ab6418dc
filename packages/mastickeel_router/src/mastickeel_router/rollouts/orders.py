"""Orders engines to load what should be loaded and to drop what was withdrawn.

What should be true is read from the configuration, and what is true from the engine before and
after each order. Nothing else is remembered, so the next holder of the duty goes on from there.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.addresses import Address
from mastickeel.errors import MastickeelError
from mastickeel.events import define
from mastickeel.httpmessages import HttpRequest, Waits
from mastickeel.logs import log
from mastickeel.model import EndpointState, PoolKind, VersionState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Configuration, Endpoint, Pool
    from mastickeel.settings import PoolSettings

CHECKS_PER_SECOND = 20
"""Engines looked at; the whole of a large fleet takes the longer."""
ROUND_INTERVAL_MS = 5_000
STATE_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 60_000
"""An order that has no answer by then is taken for lost."""
LOAD_INTERVAL_MS = 2_000
"""Between two orders to load, over the whole fleet, so that the weight store keeps up."""

UNLOAD_AFTER_MS = 600_000
"""How long a version has to be withdrawn before it is dropped, as operators may restore it."""

ORDER_GIVEN = define(2100, "order_given", "info", "An engine was told to load or drop a version.")
ORDER_FAILED = define(
    2101, "order_failed", "warning", "An engine refused an order or did not answer; tried again."
)
LAST_ENDPOINT_KEPT = define(
    2102, "last_endpoint_kept", "warning", "A version stays loaded: no other endpoint has it."
)


@dataclass(frozen=True)
class Order:
    """One thing to do on one endpoint."""

    kind: str
    """``load`` or ``unload``."""
    version_id: str


def pending_orders(pool: Pool, configuration: Configuration, loaded: frozenset[str]) -> list[Order]:
    """Returns what is still to be done on an endpoint of a pool.

    Versions that the configuration does not know are left alone.

    Args:
        pool: The endpoint's pool.
        configuration: What is in force.
        loaded: What the endpoint has.
    """
    versions = sorted(configuration.versions_by_id.values(), key=lambda version: version.id)
    mine = [version for version in versions if version.pool == pool.id]
    loads = [
        Order("load", version.id)
        for version in mine
        if version.state is VersionState.LIVE and version.id not in loaded
    ]
    drops = [
        Order("unload", version.id)
        for version in mine
        if version.state is VersionState.WITHDRAWN and version.id in loaded
    ]
    return loads + drops


class EngineOrders:
    """Brings engines to what the configuration says, while this instance holds the duty."""

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        *,
        pools: Mapping[str, PoolSettings],
        configuration: Callable[[], Configuration],
        fencing: Callable[[], int | None],
    ) -> None:
        """Makes the orders.

        Args:
            http: Speaks to the engines.
            clock: Times looks and orders.
            pools: What the engines of each pool check; a pool that is not named gets no orders.
            configuration: Gives what is in force.
            fencing: Gives the duty's number; None when it is not surely held.
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
        """Looks at every engine, round after round, until cancelled."""
        while True:
            await self.run_round()
            await self._clock.sleep(ROUND_INTERVAL_MS)

    async def run_round(self) -> None:
        """Looks at every engine once; gives each at most one order, and waits for its answer."""
        self._record_withdrawals()
        for pool in list(self._configuration().pools_by_id.values()):
            if pool.kind is not PoolKind.ENGINE or not self._may_order(pool.id):
                continue
            for endpoint in pool.endpoints:
                if endpoint.state is EndpointState.LIVE:
                    await self._reconcile_endpoint(pool, endpoint)
                    await self._clock.sleep(1_000 / CHECKS_PER_SECOND)

    def _record_withdrawals(self) -> None:
        """Notes since when, for all this holder knows, each version has been withdrawn."""
        now_ms = self._clock.now()
        self._withdrawn_since_ms_by_id = {
            version.id: self._withdrawn_since_ms_by_id.get(version.id, now_ms)
            for version in self._configuration().versions_by_id.values()
            if version.state is VersionState.WITHDRAWN
        }

    def _may_order(self, pool_id: str) -> bool:
        """Says whether the pool's engines may be given orders now.

        Engines that do not check the number would also carry out an order that the last holder
        gave just before it lost the duty; so its time has to be over first.
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
        """Gives an endpoint the first order that is due, and looks whether it took effect."""
        try:
            loaded = await self._fetch_loaded(endpoint)
            order = await self._next_order(pool, endpoint, loaded)
            if order is None or not self._may_order(pool.id):
                return
            await self._send_order(endpoint, order)
            after = await self._fetch_loaded(endpoint)
        except MastickeelError as error:
            log(ORDER_FAILED, endpoint=endpoint.id, error=str(error))
            return
        if (order.version_id in after) != (order.kind == "load"):
            log(ORDER_FAILED, endpoint=endpoint.id, error=f"{order.kind} took no effect")

    async def _next_order(
        self, pool: Pool, endpoint: Endpoint, loaded: frozenset[str]
    ) -> Order | None:
        """Returns the first order that may be given now."""
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
        """Says whether another live endpoint has a version, so that it could be restored."""
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
        """Returns what an engine says it has loaded."""
        answer = await self._call(endpoint, "GET", "/control/state", None, STATE_TIMEOUT_MS)
        models = answer.get("models")
        if not isinstance(models, list):
            raise MastickeelError("The state has another shape.")
        return frozenset(str(model) for model in models)

    async def _send_order(self, endpoint: Endpoint, order: Order) -> None:
        """Gives one order and waits for its answer."""
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
        """Sends one call to an engine."""
        content = msgspec.json.encode(body) if body else b""
        request = HttpRequest(method, path, {"Content-Type": "application/json"}, content)
        waits = Waits(first_byte_ms=timeout_ms, between_ms=timeout_ms)
        answer = await self._http.call(Address.parse(endpoint.address), request, waits)
        if answer.status != 200:
            raise MastickeelError(f"{path} answered {answer.status}.")
        try:
            decoded: dict[str, Any] = msgspec.json.decode(answer.body, type=dict)
        except msgspec.MsgspecError as error:
            raise MastickeelError(f"{path} answered with another shape.") from error
        return decoded
