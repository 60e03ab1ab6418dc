"""Operators' language: examples in the documentation, errors, and the effect of commands."""

from __future__ import annotations

import re
import unittest
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from mastickeel.errors import MastickeelError
from mastickeel.model import Configuration, Role
from mastickeel_router.operators.commands import plan_commands, required_role
from mastickeel_router.operators.language import StatementError, parse, parse_block
from mastickeel_router.operators.statements import Alter, DryRun, Show
from tests.fleet import Fleet, read_json

PAGE = Path(__file__).parents[3] / "docs" / "LANGUAGE.md"
EXAMPLE = re.compile(r"```mastickeel ?(\w*)\n(.*?)```", re.DOTALL)
NOW_MS = 1_700_000_000_000
POOL = "create pool p with kind = engine; "
VERSION = POOL + "create version m@1 with pool = p; "


def apply_block(text: str, base: Configuration | None = None) -> Configuration:
    """Returns the configuration that results from a block."""
    base = base or Configuration()
    draft = plan_commands(parse_block(text), base, NOW_MS)
    return base.apply(draft.to_delta(), base.revision + 1)


class DocumentationTest(unittest.IsolatedAsyncioTestCase):
    """Examples in docs/LANGUAGE.md run and have the documented effect."""

    async def test_every_example_runs(self) -> None:
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start_empty()
        examples = EXAMPLE.findall(PAGE.read_text())
        self.assertGreater(len(examples), 30)
        for kind, text in examples:
            with self.subTest(text):
                path = "query" if kind == "query" else "commands"
                before = fleet.routers[0].configuration.revision
                answer = await fleet.admin(f"/admin/v1/{path}", {"text": text})
                self.assertEqual(answer.status, 200, answer.body)
                revisions = fleet.routers[0].configuration.revision - before
                self.assertEqual(revisions, 0 if kind else 1)
                if kind == "dry":
                    self.assertEqual(len(read_json(answer)["differences"]), 2)

    async def test_every_kind_of_statement_has_an_example(self) -> None:
        shown = {
            type(statement)
            for _, text in EXAMPLE.findall(PAGE.read_text())
            for statement in parse(text)
        }
        samples = ("explain account a", "at revision 1; withdraw version a@1")
        shown |= {type(statement) for text in samples for statement in parse(text)}
        from mastickeel_router.operators import statements

        expected = {
            value
            for name, value in vars(statements).items()
            if isinstance(value, type)
            and value.__module__ == statements.__name__
            and name not in ("Position", "Assignment", "Condition", "Block")
        }
        self.assertEqual(shown, expected)


class ErrorTest(unittest.TestCase):
    """Errors name the position and the fault."""

    def test_syntax_errors_name_position_and_expected_terminals(self) -> None:
        cases = (
            ("withdraw\n  nothing x", "Line 2, column 3", "version"),
            ("create account a with x 3", "Line 1, column 25", "'='"),
            ('add rule GET "/x" sometimes to service s', "column 19", "repeatable or once"),
            ("create version", "ends too early", "a name"),
            ("show versions limit many", "column 21", "a number"),
        )
        for text, position, expected in cases:
            with self.subTest(text), self.assertRaises(StatementError) as caught:
                parse(text)
            self.assertIn(position, caught.exception.detail)
            self.assertIn(expected, caught.exception.detail)

    def test_refused_blocks_name_the_fault(self) -> None:
        cases = (
            ("create account a with colour = red", "account has no field 'colour'; use one of "),
            ("create account a with quality_target = high", "quality_target: Expected"),
            ("create account a with quality_target = 2", "write a share"),
            ("create version m@1 with pool = p", "which does not exist"),
            (POOL + "create version m@1 with price_in = 1", "missing required field `pool`"),
            (POOL + POOL, "pool 'p' exists"),
            ("drop pool p", "there is no pool 'p'"),
            (POOL + 'add endpoint e to pool p with address = "x", data_centre = d', "host:port"),
            ("withdraw version m@1", "there is no version 'm@1'"),
            (VERSION + "drop pool p", "pool 'p', which does not exist"),
            (VERSION + "create account a; deny model m for account a", "nothing to deny"),
            ("create account a; allow model m for account a", "not a model or version"),
            (VERSION + "roll out m@1 over m@0 in stages 10%, 5%", "not a version of m"),
            ("show versions", "no command, or a query"),
            ("withdraw version m@1; dry run", "come before the commands"),
            ("", "no command"),
        )
        for text, expected in cases:
            with self.subTest(text), self.assertRaises(MastickeelError) as caught:
                apply_block(text)
            self.assertIn(expected, caught.exception.detail)
            self.assertTrue(caught.exception.remedy)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(alphabet='abcxyz 0123;,=<[]"%@#\n', max_size=60))
    def test_any_text_parses_or_raises_statement_error(self, text: str) -> None:
        try:
            parse(text)
        except StatementError as error:
            self.assertTrue(error.detail)


class ParsedStatementTest(unittest.TestCase):
    """Values and effects of statements."""

    def test_literals(self) -> None:
        (statement,) = parse(
            'alter account a set b = 5%, c = 2h, d = [x, "y z"], e = true, f = -1.5'
        )
        assert isinstance(statement, Alter)
        values = [assignment.value for assignment in statement.assignments]
        self.assertEqual(values, [0.05, 7_200_000, ("x", "y z"), True, -1.5])

    def test_keywords_are_accepted_as_names(self) -> None:
        (statement,) = parse("show versions where state = live")
        assert isinstance(statement, Show)
        self.assertEqual(statement.conditions[0].value, "live")
        created = apply_block("create account version; create account leaving-soon")
        self.assertEqual(set(created.accounts_by_id), {"version", "leaving-soon"})
        self.assertEqual(parse("dry run")[0], DryRun())

    def test_commands_of_a_block_apply_in_order(self) -> None:
        created = apply_block(VERSION + "create account a; allow version m@1 for account a")
        self.assertTrue(created.allows("a", "m@1"))
        withdrawn = apply_block("withdraw version m@1; alter version m@1 set price_in = 5", created)
        self.assertFalse(withdrawn.allows("a", "m@1"))
        self.assertEqual(withdrawn.versions_by_id["m@1"].price_in, 5)

    def test_only_administrators_make_operators(self) -> None:
        self.assertEqual(required_role(parse_block("drop operator x")), Role.ADMINISTRATOR)
        self.assertEqual(required_role(parse_block("replace roster with x")), Role.ADMINISTRATOR)
        self.assertEqual(required_role(parse_block("drop account x")), Role.OPERATOR)

    def test_differences_hide_digests(self) -> None:
        base = apply_block("create account a")
        digest = "ab" * 32
        draft = plan_commands(parse_block(f"add key {digest} to account a"), base, NOW_MS)
        self.assertEqual(
            [difference.field for difference in draft.list_differences()], ["key_hashes"]
        )
        self.assertNotIn(digest, repr(draft.list_differences()))
        account = replace(base.accounts_by_id["a"], key_hashes=(digest,))
        self.assertEqual(draft.to_delta().accounts, (account,))
