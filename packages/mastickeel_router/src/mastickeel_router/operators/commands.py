"""Plans the configuration change that a block of commands makes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mastickeel.errors import BadRequestError
from mastickeel.model import CallRule, Pool, Role, RolloutState
from mastickeel_router.operators._draft import Draft
from mastickeel_router.operators._fields import alter_object, build_object
from mastickeel_router.operators._validate import check_configuration
from mastickeel_router.operators.statements import (
    REPLACE_ROSTER,
    AddEndpoint,
    AddRule,
    Alter,
    Block,
    Command,
    Create,
    Drop,
    MarkEndpoint,
    RemoveEndpoint,
    RemoveRule,
    RollOut,
    SetKey,
    SetPermission,
    SetVersionState,
    SteerRollout,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.model import Configuration
    from mastickeel_router.operators.statements import Position

HASH_DIGITS = 64
MODEL_SEPARATOR = "@"
ENDED_STATES = (RolloutState.DONE, RolloutState.UNDONE)


def plan_commands(block: Block, base: Configuration, now_ms: int) -> Draft:
    """Applies a block of commands to a draft and checks the result.

    Args:
        block: The commands.
        base: The configuration that the commands apply to.
        now_ms: Calendar time, recorded as the start of a rollout's stage.

    Returns:
        The draft with all changes of the block.

    Raises:
        BadRequestError: When a command cannot be carried out.
        NotFoundError: When a command names an object that does not exist.
        InvalidChangeError: When the resulting configuration would be inconsistent.
    """
    draft = Draft(base)
    for command in block.commands:
        _PLANNERS_BY_TYPE[type(command)](draft, command, now_ms)
    check_configuration(base.apply(draft.to_delta(), base.revision + 1))
    return draft


def required_role(block: Block) -> Role:
    """Returns the lowest role that may run the commands and actions of a block."""
    for command in block.commands:
        if isinstance(command, Create | Alter | Drop) and command.kind == "operator":
            return Role.ADMINISTRATOR
    if any(action.name == REPLACE_ROSTER for action in block.actions):
        return Role.ADMINISTRATOR
    return Role.OPERATOR


def _plan_create(draft: Draft, command: Create, now_ms: int) -> None:
    if command.kind == "rollout":
        raise _command_error(
            command.position, "start a rollout with 'roll out NEW over OLD in stages ...'"
        )
    preset: dict[str, Any] = {}
    if command.kind == "version":
        preset["model"] = command.id.partition(MODEL_SEPARATOR)[0]
    item = build_object(command.kind, command.id, command.assignments, **preset)
    draft.create(command.kind, item, command.position)


def _plan_alter(draft: Draft, command: Alter, now_ms: int) -> None:
    item = draft.get(command.kind, command.id, command.position)
    draft.put(command.kind, alter_object(command.kind, item, command.assignments))


def _plan_drop(draft: Draft, command: Drop, now_ms: int) -> None:
    item = draft.get(command.kind, command.id, command.position)
    if command.kind == "rollout" and item.state not in ENDED_STATES:
        raise _command_error(command.position, f"rollout {item.id} is in progress; undo it first")
    draft.drop(command.kind, command.id, command.position)


def _plan_set_permission(draft: Draft, command: SetPermission, now_ms: int) -> None:
    account = draft.get("account", command.account_id, command.position)
    field = "services" if command.target_kind == "service" else "allowed"
    permitted = list(getattr(account, field))
    if command.allowed and command.id not in permitted:
        permitted.append(command.id)
    if not command.allowed:
        if command.id not in permitted:
            name = f"{command.target_kind} {command.id}"
            raise _command_error(
                command.position, f"account {account.id} is not allowed {name}; nothing to deny"
            )
        permitted.remove(command.id)
    draft.put("account", replace(account, **{field: tuple(permitted)}))


def _plan_set_version_state(draft: Draft, command: SetVersionState, now_ms: int) -> None:
    version = draft.get("version", command.version_id, command.position)
    draft.put("version", replace(version, state=command.state))


def _plan_add_endpoint(draft: Draft, command: AddEndpoint, now_ms: int) -> None:
    pool: Pool = draft.get("pool", command.pool_id, command.position)
    if any(endpoint.id == command.id for endpoint in pool.endpoints):
        raise _command_error(
            command.position, f"endpoint {command.id} is in pool {pool.id} already"
        )
    endpoint = build_object("endpoint", command.id, command.assignments)
    draft.put("pool", replace(pool, endpoints=(*pool.endpoints, endpoint)))


def _plan_remove_endpoint(draft: Draft, command: RemoveEndpoint, now_ms: int) -> None:
    pool: Pool = draft.get("pool", command.pool_id, command.position)
    _require_endpoint(pool, command.id, command.position)
    remaining = tuple(endpoint for endpoint in pool.endpoints if endpoint.id != command.id)
    draft.put("pool", replace(pool, endpoints=remaining))


def _plan_mark_endpoint(draft: Draft, command: MarkEndpoint, now_ms: int) -> None:
    pool: Pool = draft.get("pool", command.pool_id, command.position)
    _require_endpoint(pool, command.id, command.position)
    updated = tuple(
        replace(endpoint, state=command.state) if endpoint.id == command.id else endpoint
        for endpoint in pool.endpoints
    )
    draft.put("pool", replace(pool, endpoints=updated))


def _plan_add_rule(draft: Draft, command: AddRule, now_ms: int) -> None:
    service = draft.get("service", command.service_id, command.position)
    kept = tuple(
        rule for rule in service.rules if (rule.method, rule.path) != (command.method, command.path)
    )
    rule = CallRule(command.method, command.path, command.repeatable)
    draft.put("service", replace(service, rules=(*kept, rule)))


def _plan_remove_rule(draft: Draft, command: RemoveRule, now_ms: int) -> None:
    service = draft.get("service", command.service_id, command.position)
    kept = tuple(
        rule for rule in service.rules if (rule.method, rule.path) != (command.method, command.path)
    )
    if len(kept) == len(service.rules):
        raise _command_error(command.position, f"service {service.id} has no such rule")
    draft.put("service", replace(service, rules=kept))


def _plan_set_key(draft: Draft, command: SetKey, now_ms: int) -> None:
    account = draft.get("account", command.account_id, command.position)
    if len(command.key_hash) != HASH_DIGITS:
        raise _command_error(
            command.position, "write the key as the 64 hex digits of its SHA-256 digest"
        )
    others = tuple(digest for digest in account.key_hashes if digest != command.key_hash)
    if not command.present and len(others) == len(account.key_hashes):
        raise _command_error(command.position, f"account {account.id} has no such key")
    hashes = (*others, command.key_hash) if command.present else others
    draft.put("account", replace(account, key_hashes=hashes))


def _plan_roll_out(draft: Draft, command: RollOut, now_ms: int) -> None:
    version = draft.get("version", command.new, command.position)
    rollout = build_object(
        "rollout",
        command.id,
        command.assignments,
        model=version.model,
        old=command.old,
        new=command.new,
    )
    rollout = replace(rollout, stages=command.stages, guards=command.guards, stage_since_ms=now_ms)
    previous = draft.find("rollout", command.id)
    if previous is not None and previous.state not in ENDED_STATES:
        raise _command_error(command.position, f"rollout {command.id} is in progress")
    draft.put("rollout", rollout)


def _plan_steer_rollout(draft: Draft, command: SteerRollout, now_ms: int) -> None:
    rollout = draft.get("rollout", command.id, command.position)
    if rollout.state in ENDED_STATES:
        raise _command_error(
            command.position, f"rollout {command.id} has ended ({rollout.state.value})"
        )
    states = {
        "pause": RolloutState.PAUSED,
        "resume": RolloutState.RUNNING,
        "undo": RolloutState.UNDONE,
    }
    since_ms = now_ms if command.action == "resume" else rollout.stage_since_ms
    updated = replace(rollout, state=states[command.action], stage_since_ms=since_ms)
    draft.put("rollout", replace(updated, reason=f"{command.action} by an operator"))


def _require_endpoint(pool: Pool, endpoint_id: str, position: Position) -> None:
    """Refuses a command that names an endpoint outside its pool."""
    if all(endpoint.id != endpoint_id for endpoint in pool.endpoints):
        raise _command_error(position, f"pool {pool.id} has no endpoint {endpoint_id}")


def _command_error(position: Position, detail: str) -> BadRequestError:
    """Returns the error for a command that cannot be carried out."""
    return BadRequestError(
        f"{position}: {detail}.", remedy="Correct the command; nothing was changed."
    )


_PLANNERS_BY_TYPE: dict[type[Command], Callable[[Draft, Any, int], None]] = {
    Create: _plan_create,
    Alter: _plan_alter,
    Drop: _plan_drop,
    SetPermission: _plan_set_permission,
    SetVersionState: _plan_set_version_state,
    AddEndpoint: _plan_add_endpoint,
    RemoveEndpoint: _plan_remove_endpoint,
    MarkEndpoint: _plan_mark_endpoint,
    AddRule: _plan_add_rule,
    RemoveRule: _plan_remove_rule,
    SetKey: _plan_set_key,
    RollOut: _plan_roll_out,
    SteerRollout: _plan_steer_rollout,
}
