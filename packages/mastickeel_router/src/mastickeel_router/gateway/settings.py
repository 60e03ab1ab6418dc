"""Settings of a gateway: TOML into frozen dataclasses, checked whole before anything starts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.addresses import Address  # noqa: TC001 - cattrs resolves it at run time
from mastickeel.errors import SettingsError
from mastickeel.logs import LEVELS_BY_NAME
from mastickeel.settings import InstanceSettings, LogSettings, StoreSettings, read_text, structure
from mastickeel_router.relay.budget import RetryLimits

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True)
class ListenSettings:
    """A listener."""

    listen: Address


@dataclass(frozen=True)
class HealthSettings:
    """Where the load balancer asks whether this instance takes new connections."""

    listen: Address
    path: str = "/ready"


@dataclass(frozen=True)
class PeersSettings:
    """The listener for the other instances, on the fleet's own network."""

    listen: Address


@dataclass(frozen=True)
class StopSettings:
    """How a stop goes."""

    leave_ms: int = 2_600
    """How long new connections are still taken: two questions of the load balancer, a second
    apart, and the way of the last connection."""
    grace_ms: int = 8_000
    """After which the process is killed."""
    reserve_ms: int = 500
    """How long before that the open requests are given up."""


@dataclass(frozen=True)
class SessionSettings:
    """What holds a session together."""

    gap_ms: int = 5_000
    """The longest time between two requests of one session."""


@dataclass(frozen=True)
class GatewaySettings:
    """All settings of one gateway."""

    instance: InstanceSettings
    callers: ListenSettings
    health: HealthSettings
    store: StoreSettings
    peers: PeersSettings | None = None
    """Where the other instances reach this one; None to share nothing."""
    metrics: ListenSettings | None = None
    """Where counters and histograms are served; None to serve none."""
    repeats: RetryLimits = field(default_factory=RetryLimits)
    stop: StopSettings = field(default_factory=StopSettings)
    sessions: SessionSettings = field(default_factory=SessionSettings)
    logs: LogSettings = field(default_factory=LogSettings)


def load(path: Path) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: When there are faults; it lists every one.
    """
    return parse(read_text(path))


def parse(text: str) -> GatewaySettings:
    """Checks settings written in TOML.

    Raises:
        SettingsError: When there are faults; it lists every one.
    """
    settings = structure(text, GatewaySettings)
    if faults := _check(settings):
        raise SettingsError(faults)
    return settings


def _check(settings: GatewaySettings) -> list[str]:
    """Returns the faults that no type shows."""
    numbers = [
        ("store.timeout_ms", settings.store.timeout_ms),
        ("repeats.window_ms", settings.repeats.window_ms),
        ("stop.grace_ms", settings.stop.grace_ms),
        ("sessions.gap_ms", settings.sessions.gap_ms),
    ]
    faults = [
        f"settings.{key} is {value}; write a number above 0" for key, value in numbers if value <= 0
    ]
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
