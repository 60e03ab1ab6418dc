"""Settings of a router: TOML into frozen dataclasses, checked whole before anything starts."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import cattrs
from cattrs import transform_error

from mastickeel.addresses import Address
from mastickeel.errors import SettingsError
from mastickeel.logs import LEVELS_BY_NAME

SECRET_PREFIXES = ("env:", "file:")
BODY_LIMIT_BYTES = 4 * 1024 * 1024
SHA256_HEX_DIGITS = 64

T = TypeVar("T")


@dataclass(frozen=True)
class Secret:
    """Where a secret is kept: ``env:NAME`` or ``file:PATH``. Its value is never printed."""

    source: str

    def read(self) -> str:
        """Returns the secret.

        Raises:
            ValueError: When the variable or file does not exist.
        """
        kind, _, name = self.source.partition(":")
        if kind == "env":
            if name not in os.environ:
                raise ValueError(f"set the environment variable {name}")
            return os.environ[name]
        try:
            return Path(name).read_text().strip()
        except OSError as error:
            raise ValueError(f"make the file {name} readable ({error.strerror})") from error


@dataclass(frozen=True)
class TlsSettings:
    """Certificate and key of a listener."""

    certificate: Path
    key: Path


@dataclass(frozen=True)
class InstanceSettings:
    """Who this instance is and where it stands."""

    id: str
    data_centre: str
    region: str


@dataclass(frozen=True)
class CallersSettings:
    """The listener for callers."""

    listen: Address
    body_limit_bytes: int = BODY_LIMIT_BYTES
    tls: TlsSettings | None = None


@dataclass(frozen=True)
class AdminSettings:
    """The listener for operators."""

    listen: Address
    tls: TlsSettings | None = None


@dataclass(frozen=True)
class PeersSettings:
    """The listener for the other instances."""

    listen: Address
    key: Secret | None = None
    """The CURVE secret that all instances of the fleet share; None only on loopback."""
    other_key: Secret | None = None
    """The secret before or after it, accepted as well while keys are changed."""


@dataclass(frozen=True)
class StoreSettings:
    """The platform's key-value service."""

    urls: tuple[Address, ...]
    prefix: str = "/mastickeel"
    calls_per_second: float = 20.0
    """This instance's budget."""
    timeout_ms: int = 2_000


@dataclass(frozen=True)
class PlatformSettings:
    """The other services of the platform; each may be left out."""

    instances: Address | None = None
    ratings: Address | None = None
    weights: Address | None = None


@dataclass(frozen=True)
class MetricsSettings:
    """Where figures go."""

    statsd: Address | None = None
    prefix: str = "mastickeel"


@dataclass(frozen=True)
class LogSettings:
    """How much is logged."""

    level: str = "info"


@dataclass(frozen=True)
class PoolSettings:
    """What the endpoints of a pool check; there is no default, since a guess would be unsafe."""

    checks_fencing: bool
    """Whether they refuse an order that carries an old fencing number."""
    checks_orderer: bool
    """Whether they refuse an order from a process that holds no duty."""


@dataclass(frozen=True)
class OperatorSettings:
    """An operator that exists before any is configured."""

    id: str
    token_sha256: str
    role: str = "administrator"


@dataclass(frozen=True)
class ShutdownSettings:
    """How a stop goes."""

    leave_ms: int = 2_000
    """How long new work is still taken after the leaving mark is out."""
    drain_ms: int = 600_000
    """The longest that open requests may run on."""


@dataclass(frozen=True)
class Settings:
    """All settings of one router."""

    instance: InstanceSettings
    callers: CallersSettings
    admin: AdminSettings
    peers: PeersSettings
    store: StoreSettings
    pools: dict[str, PoolSettings]
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    operators: tuple[OperatorSettings, ...] = ()


def load(path: Path) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: The TOML file.

    Returns:
        The settings.

    Raises:
        SettingsError: When there are faults; it lists every one.
    """
    return parse(read_text(path))


def read_text(path: Path) -> str:
    """Reads a settings file.

    Raises:
        SettingsError: When it cannot be read as text.
    """
    try:
        return path.read_text()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}; name a readable file"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path}: not UTF-8 text; write it again"]) from error


def parse(text: str) -> Settings:
    """Checks settings written in TOML.

    Args:
        text: The document.

    Returns:
        The settings.

    Raises:
        SettingsError: When there are faults; it lists every one.
    """
    settings = structure(text, Settings)
    if faults := _check(settings):
        raise SettingsError(faults)
    return settings


def structure(text: str, settings_type: type[T]) -> T:
    """Reads TOML into a settings class; the types of its fields are checked, not their ranges.

    Args:
        text: The document.
        settings_type: A frozen dataclass.

    Returns:
        An instance of it.

    Raises:
        SettingsError: When there are faults; it lists every one.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}; correct the line"]) from error
    try:
        return _CONVERTER.structure(document, settings_type)
    except Exception as error:
        faults = transform_error(error, path="settings", format_exception=_describe)
        raise SettingsError(faults) from error


def _describe(error: BaseException, kind: type | None) -> str:
    """Says what is wrong with one key and what to write instead."""
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing; add it"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown key {names}; remove it or correct its name"
    return str(error) or repr(error)


def _make_converter() -> cattrs.Converter:
    """Makes the converter, which is strict about types and unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Address, lambda value, _: _address(value))
    converter.register_structure_hook(Secret, lambda value, _: _secret(value))
    converter.register_structure_hook(Path, lambda value, _: Path(_exact(value, str)))
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _exact)
    converter.register_structure_hook(float, lambda value, _: float(_number(value)))
    return converter


def _exact(value: Any, kind: type) -> Any:
    """Accepts a value of just this type."""
    if type(value) is not kind:
        raise ValueError(f"{value!r} is a {type(value).__name__}; write a {kind.__name__}")
    return value


def _number(value: Any) -> float:
    """Accepts a whole or decimal number."""
    if type(value) not in (int, float):
        raise ValueError(f"{value!r} is no number; write one, as in 20.0")
    return float(value)


def _address(value: Any) -> Address:
    """Accepts ``host:port``, with ``http://`` before it or not."""
    return Address.parse(_exact(value, str).removeprefix("http://"))


def _secret(value: Any) -> Secret:
    """Accepts the place of a secret, never the secret."""
    if not str(value).startswith(SECRET_PREFIXES):
        raise ValueError("a secret is not written here; write env:NAME or file:PATH")
    return Secret(value)


_CONVERTER = _make_converter()


def _check(settings: Settings) -> list[str]:
    """Returns the faults that no type shows."""
    faults = []
    checks = [
        ("callers.body_limit_bytes", settings.callers.body_limit_bytes, "a number above 0"),
        ("store.calls_per_second", settings.store.calls_per_second, "a number above 0"),
        ("store.timeout_ms", settings.store.timeout_ms, "a number above 0"),
        ("shutdown.drain_ms", settings.shutdown.drain_ms, "a number above 0"),
    ]
    faults += [
        f"settings.{key} is {value}; write {remedy}" for key, value, remedy in checks if value <= 0
    ]
    if not settings.store.urls:
        faults.append("settings.store.urls is empty; name at least one address")
    if not settings.store.prefix.startswith("/"):
        faults.append(f"settings.store.prefix is {settings.store.prefix!r}; begin it with /")
    if settings.logs.level not in LEVELS_BY_NAME:
        faults.append(f"settings.logs.level is {settings.logs.level!r}; one of {[*LEVELS_BY_NAME]}")
    if not settings.pools:
        faults.append("settings.pools is empty; add [pools.NAME] with checks_fencing")
    faults += _check_secrets(settings)
    faults += _check_operators(settings)
    return faults


def _check_secrets(settings: Settings) -> list[str]:
    """Returns the faults of the peers' key."""
    key = settings.peers.key
    if key is None:
        if settings.peers.listen.host.startswith("127."):
            return []
        return ["settings.peers.key is missing; name it, as only loopback may do without"]
    faults = []
    for name, secret in (("key", key), ("other_key", settings.peers.other_key)):
        if secret is None:
            continue
        try:
            secret.read()
        except ValueError as error:
            faults.append(f"settings.peers.{name} is {secret.source!r}; {error}")
    return faults


def _check_operators(settings: Settings) -> list[str]:
    """Returns the faults of the operators."""
    faults = []
    for index, operator in enumerate(settings.operators):
        key = f"settings.operators[{index}]"
        if len(operator.token_sha256) != SHA256_HEX_DIGITS:
            faults.append(
                f"{key}.token_sha256 is no SHA-256; write its {SHA256_HEX_DIGITS} hex digits"
            )
        if operator.role not in ("viewer", "operator", "administrator"):
            faults.append(f"{key}.role is {operator.role!r}; viewer, operator or administrator")
    return faults
