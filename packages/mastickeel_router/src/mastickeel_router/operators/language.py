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
    "STRING": 'a string in "quotes"',
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
    """Raised when a text is not in the operators' language; the detail has line and column."""

    code = "statement"
    status = 400
    title = "The statement cannot be parsed."
    remedy = "Correct the statement as the detail says; docs/LANGUAGE.md lists every statement."


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
        text: One statement, or several separated by ``;``.

    Returns:
        The statements in order.

    Raises:
        StatementError: When the text is not in the language.
    """
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        raise StatementError(_describe_error(error, text)) from error
    statements: list[Statement] = StatementTransformer().transform(tree)
    return statements


def parse_query(text: str) -> Query:
    """Parses one query.

    Raises:
        StatementError: When the text is not in the language.
        BadRequestError: When the text is not exactly one query.
    """
    statements = parse(text)
    if len(statements) != 1 or not isinstance(statements[0], get_args(Query)):
        raise BadRequestError(
            "The text is not exactly one query.",
            remedy="Send one 'show' or 'explain', no commands.",
        )
    query: Query = statements[0]
    return query


def parse_block(text: str) -> Block:
    """Parses a block: optional ``dry run`` and ``at revision``, then commands or actions.

    Raises:
        StatementError: When the text is not in the language.
        BadRequestError: When the block has a query or no command, or a header after a command.
    """
    statements = parse(text)
    headers = [statement for statement in statements if isinstance(statement, DryRun | AtRevision)]
    if statements[: len(headers)] != headers:
        raise BadRequestError(
            "'dry run' and 'at revision' come before the commands.", remedy="Move them to the top."
        )
    body = statements[len(headers) :]
    if not body or any(isinstance(statement, get_args(Query)) for statement in body):
        raise BadRequestError(
            "The block has no command, or a query in it.",
            remedy="Send at least one command and no query.",
        )
    revisions = [header.revision for header in headers if isinstance(header, AtRevision)]
    return Block(
        commands=tuple(statement for statement in body if isinstance(statement, get_args(Command))),
        actions=tuple(statement for statement in body if isinstance(statement, Action)),
        dry_run=any(isinstance(header, DryRun) for header in headers),
        at_revision=revisions[-1] if revisions else None,
    )


def _describe_error(error: UnexpectedInput, text: str) -> str:
    """Describes a syntax error: its position, the text found there and the expected terminals."""
    terminals: Iterable[str] = ()
    if isinstance(error, UnexpectedToken):
        terminals = error.accepts or error.expected
    elif isinstance(error, UnexpectedCharacters):
        terminals = error.allowed or ()
    descriptions = ", ".join(
        sorted(DESCRIPTIONS_BY_TERMINAL.get(terminal, terminal.lower()) for terminal in terminals)
    )
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        return f"The text ends too early; expected {descriptions}."
    found = text[error.pos_in_stream or 0 :].split("\n")[0][:MAX_QUOTED_LENGTH]
    return f"Line {error.line}, column {error.column}: found {found!r}, expected {descriptions}."
