"""What a deployment's adapter gives to the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel._kvtypes import KeyValue, Put
    from mastickeel.storeport import Store
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.types import Dialect
    from mastickeel_router.releases.model import ReleaseOrder, ReleaseState
    from mastickeel_router.routes import RoutingConfiguration


@dataclass(frozen=True)
class Deployment:
    """How the systems around the gateway speak, and where they keep what it reads."""

    store: Store
    dialect: Dialect
    operator_prefix: str
    """What the keys begin with that the operator writes."""
    entries_prefix: str
    """What the keys of endpoints' entries begin with."""
    read_operator_item: Callable[[KeyValue], RoutingConfiguration | ReleaseOrder | None]
    """None for a key that means nothing here; may raise ``MastickeelError``."""
    read_entry: Callable[[str, bytes], EndpointRecord]
    """May raise ``MastickeelError``."""
    parse_order_key: Callable[[str], str]
    """Returns the service whose release order a key holds; empty for another key."""
    parse_entry_key: Callable[[str], str]
    """Returns the endpoint whose entry a key holds."""
    write_release_state: Callable[[ReleaseOrder, ReleaseState], Put]
    """Tells the operator how far a release is."""
