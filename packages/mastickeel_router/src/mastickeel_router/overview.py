"""Tables on the whole router for the operators' language: instances, running requests, changes."""

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
    from mastickeel_router.control import ControlPlane
    from mastickeel_router.dispatch.endpoints import EndpointTable
    from mastickeel_router.membership import Members
    from mastickeel_router.operators.fleet_tables import FleetTables
    from mastickeel_router.quarantine.guard import Quarantine
    from mastickeel_router.rollouts import RolloutService
    from mastickeel_router.tables import Catalogue


@dataclass(frozen=True)
class OverviewSources:
    """Parts of a router that the tables read."""

    catalogue: Catalogue
    """Registry for the tables and actions."""
    fleet_tables: FleetTables
    members: Callable[[], Members]
    configuration: ConfigurationState
    gate: AdmissionGate
    endpoints: EndpointTable
    rollouts: RolloutService
    quarantine: Quarantine
    control: ControlPlane
    ledger: BillLedger


def register_overview_tables(sources: OverviewSources) -> None:
    """Registers the tables and actions of the parts that register none themselves.

    Args:
        sources: The router's parts.
    """
    instance_tables = sources.fleet_tables.table_builders_by_name
    instance_tables["instances"] = partial(instance_table, sources)
    instance_tables["running"] = partial(running_table, sources)
    instance_tables["evidence"] = partial(sources.rollouts.status, only_controlled_here=True)
    instance_tables["quarantine"] = sources.quarantine.table
    table_sources = sources.catalogue.sources_by_name
    for name in instance_tables:
        table_sources[name] = partial(sources.fleet_tables.gather_table, name)
    table_sources["changes"] = partial(changes_table, sources)
    table_sources["roster"] = sources.control.roster_table
    table_sources["bills"] = sources.ledger.table
    sources.catalogue.actions_by_name["clear quarantine"] = sources.quarantine.clear
    sources.catalogue.actions_by_name[REPLACE_ROSTER] = sources.control.replace_roster


def instance_table(sources: OverviewSources) -> Table:
    """Returns an instance's location, state and configuration revision."""
    member = sources.members().local_member
    row = (
        member.data_centre,
        member.region,
        member.address,
        member.leaving,
        sources.configuration.revision,
        sources.gate.open_requests,
    )
    columns = ("data_centre", "region", "address", "leaving", "revision", "open_requests")
    return Table(columns, (row,))


def running_table(sources: OverviewSources) -> Table:
    """Returns the number of an instance's running requests on each endpoint."""
    counts = sources.endpoints.in_flight_by_id
    rows = tuple((endpoint_id, count) for endpoint_id, count in counts.items() if count)
    return Table(("endpoint", "requests"), rows)


async def changes_table(sources: OverviewSources) -> Table:
    """Returns the changes that an instance holds in memory, oldest first."""
    rows = tuple(
        (change.revision, change.at_ms, change.author, change.text, change.id)
        for change in sources.configuration.changes
    )
    return Table(("revision", "at_ms", "author", "text", "change"), rows)
