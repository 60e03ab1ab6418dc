"""Tables of a whole router for the operators' language: instances, what runs, changes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from mastickeel_router.operators.statements import REPLACE_ROSTER
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.admission.gate import AdmissionGate
    from mastickeel_router.billing import BillLedger
    from mastickeel_router.configuration import ConfigurationState
    from mastickeel_router.control import Control
    from mastickeel_router.dispatch.endpoints import EndpointTable
    from mastickeel_router.membership import Members
    from mastickeel_router.operators.fleet_tables import FleetTables
    from mastickeel_router.quarantine import Quarantine
    from mastickeel_router.rollouts import RolloutService
    from mastickeel_router.tables import Catalogue


@dataclass(frozen=True)
class Slices:
    """The slices of a router that the tables tell of."""

    catalogue: Catalogue
    """What is filled."""
    fleet_tables: FleetTables
    members: Callable[[], Members]
    configuration: ConfigurationState
    gate: AdmissionGate
    endpoints: EndpointTable
    rollouts: RolloutService
    quarantine: Quarantine
    control: Control
    ledger: BillLedger


def offer_overview(router: Slices) -> None:
    """Offers the tables and acts of the slices that offer none themselves.

    Args:
        router: The router's slices.
    """
    own = router.fleet_tables.table_builders_by_name
    own["instances"] = partial(instance_table, router)
    own["running"] = partial(running_table, router)
    own["evidence"] = partial(router.rollouts.status, only_led_here=True)
    own["quarantine"] = router.quarantine.table
    sources = router.catalogue.sources_by_name
    for name in own:
        sources[name] = partial(router.fleet_tables.gather_table, name)
    sources["changes"] = partial(changes_table, router)
    sources["roster"] = router.control.roster_table
    sources["bills"] = router.ledger.table
    router.catalogue.actions_by_name["clear quarantine"] = router.quarantine.clear
    router.catalogue.actions_by_name[REPLACE_ROSTER] = router.control.replace_roster


def instance_table(router: Slices) -> Table:
    """Tells what an instance is and on which revision."""
    mine = router.members().local_member
    row = (
        mine.data_centre,
        mine.region,
        mine.address,
        mine.leaving,
        router.configuration.revision,
        router.gate.open_requests,
    )
    columns = ("data_centre", "region", "address", "leaving", "revision", "open_requests")
    return Table(columns, (row,))


def running_table(router: Slices) -> Table:
    """Tells how many requests an instance has on each endpoint."""
    counts = router.endpoints.in_flight_by_id
    rows = tuple((endpoint_id, count) for endpoint_id, count in counts.items() if count)
    return Table(("endpoint", "requests"), rows)


async def changes_table(router: Slices) -> Table:
    """Lists the changes that an instance holds in memory, oldest first."""
    rows = tuple(
        (one.revision, one.at_ms, one.author, one.text, one.id)
        for one in router.configuration.changes
    )
    return Table(("revision", "at_ms", "author", "text", "change"), rows)
