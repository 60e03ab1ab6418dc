"""Reads settings from TOML into frozen dataclasses; the settings that all programs share."""

from __future__ import annotations

import os
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import cattrs
from cattrs import transform_error

from mastickeel.addresses import Address
from mastickeel.errors import SettingsError

SECRET_PREFIXES = ("env:", "file:")
MILLISECONDS_BY_UNIT = {"ms": 1, "s": 1_000, "min": 60_000}
BYTES_PER_MB = 1_000_000
PROCESS_MB = 50
"""Memory that a process needs without callers."""
HELD_SHARE = 0.55
"""Part of the remaining memory for requests and answers; the rest is for what the allocator keeps
and for copies that are made in passing."""
MIN_HELD_SHARE = 0.15
"""Part of the memory for requests and answers on a machine that has little more than the process
needs."""
_DURATION = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|min)")


T = TypeVar("T")


@dataclass(frozen=True)
class Secret:
    """The source of a secret: ``env:NAME`` or ``file:PATH``; the value is never printed."""

    source: str

    def read(self) -> str:
        """Returns the value of the secret.

        Raises:
            ValueError: When the variable is not set or the file is not readable.
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
class InstanceSettings:
    """Identity and location of this instance."""

    id: str
    data_centre: str
    region: str


@dataclass(frozen=True)
class StoreSettings:
    """The platform's key-value service."""

    urls: tuple[Address, ...]
    prefix: str = "/mastickeel"
    calls_per_second: float = 20.0
    """The instance's budget of calls per second."""
    timeout_ms: int = 2_000


@dataclass(frozen=True)
class LogSettings:
    """Settings of the logs."""

    level: str = "info"


@dataclass(frozen=True)
class MemorySettings:
    """Memory of the instance's machine."""

    limit_mb: int = 128
    """Memory that the process may use."""

    @property
    def held_bytes(self) -> int:
        """Maximum size of all that callers and endpoints make the process hold together."""
        free_mb = (self.limit_mb - PROCESS_MB) * HELD_SHARE
        return round(max(free_mb, self.limit_mb * MIN_HELD_SHARE) * BYTES_PER_MB)


def read_text(path: Path) -> str:
    """Reads a settings file.

    Raises:
        SettingsError: When the file cannot be read as UTF-8 text.
    """
    try:
        return path.read_text()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}; name a readable file"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path}: not UTF-8 text; write it again"]) from error


def structure(text: str, settings_type: type[T]) -> T:
    """Converts TOML to a settings class, checking the types of its fields but not their ranges.

    Keys that end with ``_ms`` hold whole milliseconds, or a text with a unit such as ``"8.5 s"``.

    Args:
        text: The TOML document.
        settings_type: A frozen dataclass.

    Returns:
        An instance of the dataclass.

    Raises:
        SettingsError: When there are faults; the error lists every fault.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}; correct the line"]) from error
    try:
        return _CONVERTER.structure(_convert_durations(document), settings_type)
    except Exception as error:
        faults = transform_error(error, path="settings", format_exception=_describe_fault)
        raise SettingsError(faults) from error


def _convert_durations(value: Any, key: str = "") -> Any:
    """Returns a TOML value with the durations in its ``_ms`` keys converted to milliseconds."""
    if isinstance(value, dict):
        return {name: _convert_durations(inner, name) for name, inner in value.items()}
    if isinstance(value, list):
        return [_convert_durations(inner) for inner in value]
    if isinstance(value, str) and key.endswith("_ms"):
        match = _DURATION.fullmatch(value)
        return round(float(match[1]) * MILLISECONDS_BY_UNIT[match[2]]) if match else value
    return value


def _describe_fault(error: BaseException, kind: type | None) -> str:
    """Returns the text of a fault of one key, with its remedy."""
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing; add it"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown key {names}; remove it or correct its name"
    return str(error) or repr(error)


def _make_converter() -> cattrs.Converter:
    """Creates a converter that rejects values of other types and unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Address, lambda value, _: _parse_address(value))
    converter.register_structure_hook(Secret, lambda value, _: _parse_secret(value))
    converter.register_structure_hook(Path, lambda value, _: Path(_require_type(value, str)))
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _require_type)
    converter.register_structure_hook(float, lambda value, _: float(_parse_number(value)))
    return converter


def _require_type(value: Any, kind: type) -> Any:
    """Returns a value of exactly this type, or raises ValueError."""
    if type(value) is not kind:
        raise ValueError(f"{value!r} is a {type(value).__name__}; write a {kind.__name__}")
    return value


def _parse_number(value: Any) -> float:
    """Returns an integer or float as a float, or raises ValueError."""
    if type(value) not in (int, float):
        raise ValueError(f"{value!r} is not a number; write one, as in 20.0")
    return float(value)


def _parse_address(value: Any) -> Address:
    """Parses ``host:port``, with an optional ``http://`` prefix."""
    return Address.parse(_require_type(value, str).removeprefix("http://"))


def _parse_secret(value: Any) -> Secret:
    """Parses the source of a secret; rejects any other text, which may be the secret itself."""
    if not str(value).startswith(SECRET_PREFIXES):
        raise ValueError("a secret is not written here; write env:NAME or file:PATH")
    return Secret(value)


_CONVERTER = _make_converter()
