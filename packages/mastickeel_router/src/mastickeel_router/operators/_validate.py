"""Checks a configuration for consistency before it is proposed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.errors import MastickeelError
from mastickeel.model import PoolKind, RolloutState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mastickeel.model import Configuration

GUARD_METRICS = ("failures", "latency", "ratings", "cost")


class InvalidChangeError(MastickeelError):
    """Raised when a change would make the configuration inconsistent; lists every fault."""

    code = "invalid_change"
    status = 422
    title = "The change would make the configuration inconsistent."
    remedy = "Correct every listed fault in the same block; nothing was changed."


def check_configuration(configuration: Configuration) -> None:
    """Refuses a configuration with a reference to a missing object or an invalid value.

    Args:
        configuration: The configuration as the change would leave it.

    Raises:
        InvalidChangeError: When there is a fault; the detail has one line for each.
    """
    checks: tuple[Callable[[Configuration], Iterator[str]], ...] = (
        _check_accounts,
        _check_versions,
        _check_pools,
        _check_services,
        _check_rollouts,
    )
    if faults := [fault for check in checks for fault in check(configuration)]:
        raise InvalidChangeError("\n".join(faults))


def _check_accounts(configuration: Configuration) -> Iterator[str]:
    models = {version.model for version in configuration.versions_by_id.values()}
    owners_by_hash: dict[str, str] = {}
    for account in configuration.accounts_by_id.values():
        name = f"account {account.id}"
        for allowed in account.allowed:
            if allowed not in models and allowed not in configuration.versions_by_id:
                yield f"{name} allows {allowed!r}, which is not a model or version; deny it first"
        for service in account.services:
            if service not in configuration.services_by_id:
                yield f"{name} allows service {service!r}, which does not exist; deny it first"
        for key_hash in account.key_hashes:
            if (owner := owners_by_hash.setdefault(key_hash, account.id)) != account.id:
                yield f"{name} has a key that belongs to account {owner}; create another key"
        if not 0 <= account.quality_target <= 1:
            yield f"{name} has quality_target {account.quality_target}; write a share such as 95%"
        if account.weight < 1:
            yield f"{name} has weight {account.weight}; write 1 or more"
        if account.ceiling_period_ms < 1:
            yield f"{name} has ceiling_period_ms {account.ceiling_period_ms}; set one such as 1d"
        for field in ("cost_ceiling", "rate_per_second", "concurrency", "latency_weight"):
            if getattr(account, field) < 0:
                yield f"{name} has {field} {getattr(account, field)}; write 0 or more"


def _check_versions(configuration: Configuration) -> Iterator[str]:
    for version in configuration.versions_by_id.values():
        pool = configuration.pools_by_id.get(version.pool)
        if pool is None:
            yield f"version {version.id} is in pool {version.pool!r}, which does not exist"
        elif pool.kind is not PoolKind.ENGINE:
            yield f"version {version.id} is in pool {pool.id}, which is not of kind engine"
        if version.price_in < 0 or version.price_out < 0:
            yield f"version {version.id} has a price below 0"
        if not version.id.startswith(f"{version.model}@"):
            yield f"version {version.id} must have an id that begins with {version.model}@"


def _check_pools(configuration: Configuration) -> Iterator[str]:
    pools_by_endpoint: dict[str, str] = {}
    for pool in configuration.pools_by_id.values():
        if pool.capacity < 1:
            yield f"pool {pool.id} has capacity {pool.capacity}; write 1 or more"
        for endpoint in pool.endpoints:
            if (other := pools_by_endpoint.setdefault(endpoint.id, pool.id)) != pool.id:
                yield f"endpoint {endpoint.id} is in two pools, {other} and {pool.id}"
            try:
                Address.parse(endpoint.address)
            except ValueError as error:
                yield f"endpoint {endpoint.id}: {error}"


def _check_services(configuration: Configuration) -> Iterator[str]:
    for service in configuration.services_by_id.values():
        pool = configuration.pools_by_id.get(service.pool)
        if pool is None:
            yield f"service {service.id} is in pool {service.pool!r}, which does not exist"
        elif pool.kind is not PoolKind.SERVICE:
            yield f"service {service.id} is in pool {pool.id}, which is not of kind service"


def _check_rollouts(configuration: Configuration) -> Iterator[str]:
    unfinished_by_model: dict[str, str] = {}
    for rollout in configuration.rollouts_by_id.values():
        if rollout.state in (RolloutState.DONE, RolloutState.UNDONE):
            continue
        name = f"rollout {rollout.id}"
        for version_id in (rollout.old, rollout.new):
            version = configuration.versions_by_id.get(version_id)
            if version is None or version.model != rollout.model:
                yield f"{name}: {version_id!r} is not a version of {rollout.model}"
        if (other := unfinished_by_model.setdefault(rollout.model, rollout.id)) != rollout.id:
            yield f"{name}: {other} is in progress for {rollout.model}; end it first"
        shares = [stage.share for stage in rollout.stages]
        if not shares or shares != sorted(shares) or not 0 < shares[0] <= shares[-1] <= 1:
            yield f"{name}: the stages must be shares above 0 and up to 100%, in rising order"
        for guard in rollout.guards:
            if guard.metric not in GUARD_METRICS:
                yield f"{name}: {guard.metric!r} is no guard; use one of {', '.join(GUARD_METRICS)}"
