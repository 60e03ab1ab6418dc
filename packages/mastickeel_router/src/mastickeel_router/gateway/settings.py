"""Settings of a gateway: TOML parsed into frozen dataclasses and validated before the start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.addresses import Address  # noqa: TC001 - cattrs resolves it at run time
from mastickeel.errors import SettingsError
from mastickeel.logs import LEVELS_BY_NAME
from mastickeel.settingsfile import (
    InstanceSettings,
    LogSettings,
    MemorySettings,
    StoreSettings,
    read_text,
    structure,
)
from mastickeel_router.listeners.connections import (
    count_caller_connections,
    count_page_connections,
)
from mastickeel_router.relay.budget import RetryLimits

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True)
class ListenSettings:
    """Settings of a listener."""

    listen: Address


@dataclass(frozen=True)
class HealthSettings:
    """Listener for the load balancer's health checks."""

    listen: Address
    path: str = "/ready"


@dataclass(frozen=True)
class PeersSettings:
    """Listener for the other instances, on the fleet's own network."""

    listen: Address
    link_mbps: float = 0.0
    """Bandwidth of the instance's network link in Mbit/s; 0 when not known. Of the instances of a
    data centre one with the fastest link, its hub, forwards the notices of all."""


DEFAULT_DESCRIPTORS = 4_096
DESCRIPTORS_PER_TUNNEL = 2
TUNNEL_SHARE = 0.1
"""Part of the descriptors for peers' tunnels; the instance's own callers need the rest."""


@dataclass(frozen=True)
class TunnelSettings:
    """Listener for peers that have lost their paths to endpoints."""

    listen: Address
    descriptors: int = DEFAULT_DESCRIPTORS
    """File descriptors that the process may use."""

    @property
    def max_open(self) -> int:
        """Maximum number of open tunnels."""
        return max(1, round(self.descriptors * TUNNEL_SHARE) // DESCRIPTORS_PER_TUNNEL)


@dataclass(frozen=True)
class StopSettings:
    """Times of a graceful stop."""

    leave_ms: int = 2_600
    """Time during which new connections are still accepted: two health checks of the load
    balancer, a second apart, and the travel time of the last connection."""
    grace_ms: int = 8_000
    """Time from the stop signal until the process is killed."""
    reserve_ms: int = 500
    """Time before the end of the grace period at which open requests are aborted."""


@dataclass(frozen=True)
class SessionSettings:
    """Limits on sessions."""

    gap_ms: int = 5_000
    """Maximum time between two requests of one session."""


@dataclass(frozen=True)
class ReleaseSettings:
    """Limits on releases."""

    exposure_share: float = 0.15
    """Part of the requests of a release that a bad version may get."""


@dataclass(frozen=True)
class PlacementSettings:
    """How requests are placed at endpoints and models."""

    learns_over_fleet: bool = False
    """Whether instances tell each other how long answers take, and predict by it."""
    leaving_price_ms_per_kb: float | None = None
    """Waiting time of a caller that is worth as much as a kilobyte between data centres. Instances
    then decide which part of the requests leaves their data centre; None for a fixed price of each
    request."""


@dataclass(frozen=True)
class KnowledgeSettings:
    """Limits on what an instance may do by what it has read from the store."""

    max_age_ms: int = 2_000
    """Age up to which a caller may be refused because a route or a key is not known."""


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway."""

    instance: InstanceSettings
    callers: ListenSettings
    health: HealthSettings
    store: StoreSettings
    peers: PeersSettings | None = None
    """Listener for the other instances; None to share no state with them."""
    tunnels: TunnelSettings | None = None
    """Listener for peers that have lost their paths to endpoints; None to open no tunnels."""
    metrics: ListenSettings | None = None
    """Listener for metrics; None to serve none."""
    repeats: RetryLimits = field(default_factory=RetryLimits)
    stop: StopSettings = field(default_factory=StopSettings)
    sessions: SessionSettings = field(default_factory=SessionSettings)
    releases: ReleaseSettings = field(default_factory=ReleaseSettings)
    regions: dict[str, str] = field(default_factory=dict)
    """Region of each data centre, by name."""
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    knowledge: KnowledgeSettings = field(default_factory=KnowledgeSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    memory: MemorySettings = field(default_factory=MemorySettings)

    @property
    def descriptors(self) -> int:
        """File descriptors that the process may use."""
        return self.tunnels.descriptors if self.tunnels is not None else DEFAULT_DESCRIPTORS

    @property
    def max_caller_connections(self) -> int:
        """Maximum number of callers' connections."""
        return count_caller_connections(self.descriptors)

    @property
    def max_page_connections(self) -> int:
        """Maximum number of connections to the health check, and to the metrics."""
        return count_page_connections(self.descriptors)


def load(path: Path) -> GatewaySettings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The settings are invalid; lists every fault.
    """
    return parse(read_text(path))


def parse(text: str) -> GatewaySettings:
    """Parses and validates settings in TOML.

    Raises:
        SettingsError: The settings are invalid; lists every fault.
    """
    settings = structure(text, GatewaySettings)
    if faults := _check(settings):
        raise SettingsError(faults)
    return settings


def _check(settings: GatewaySettings) -> list[str]:
    """Returns the faults that the fields' types do not exclude."""
    numbers = [
        ("store.timeout_ms", settings.store.timeout_ms),
        ("repeats.window_ms", settings.repeats.window_ms),
        ("stop.grace_ms", settings.stop.grace_ms),
        ("sessions.gap_ms", settings.sessions.gap_ms),
        ("knowledge.max_age_ms", settings.knowledge.max_age_ms),
        ("memory.limit_mb", settings.memory.limit_mb),
    ]
    if settings.tunnels is not None:
        numbers.append(("tunnels.descriptors", settings.tunnels.descriptors))
    faults = [
        f"settings.{key} is {value}; write a number above 0" for key, value in numbers if value <= 0
    ]
    if settings.peers is not None and settings.peers.link_mbps < 0:
        faults.append(f"settings.peers.link_mbps is {settings.peers.link_mbps}; write 0 or more")
    if not 0 < settings.releases.exposure_share <= 1:
        share = settings.releases.exposure_share
        faults.append(f"settings.releases.exposure_share is {share}; write a number from 0 to 1")
    price = settings.placement.leaving_price_ms_per_kb
    if price is not None and price < 0:
        faults.append(
            f"settings.placement.leaving_price_ms_per_kb is {price}; write 0 or more, or nothing"
        )
    if settings.repeats.ratio < 0:
        faults.append(f"settings.repeats.ratio is {settings.repeats.ratio}; write 0 or more")
    if settings.stop.reserve_ms >= settings.stop.grace_ms:
        faults.append("settings.stop.reserve_ms is not under grace_ms; write a smaller number")
    if not settings.store.urls:
        faults.append("settings.store.urls is empty; name at least one address")
    if not settings.health.path.startswith("/"):
        faults.append(f"settings.health.path is {settings.health.path!r}; begin it with /")
    if settings.logs.level not in LEVELS_BY_NAME:
        faults.append(f"settings.logs.level is {settings.logs.level!r}; one of {[*LEVELS_BY_NAME]}")
    return faults
