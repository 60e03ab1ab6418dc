"""Parses the operators' language with lark."""

from __future__ import annotations

from importlib import resources
from typing import TYPE_CHECKING, get_args

from lark import Lark
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from mastickeel.errors import BadRequestError, MastickeelError
from mastickeel_router.operators._transform import StatementTransformer
from mastickeel_router.operators.statements import (
    Action,
    AtRevision,
    Block,
    Command,
    DryRun,
    Query,
    Statement,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_QUOTED_LENGTH = 24
DESCRIPTIONS_BY_TERMINAL = {
    "NAME": "a name",
    "STRING": 'a text in "quotes"',
    "NUMBER": "a number",
    "DIGEST": "a digest",
    "SEMICOLON": "';'",
    "$END": "the end",
    "LSQB": "'['",
    "COMMA": "','",
    "EQUAL": "'='",
    "LESS": "'<'",
    "KIND": "account, version, pool, service, operator or rollout",
    "ALLOWED": "model, version or service",
    "ENDPOINT_STATE": "leaving or live",
    "REPEATABLE": "repeatable or once",
    "STEERING": "pause, resume or undo",
    "COMPARISON": "a comparison such as =, != or like",
    "DESCENDING": "desc",
    "AS_JSON": "as json",
}


class StatementError(MastickeelError):
    """Raised when a text is not in the language; the detail has line and column."""

    code = "statement"
    status = 400
    title = "The statement cannot be understood."
    remedy = "Write what the detail says was expected; docs/LANGUAGE.md lists every statement."


_GRAMMAR = resources.files(__package__).joinpath("grammar.lark").read_text()
_PARSER = Lark(
    _GRAMMAR,
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=True,
)


def parse(text: str) -> list[Statement]:
    """Parses statements.

    Args:
        text: One statement, or several with ``;`` between them.

    Returns:
        The statements in order.

    Raises:
        StatementError: When the text is not in the language.
    """
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        raise StatementError(_describe(error, text)) from error
    statements: list[Statement] = StatementTransformer().transform(tree)
    return statements


def parse_query(text: str) -> Query:
    """Parses one query.

    Raises:
        StatementError: When the text is not in the language.
        BadRequestError: When it is not just one query.
    """
    statements = parse(text)
    if len(statements) != 1 or not isinstance(statements[0], get_args(Query)):
        raise BadRequestError(
            "This is not just one query.", remedy="Send one 'show' or 'explain' here, no commands."
        )
    query: Query = statements[0]
    return query


def parse_block(text: str) -> Block:
    """Parses the commands of one change, with ``dry run`` and ``at revision`` before them.

    Raises:
        StatementError: When the text is not in the language.
        BadRequestError: When it has no command, or a query among them.
    """
    statements = parse(text)
    headers = [one for one in statements if isinstance(one, DryRun | AtRevision)]
    if statements[: len(headers)] != headers:
        raise BadRequestError(
            "'dry run' and 'at revision' come before the commands.", remedy="Move them to the top."
        )
    rest = statements[len(headers) :]
    if not rest or any(isinstance(one, get_args(Query)) for one in rest):
        raise BadRequestError(
            "The block has no command, or a query in it.", remedy="Send commands only here."
        )
    revisions = [one.revision for one in headers if isinstance(one, AtRevision)]
    return Block(
        commands=tuple(one for one in rest if isinstance(one, get_args(Command))),
        actions=tuple(one for one in rest if isinstance(one, Action)),
        dry_run=any(isinstance(one, DryRun) for one in headers),
        at_revision=revisions[-1] if revisions else None,
    )


def _describe(error: UnexpectedInput, text: str) -> str:
    """Says where the fault is, what stands there, and what was expected."""
    expected: Iterable[str] = ()
    if isinstance(error, UnexpectedToken):
        expected = error.accepts or error.expected
    elif isinstance(error, UnexpectedCharacters):
        expected = error.allowed or ()
    wanted = ", ".join(sorted(DESCRIPTIONS_BY_TERMINAL.get(one, one.lower()) for one in expected))
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        return f"The text ends too early; expected {wanted}."
    found = text[error.pos_in_stream or 0 :].split("\n")[0][:MAX_QUOTED_LENGTH]
    return f"Line {error.line}, column {error.column}: found {found!r}, expected {wanted}."
