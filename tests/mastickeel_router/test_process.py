"""The router as a separate process: settings, serving and a graceful stop."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from mastickeel.addresses import Address
from mastickeel.changes import hash_secret
from mastickeel.clock import Clock
from mastickeel.errors import MastickeelError
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import HttpRequest
from mastickeel_router.demo import OPERATOR_TOKEN
from mastickeel_standins.keyvalue import KeyValueStandin
from tests.fleet import SETTINGS
from tests.mastickeel_platform.gateway_case import SETTINGS as GATEWAY_SETTINGS

MAX_READY_CHECKS = 200
READY_INTERVAL_MS = 50


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs the real command line."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "settings.toml"
        self.http = HttpClient(Clock())
        self.addAsyncCleanup(self.http.close)

    async def start_command(self, *arguments: str) -> asyncio.subprocess.Process:
        """Starts a router command as a process."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mastickeel_router.cli",
            *arguments,
            env={**os.environ, "PAGER": "false"},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def test_serves_until_sigterm_and_exits_with_0(self) -> None:
        store = KeyValueStandin()
        await store.start()
        self.addAsyncCleanup(store.stop)
        admin_port = free_port()
        text = SETTINGS.format(
            number=1,
            data_centre=1,
            store=store.port,
            token=hash_secret(OPERATOR_TOKEN),
            callers="",
            admin="",
        )
        admin_section = f'[admin]\nlisten = "127.0.0.1:{admin_port}"'
        self.settings.write_text(text.replace('[admin]\nlisten = "127.0.0.1:0"', admin_section))
        process = await self.start_command("serve", "--settings", str(self.settings))
        try:
            self.assertTrue(await self.wait_until_ready(admin_port))
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        self.assertEqual(process.returncode, 0, errors.decode())
        self.assertIn('"number": 1002', errors.decode())

    async def test_invalid_settings_exit_with_3_and_list_all_faults(self) -> None:
        self.settings.write_text("[instance]\nid = 1\n")
        for command in ("check", "serve"):
            process = await self.start_command(command, "--settings", str(self.settings))
            _, errors = await process.communicate()
            self.assertEqual(process.returncode, 3, errors.decode())
            self.assertIn("'callers' is missing", errors.decode())

    async def test_check_accepts_and_rejects_gateway_settings(self) -> None:
        self.settings.write_text(GATEWAY_SETTINGS.format(port=1))
        arguments = ("check", "--settings", str(self.settings), "--gateway")
        process = await self.start_command(*arguments)
        output, _ = await process.communicate()
        self.assertEqual((process.returncode, b"no faults" in output), (0, True))
        self.settings.write_text("[callers]\nlisten = 3\n")
        process = await self.start_command(*arguments)
        _, errors = await process.communicate()
        self.assertEqual(process.returncode, 3, errors.decode())
        self.assertIn("'instance' is missing", errors.decode())

    async def test_help_runs_without_a_pager(self) -> None:
        process = await self.start_command("--help")
        output, errors = await process.communicate()
        self.assertEqual(process.returncode, 0)
        self.assertIn("serve", (output + errors).decode())

    async def wait_until_ready(self, port: int) -> bool:
        """Polls the readiness check until it succeeds; returns whether it did."""
        clock = Clock()
        for _ in range(MAX_READY_CHECKS):
            try:
                answer = await self.http.call(
                    Address("127.0.0.1", port), HttpRequest("GET", "/ready")
                )
                if answer.status == 200:
                    return True
            except MastickeelError:
                pass
            await clock.sleep(READY_INTERVAL_MS)
        return False


def free_port() -> int:
    """Returns an unused port."""

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port
