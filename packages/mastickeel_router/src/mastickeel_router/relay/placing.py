"""Places sends: selects the endpoint, and waits for a permit if the endpoint has a rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError
from mastickeel_router.routes import is_at_home

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.placement import Demand
    from mastickeel_router.ratelimits import Admission
    from mastickeel_router.relay.context import Context

MAX_PERMIT_REQUESTS = 3
"""Maximum number of limited endpoints whose permit is requested before an endpoint without a limit
is preferred: each request is a round trip to another instance."""

BRITTLE_RETRY_MS = 500
"""Least retry time sent to callers while all endpoints are brittle and may be full."""


class NoEndpointError(UnavailableError):
    """Raised when no endpoint of a service is known."""


class EndpointsEvacuatedError(UnavailableError):
    """Raised when every endpoint of a service is in a data centre that is evacuated."""

    code = "endpoints_evacuated"
    title = "The service's data centres are evacuated."


class EndpointsAbroadError(UnavailableError):
    """Raised when a service has endpoints outside of the request's home regions only."""

    code = "endpoints_abroad"
    title = "The service has no endpoint in the regions in which the request may run."


class EndpointsLimitedError(UnavailableError):
    """Raised when every endpoint has a rate limit that is used up."""

    code = "endpoints_limited"
    title = "The service's endpoints accept no more requests at the moment."


class EndpointsAwayError(UnavailableError):
    """Raised when every endpoint has turned requests away for too long."""

    code = "endpoints_away"
    title = "The service's endpoints have turned requests away for a time."


class EndpointsBrittleError(UnavailableError):
    """Raised when every endpoint is brittle and may not be sent another request in time."""

    code = "endpoints_brittle"
    title = "The service's endpoints cannot reject more requests without failing."


class Placer:
    """Places the sends of one request."""

    def __init__(
        self,
        context: Context,
        *,
        service: str,
        list_endpoints: Callable[[], Sequence[EndpointRecord]],
        tried_ids: Collection[str],
        homes: frozenset[str] | None = None,
    ) -> None:
        """Creates a placer.

        Args:
            context: Provides loads, limits and permits.
            service: Name of the service, for errors.
            list_endpoints: Returns the endpoints that may serve the request now.
            tried_ids: Ids of the endpoints that were tried; others are preferred.
            homes: Regions in which the request may run; None for all.
        """
        self.candidate_count = 0
        """Number of endpoints that were candidates for the last send."""
        self._admission: Admission | None = None
        self._context = context
        self._service = service
        self._list_endpoints = list_endpoints
        self._tried_ids = tried_ids
        self._homes = homes

    async def place(self, demand: Demand, model: str, time_left_ms: float) -> EndpointRecord:
        """Returns the endpoint of the next send; the send is permitted from then on.

        Args:
            demand: Resources that the request needs.
            model: Name of the model that runs the request.
            time_left_ms: Time within which the first event should arrive; limits the wait for an
                endpoint that is limited or away.

        Raises:
            NoEndpointError: When no endpoint is known.
            EndpointsAwayError: When all endpoints have turned requests away for too long.
            EndpointsLimitedError: When the limits of all endpoints are used up for too long.
            EndpointsBrittleError: When no endpoint may be sent a request that it might refuse.
        """
        context = self._context
        denied_ids: set[str] = set()
        waits_ms: list[int] = []
        until_ms = context.clock.now() + time_left_ms
        while True:
            known = self._list_endpoints()
            self.candidate_count = len(known)
            if not known:
                raise self._explain_absence()
            time_left_ms = max(0.0, until_ms - context.clock.now())
            records = [record for record in known if not context.availability.wait_ms(record)]
            if not records:
                await self._wait_for_return(known, demand, model, time_left_ms)
                continue
            open_records = self._list_open(records, denied_ids)
            endpoint = context.loads.choose(self._prefer_untried(open_records), demand, model)
            if endpoint is None and waits_ms:
                await self._wait_for_admission(min(waits_ms), time_left_ms)
                denied_ids.clear()
                waits_ms.clear()
                continue
            if endpoint is None:
                endpoint = await self._wait_for_limited(records, demand, model, time_left_ms)
            elif (
                context.limits.limit_of(endpoint) is not None
                and not (await context.permits.acquire(endpoint)).granted
            ):
                denied_ids.add(endpoint.id)
                continue
            if context.admissions.is_brittle(endpoint):
                self._admission, wait_ms = await context.admissions.acquire(endpoint)
                if self._admission is None:
                    denied_ids.add(endpoint.id)
                    waits_ms.append(wait_ms)
                    continue
            if self._is_selectable(endpoint):
                return endpoint
            if admission := self.take_admission():
                context.admissions.settle(admission, refused=False)

    def take_admission(self) -> Admission | None:
        """Returns the admission of the last placed send once; None if it needed none."""
        admission, self._admission = self._admission, None
        return admission

    def has_unlimited(self) -> bool:
        """Returns whether an endpoint without a rate limit may serve the request now."""
        limits, availability = self._context.limits, self._context.availability
        return any(
            limits.limit_of(record) is None
            and not self._context.admissions.is_brittle(record)
            and not availability.wait_ms(record)
            for record in self._list_endpoints()
        )

    def _explain_absence(self) -> UnavailableError:
        """Returns the error for a request that no known endpoint may serve."""
        context = self._context
        known = context.registry.usable(self._service)
        at_home = [
            record
            for record in known
            if is_at_home(record.data_centre, self._homes, context.regions_by_data_centre)
        ]
        if known and not at_home:
            homes = ", ".join(sorted(self._homes or ()))
            return EndpointsAbroadError(f"No endpoint of {self._service} is in {homes}.")
        evacuated = {record.data_centre for record in at_home if context.evacuations.covers(record)}
        if evacuated:
            names = ", ".join(sorted(evacuated))
            return EndpointsEvacuatedError(f"{self._service} has endpoints in {names} only.")
        return NoEndpointError(f"No endpoint of {self._service} is known.")

    def _is_selectable(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint may still serve the request after waiting for a permit."""
        return any(
            (record.id, record.started_ms) == (endpoint.id, endpoint.started_ms)
            for record in self._list_endpoints()
            if not self._context.availability.wait_ms(record)
        )

    def _list_open(
        self, records: Sequence[EndpointRecord], denied_ids: Collection[str]
    ) -> list[EndpointRecord]:
        """Returns the endpoints that may accept a request at once."""
        context = self._context
        if len(denied_ids) >= MAX_PERMIT_REQUESTS:
            return [
                record
                for record in records
                if record.id not in denied_ids and context.limits.limit_of(record) is None
            ]
        return [
            record
            for record in records
            if record.id not in denied_ids and not context.permits.known_wait_ms(record)
        ]

    def _prefer_untried(self, records: Sequence[EndpointRecord]) -> Sequence[EndpointRecord]:
        untried = [record for record in records if record.id not in self._tried_ids]
        return untried or records

    async def _wait_for_return(
        self, records: Sequence[EndpointRecord], demand: Demand, model: str, time_left_ms: float
    ) -> None:
        """Waits until the first of the endpoints that are away returns.

        Raises:
            EndpointsAwayError: When the first event would arrive after `time_left_ms`.
        """
        context = self._context
        first = min(records, key=context.availability.wait_ms)
        wait_ms = context.availability.wait_ms(first)
        expected_ms = context.loads.predict_first_event_ms([first], demand, model)
        if wait_ms + expected_ms > time_left_ms:
            raise EndpointsAwayError(
                f"{first.id} of {self._service} is the first to return.",
                retry_after_ms=wait_ms,
            )
        await context.clock.sleep(wait_ms)

    async def _wait_for_admission(self, wait_ms: int, time_left_ms: float) -> None:
        """Waits until a brittle endpoint may be sent another request.

        Raises:
            EndpointsBrittleError: When that is after `time_left_ms`.
        """
        if wait_ms > time_left_ms:
            raise EndpointsBrittleError(
                f"The endpoints of {self._service} are brittle and may be full.",
                retry_after_ms=max(wait_ms, BRITTLE_RETRY_MS),
            )
        await self._context.clock.sleep(wait_ms)

    async def _wait_for_limited(
        self,
        records: Sequence[EndpointRecord],
        demand: Demand,
        model: str,
        time_left_ms: float,
    ) -> EndpointRecord:
        """Waits for one of the limited endpoints that accept a request next.

        Raises:
            EndpointsLimitedError: When the first event would arrive after `time_left_ms`.
        """
        context = self._context
        breakers, permits = context.loads.breakers, context.permits
        healthy = [record for record in records if not breakers.is_open(record.id)]
        nearest = sorted(healthy or records, key=permits.known_wait_ms)[:MAX_PERMIT_REQUESTS]
        waits_ms = []
        for endpoint in nearest:
            expected_ms = context.loads.predict_first_event_ms([endpoint], demand, model)
            permit = await permits.acquire(endpoint, max(0.0, time_left_ms - expected_ms))
            if permit.granted:
                await context.clock.sleep(permit.wait_ms)
                return endpoint
            waits_ms.append(permit.wait_ms)
        raise EndpointsLimitedError(
            f"No endpoint of {self._service} accepts more requests now.",
            retry_after_ms=max(1, min(waits_ms)),
        )
