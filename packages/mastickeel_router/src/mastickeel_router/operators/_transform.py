"""Transforms lark's parse tree into statements."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from lark import Token, Transformer, v_args

from mastickeel.model import EndpointState, Guard, Stage, VersionState
from mastickeel_router.operators.statements import (
    REPLACE_ROSTER,
    Action,
    AddEndpoint,
    AddRule,
    Alter,
    Assignment,
    AtRevision,
    Condition,
    Create,
    Drop,
    DryRun,
    Explain,
    MarkEndpoint,
    Position,
    RemoveEndpoint,
    RemoveRule,
    RollOut,
    SetKey,
    SetPermission,
    SetVersionState,
    Show,
    SteerRollout,
)

if TYPE_CHECKING:
    from lark.tree import Meta

    from mastickeel_router.operators.statements import Statement, Value

MILLISECONDS_BY_SUFFIX = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
PERCENT = 100


def _position(meta: Meta) -> Position:
    """Returns the position at which a rule's match begins."""
    return Position(meta.line, meta.column)


def _parse_number(text: str) -> float | int:
    """Parses a number literal: ``%`` gives a share of 0 to 1, a unit of time gives milliseconds."""
    match = re.fullmatch(r"(-?[0-9.]+)([a-z%]*)", text)
    assert match is not None
    digits, suffix = match.groups()
    number = float(digits) if "." in digits else int(digits)
    if suffix == "%":
        return number / PERCENT
    if suffix:
        return round(number * MILLISECONDS_BY_SUFFIX[suffix])
    return number


def _parse_integer(text: str) -> int:
    return int(_parse_number(text))


class StatementTransformer(Transformer[Token, "list[Statement]"]):
    """Builds statements from rules; each method has the name of its rule in grammar.lark."""

    def start(self, children: list[Any]) -> list[Statement]:
        return [child for child in children if child is not None]

    def id(self, children: list[Token]) -> str:
        return str(children[0]).strip('"')

    def number(self, children: list[Token]) -> float | int:
        return _parse_number(str(children[0]))

    def string(self, children: list[Token]) -> str:
        return str(children[0]).strip('"')

    def name(self, children: list[Token]) -> str:
        return str(children[0])

    def true(self, children: list[Token]) -> bool:
        return True

    def false(self, children: list[Token]) -> bool:
        return False

    def sequence(self, children: list[Value | None]) -> tuple[Value, ...]:
        return tuple(child for child in children if child is not None)

    @v_args(meta=True)
    def assignment(self, meta: Meta, children: list[Any]) -> Assignment:
        return Assignment(children[0], children[2], _position(meta))

    def assignments(self, children: list[Assignment]) -> tuple[Assignment, ...]:
        return tuple(children)

    def dry_run(self, children: list[Any]) -> DryRun:
        return DryRun()

    def at_revision(self, children: list[Token]) -> AtRevision:
        return AtRevision(_parse_integer(str(children[0])))

    def comparison(self, children: list[Token]) -> str:
        return str(children[0])

    def condition(self, children: list[Any]) -> Condition:
        return Condition(children[0], children[1], children[2])

    def where(self, children: list[Condition]) -> tuple[Condition, ...]:
        return tuple(children)

    def order(self, children: list[Any]) -> tuple[str, bool]:
        return children[0], children[1] is not None

    def limit(self, children: list[Token]) -> int:
        return _parse_integer(str(children[0]))

    def show(self, children: list[Any]) -> Show:
        source, conditions, order, limit, as_json = children
        column, descending = order or ("", False)
        return Show(source, conditions or (), column, descending, limit or 0, as_json is not None)

    def explain(self, children: list[Any]) -> Explain:
        return Explain(children[0], children[1], children[2] is not None)

    @v_args(meta=True)
    def create(self, meta: Meta, children: list[Any]) -> Create:
        return Create(str(children[0]), children[1], children[2] or (), _position(meta))

    @v_args(meta=True)
    def alter(self, meta: Meta, children: list[Any]) -> Alter:
        return Alter(str(children[0]), children[1], children[2], _position(meta))

    @v_args(meta=True)
    def drop(self, meta: Meta, children: list[Any]) -> Drop:
        return Drop(str(children[0]), children[1], _position(meta))

    @v_args(meta=True)
    def allow(self, meta: Meta, children: list[Any]) -> SetPermission:
        return SetPermission(str(children[0]), children[1], children[2], True, _position(meta))

    @v_args(meta=True)
    def deny(self, meta: Meta, children: list[Any]) -> SetPermission:
        return SetPermission(str(children[0]), children[1], children[2], False, _position(meta))

    @v_args(meta=True)
    def withdraw(self, meta: Meta, children: list[Any]) -> SetVersionState:
        return SetVersionState(children[0], VersionState.WITHDRAWN, _position(meta))

    @v_args(meta=True)
    def restore(self, meta: Meta, children: list[Any]) -> SetVersionState:
        return SetVersionState(children[0], VersionState.LIVE, _position(meta))

    @v_args(meta=True)
    def add_endpoint(self, meta: Meta, children: list[Any]) -> AddEndpoint:
        return AddEndpoint(children[0], children[1], children[2], _position(meta))

    @v_args(meta=True)
    def remove_endpoint(self, meta: Meta, children: list[Any]) -> RemoveEndpoint:
        return RemoveEndpoint(children[0], children[1], _position(meta))

    @v_args(meta=True)
    def mark_endpoint(self, meta: Meta, children: list[Any]) -> MarkEndpoint:
        state = EndpointState(str(children[2]))
        return MarkEndpoint(children[0], children[1], state, _position(meta))

    @v_args(meta=True)
    def add_rule(self, meta: Meta, children: list[Any]) -> AddRule:
        method, path, repeatable, service_id = children
        path_text = str(path).strip('"')
        return AddRule(
            service_id, method, path_text, str(repeatable) == "repeatable", _position(meta)
        )

    @v_args(meta=True)
    def remove_rule(self, meta: Meta, children: list[Any]) -> RemoveRule:
        return RemoveRule(children[2], children[0], str(children[1]).strip('"'), _position(meta))

    @v_args(meta=True)
    def add_key(self, meta: Meta, children: list[Any]) -> SetKey:
        return SetKey(children[1], children[0], True, _position(meta))

    @v_args(meta=True)
    def remove_key(self, meta: Meta, children: list[Any]) -> SetKey:
        return SetKey(children[1], children[0], False, _position(meta))

    def stage(self, children: list[Any]) -> Stage:
        minimum_ms = _parse_integer(str(children[1])) if children[1] else 0
        return Stage(float(_parse_number(str(children[0]))), minimum_ms)

    def stages(self, children: list[Stage]) -> tuple[Stage, ...]:
        return tuple(children)

    def guard(self, children: list[Any]) -> Guard:
        return Guard(children[0], float(_parse_number(str(children[2]))))

    def guards(self, children: list[Guard]) -> tuple[Guard, ...]:
        return tuple(children)

    @v_args(meta=True)
    def roll_out(self, meta: Meta, children: list[Any]) -> RollOut:
        new, old, stages, guards, assignments, rollout_id = children
        return RollOut(
            rollout_id or new, new, old, stages, guards or (), assignments or (), _position(meta)
        )

    @v_args(meta=True)
    def steer_rollout(self, meta: Meta, children: list[Any]) -> SteerRollout:
        return SteerRollout(children[1], str(children[0]), _position(meta))

    @v_args(meta=True)
    def clear(self, meta: Meta, children: list[Any]) -> Action:
        return Action(f"clear {children[0]}", children[1], _position(meta))

    @v_args(meta=True)
    def replace_roster(self, meta: Meta, children: list[Any]) -> Action:
        return Action(REPLACE_ROSTER, ",".join(children), _position(meta))
