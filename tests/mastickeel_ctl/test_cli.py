"""Operators' command line, run as a process against a router."""

from __future__ import annotations

import asyncio
import os
import sys
import unittest
from pathlib import Path
from typing import Any

import msgspec

from mastickeel.changes import hash_secret
from mastickeel.model import Configuration
from mastickeel_router.demo import OPERATOR_TOKEN
from mastickeel_router.operators.commands import plan_commands
from mastickeel_router.operators.language import parse_block
from tests.fleet import Fleet

EXAMPLES = Path(__file__).parents[2] / "examples"


class CommandLineTest(unittest.IsolatedAsyncioTestCase):
    """Tables, JSON and exit codes."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        self.url = f"http://127.0.0.1:{self.fleet.routers[0].admin_port}"

    async def run_command(self, *arguments: str, text: str = "", **changed: str) -> Any:
        """Runs the command and returns its exit code, standard output and standard error."""
        environment = {"MASTICKEEL_URL": self.url, "MASTICKEEL_TOKEN": OPERATOR_TOKEN}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mastickeel_ctl.cli",
            *arguments,
            env={**os.environ, **environment, **changed},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate(text.encode())
        return process.returncode, output.decode(), errors.decode()

    async def test_tables_and_json(self) -> None:
        code, output, _ = await self.run_command("query", "show versions")
        self.assertEqual((code, "draft-small@1" in output), (0, True))
        code, output, _ = await self.run_command("query", "show versions as json")
        self.assertEqual(msgspec.json.decode(output)["revision"], 1)
        code, output, _ = await self.run_command("status", "--json")
        self.assertEqual(msgspec.json.decode(output)["instance"], "router-1")

    async def test_answer_that_is_cut_off_is_an_error_with_a_remedy(self) -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"instance": "rou')
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        code, _, errors = await self.run_command("status", MASTICKEEL_URL=url)
        self.assertEqual(code, 4)
        self.assertIn("--url", errors)
        self.assertNotIn("Traceback", errors)

    async def test_apply_and_audit(self) -> None:
        code, output, _ = await self.run_command("apply", text="withdraw version draft-small@1")
        self.assertEqual(code, 0)
        self.assertIn("Revision 2 is in force", output)
        code, output, _ = await self.run_command("audit")
        self.assertIn("withdraw version draft-small@1", output)

    async def test_exit_codes(self) -> None:
        refused = await self.run_command("apply", text="withdraw version none@1")
        self.assertEqual(refused[0], 1)
        self.assertIn("there is no version 'none@1'", refused[2])
        unreachable = await self.run_command("status", MASTICKEEL_URL="http://127.0.0.1:9")
        self.assertEqual(unreachable[0], 4)
        unknown = await self.run_command("nothing")
        self.assertEqual(unknown[0], 2)

    async def test_new_key_prints_a_key_and_its_digest(self) -> None:
        _, output, _ = await self.run_command("new_key", "--json")
        answer = msgspec.json.decode(output)
        self.assertEqual(hash_secret(answer["key"]), answer["sha256"])


class ExamplesTest(unittest.TestCase):
    """Example configurations are valid blocks of commands."""

    def test_each_example_is_one_valid_change(self) -> None:
        paths = sorted(EXAMPLES.glob("*-configuration.txt"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            draft = plan_commands(parse_block(path.read_text()), Configuration(), 0)
            self.assertEqual(len(draft.to_delta().accounts), 10)
