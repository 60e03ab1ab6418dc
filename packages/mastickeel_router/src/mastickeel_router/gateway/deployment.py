"""Interface between the gateway and a deployment's adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel._kvtypes import KeyValue, Put
    from mastickeel.storeport import WatchableStore
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.evacuation import EvacuationOrder
    from mastickeel_router.relay.types import Dialect
    from mastickeel_router.releases.model import ReleaseOrder, ReleaseState
    from mastickeel_router.routes import RoutingConfiguration


@dataclass(frozen=True)
class Deployment:
    """Store, wire formats and key layout of a deployment."""

    store: WatchableStore
    dialect: Dialect
    operator_prefix: str
    """Prefix of the keys that the operator writes."""
    entries_prefix: str
    """Prefix of the keys of endpoints' entries."""
    read_operator_item: Callable[
        [KeyValue], RoutingConfiguration | ReleaseOrder | EvacuationOrder | None
    ]
    """Decodes an operator's value; None for an unknown key. May raise ``MastickeelError``."""
    read_entry: Callable[[str, bytes], EndpointRecord]
    """Decodes an endpoint's entry from key and value. May raise ``MastickeelError``."""
    parse_order_key: Callable[[str], str]
    """Returns the service of a release order's key; empty for any other key."""
    parse_evacuation_key: Callable[[str], str]
    """Returns the data centre of an evacuation's key; empty for any other key."""
    parse_entry_key: Callable[[str], str]
    """Returns the endpoint id of an entry's key."""
    write_release_state: Callable[[ReleaseOrder, ReleaseState], Put]
    """Encodes the progress of a release for the operator."""
