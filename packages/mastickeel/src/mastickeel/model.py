"""The configuration that operators set: its objects, and how changes apply to them."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from enum import StrEnum
from typing import Any

MICROS_PER_UNIT = 1_000_000
"""Micros in one unit of the deployment's currency; all amounts of money are in micros."""
TOKENS_PER_PRICE = 1_000
"""Number of tokens that a price is for."""
DAY_MS = 86_400_000


class VersionState(StrEnum):
    """Whether a version may receive requests."""

    LIVE = "live"
    WITHDRAWN = "withdrawn"


class EndpointState(StrEnum):
    """Whether an endpoint may receive new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class PoolKind(StrEnum):
    """The kind of endpoints in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class RolloutState(StrEnum):
    """The state of a rollout."""

    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"
    DONE = "done"
    UNDONE = "undone"


class Role(StrEnum):
    """The permissions of an operator; each role includes the roles before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"


@dataclass(frozen=True)
class Account:
    """A client account."""

    id: str
    key_hashes: tuple[str, ...] = ()
    """SHA-256 of each API key, in hexadecimal."""
    allowed: tuple[str, ...] = ()
    """Allowed models (with all their versions) and versions: ``model`` or ``model@version``."""
    services: tuple[str, ...] = ()
    """Plain services that the account may call."""
    quality_target: float = 0.9
    """The share of answers that must pass their rating, from 0 to 1."""
    latency_weight: int = 0
    """The cost that the account assigns to a second of waiting, in micros."""
    cost_ceiling: int = 0
    """The highest cost in one period, in micros; 0 for no ceiling."""
    ceiling_period_ms: int = DAY_MS
    """The length of the period of the cost ceiling, in milliseconds."""
    rate_per_second: float = 0.0
    """Highest rate of requests over the whole fleet, per second; 0 for no limit."""
    concurrency: int = 0
    """Highest number of concurrent requests over the whole fleet; 0 for no limit."""
    weight: int = 1
    """The account's relative share when a queue is full."""
    priority: int = 0
    """The priority passed to engines; lower values run earlier."""


@dataclass(frozen=True)
class Version:
    """A version of a model."""

    id: str
    """``model@version``, which is the name used by engines."""
    model: str
    pool: str
    state: VersionState = VersionState.LIVE
    price_in: int = 0
    """Price of TOKENS_PER_PRICE prompt tokens, in micros."""
    price_out: int = 0
    """Price of TOKENS_PER_PRICE generated tokens, in micros."""

    def compute_cost(self, prompt_tokens: int, completion_tokens: int) -> int:
        """Returns the cost of a request with these numbers of tokens, in micros, rounded up."""
        total = prompt_tokens * self.price_in + completion_tokens * self.price_out
        return -(-total // TOKENS_PER_PRICE)


@dataclass(frozen=True)
class Endpoint:
    """A process that runs requests."""

    id: str
    address: str
    """``host:port``."""
    data_centre: str
    state: EndpointState = EndpointState.LIVE
    events_address: str = ""
    """``host:port`` on which an engine publishes its cache events; empty for none."""
    replay_address: str = ""
    """``host:port`` on which the engine replays its cache events; empty for none."""


@dataclass(frozen=True)
class Pool:
    """Endpoints that serve the same models or the same service."""

    id: str
    kind: PoolKind = PoolKind.ENGINE
    endpoints: tuple[Endpoint, ...] = ()
    capacity: int = 8
    """Number of requests that one endpoint runs concurrently."""


@dataclass(frozen=True)
class CallRule:
    """A rule on whether calls of a service may be repeated; the first matching rule applies."""

    method: str
    """An HTTP method, or ``*``."""
    path: str
    """A path pattern with shell wildcards, as in ``/berths/*/energise``."""
    repeatable: bool


@dataclass(frozen=True)
class Service:
    """A plain service that accounts reach through the router."""

    id: str
    pool: str
    rules: tuple[CallRule, ...] = ()


@dataclass(frozen=True)
class Stage:
    """A step of a rollout."""

    share: float
    """The share of the model's new sessions that use the new version, from 0 to 1."""
    minimum_ms: int = 0
    """The shortest time in the stage before the next stage, in milliseconds."""
    minimum_answers: int = 100
    """The minimum number of judged answers of the new version before the next stage."""


@dataclass(frozen=True)
class Guard:
    """A condition that halts a rollout."""

    metric: str
    """``failures``, ``latency``, ``ratings`` or ``cost``."""
    limit: float
    """The amount by which the new version may be worse than the old version."""


@dataclass(frozen=True)
class Rollout:
    """A plan that moves a model from one version to another."""

    id: str
    model: str
    old: str
    new: str
    stages: tuple[Stage, ...] = ()
    guards: tuple[Guard, ...] = ()
    budget: int = 0
    """Requests that the new version may answer before the evidence counts; 0 for the default."""
    state: RolloutState = RolloutState.RUNNING
    stage: int = 0
    """Index of the current stage."""
    stage_since_ms: int = 0
    """Calendar time at which the current stage began, in milliseconds."""
    reason: str = ""
    """The reason why the rollout was paused, halted or undone."""
    withdraw: bool = True
    """Whether a guard that halts the rollout also withdraws the new version.

    Withdrawing the version moves its sessions.
    """


@dataclass(frozen=True)
class Operator:
    """A person or program that may use the administration API."""

    id: str
    token_hash: str
    """SHA-256 of the token, in hexadecimal."""
    role: Role = Role.VIEWER


Item = Account | Version | Pool | Service | Rollout | Operator
"""Any object of the configuration."""


@dataclass(frozen=True)
class Reference:
    """A reference to one object of the configuration."""

    kind: str
    """The name of the object's collection in Delta: ``accounts``, ``versions`` and so on."""
    id: str


@dataclass(frozen=True)
class Delta:
    """The content of one change: objects to store and objects to drop; applied atomically.

    A stored object replaces the earlier object with its id as a whole.
    """

    accounts: tuple[Account, ...] = ()
    versions: tuple[Version, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    operators: tuple[Operator, ...] = ()
    dropped: tuple[Reference, ...] = ()


COLLECTION_NAMES = tuple(entry.name for entry in fields(Delta) if entry.name != "dropped")
"""The names of the collections of a configuration."""


@dataclass(frozen=True)
class Configuration:
    """All objects of the configuration as of one revision."""

    revision: int = 0
    accounts_by_id: dict[str, Account] = field(default_factory=dict)
    versions_by_id: dict[str, Version] = field(default_factory=dict)
    pools_by_id: dict[str, Pool] = field(default_factory=dict)
    services_by_id: dict[str, Service] = field(default_factory=dict)
    rollouts_by_id: dict[str, Rollout] = field(default_factory=dict)
    operators_by_id: dict[str, Operator] = field(default_factory=dict)

    def apply(self, delta: Delta, revision: int) -> Configuration:
        """Returns the configuration after a change.

        Args:
            delta: The content of the change.
            revision: The revision that the change makes.

        Returns:
            A new configuration; the current object is not modified.
        """
        changed: dict[str, Any] = {"revision": revision}
        for kind in COLLECTION_NAMES:
            dropped = [entry.id for entry in delta.dropped if entry.kind == kind]
            put = getattr(delta, kind)
            if put or dropped:
                changed[f"{kind}_by_id"] = self._apply_to_collection(kind, put, dropped)
        return replace(self, **changed)

    def _apply_to_collection(
        self, kind: str, put: tuple[Item, ...], dropped: list[str]
    ) -> dict[str, Item]:
        """Returns a collection after objects are stored and dropped."""
        items_by_id: dict[str, Item] = dict(getattr(self, f"{kind}_by_id"))
        for item_id in dropped:
            items_by_id.pop(item_id, None)
        for item in put:
            items_by_id[item.id] = item
        return items_by_id

    def allows(self, account_id: str, version_id: str) -> bool:
        """Returns whether requests of an account may run on a version now.

        Args:
            account_id: The client account.
            version_id: The version, as ``model@version``.

        Returns:
            True when the account exists and allows the version, and the version is live.
        """
        account = self.accounts_by_id.get(account_id)
        version = self.versions_by_id.get(version_id)
        if account is None or version is None or version.state is not VersionState.LIVE:
            return False
        return version.id in account.allowed or version.model in account.allowed

    def allows_service(self, account_id: str, service_id: str) -> bool:
        """Returns whether an account may call a plain service."""
        account = self.accounts_by_id.get(account_id)
        return (
            account is not None
            and service_id in account.services
            and service_id in self.services_by_id
        )


@dataclass(frozen=True)
class View:
    """The configuration in force, and the configuration that a staged change would make.

    While a change is staged, a request may run only if both configurations permit it, so that the
    guarantees hold in whatever order instances learn of the commit.
    """

    committed: Configuration
    staged: Configuration | None = None

    def allows(self, account_id: str, version_id: str) -> bool:
        """Returns whether requests of an account may run on a version now."""
        return self.committed.allows(account_id, version_id) and (
            self.staged is None or self.staged.allows(account_id, version_id)
        )

    def allows_service(self, account_id: str, service_id: str) -> bool:
        """Returns whether an account may call a plain service now."""
        return self.committed.allows_service(account_id, service_id) and (
            self.staged is None or self.staged.allows_service(account_id, service_id)
        )

    def is_repeatable(self, service_id: str, method: str, path: str) -> bool:
        """Returns whether a call may be repeated; False for calls that match no rule."""
        configurations = [self.committed, *([self.staged] if self.staged else [])]
        return all(_is_repeatable(entry, service_id, method, path) for entry in configurations)


def _is_repeatable(configuration: Configuration, service_id: str, method: str, path: str) -> bool:
    """Returns the result of the first rule that matches a call; False without a match."""
    from fnmatch import fnmatchcase

    service = configuration.services_by_id.get(service_id)
    for rule in service.rules if service else ():
        if rule.method in ("*", method) and fnmatchcase(path, rule.path):
            return rule.repeatable
    return False
