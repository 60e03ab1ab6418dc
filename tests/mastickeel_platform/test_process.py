"""The command that the platform runs: settings, signals, logs and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from tests.mastickeel_platform.gateway_case import SETTINGS
from tests.mastickeel_platform.standins import (
    FakeStore,
    call,
    configuration,
    request_bytes,
    route,
)

TRIES = 400
UNREAD_REQUESTS = 600
"""Their lines are twice what a pipe holds."""
READ_AHEAD_BYTES = 4_096
"""What this end of the pipe takes without being asked."""


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Starts the real command beside a stand-in of the store."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "boot.conf"
        self.store = FakeStore()
        self.store.put("op/config", configuration(7, route("look", "safe")))
        port = await self.store.server.start()
        self.addAsyncCleanup(self.store.server.stop)
        text = SETTINGS.format(port=port).replace('level = "error"', 'level = "info"')
        self.settings.write_text(text)

    async def start(self, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mastickeel_platform",
            *arguments,
            env={**os.environ, "MASTICKEEL_CONFIG": str(self.settings)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=READ_AHEAD_BYTES,
        )

    async def line(self, process: asyncio.subprocess.Process, event: str) -> dict[str, object]:
        """Returns the next log line of an event."""
        assert process.stdout is not None
        for _ in range(TRIES):
            record = json.loads(await process.stdout.readline())
            if record["event"] == event:
                return record
        raise AssertionError(f"no {event}")

    async def test_serves_takes_changed_settings_and_stops_with_0(self) -> None:
        process = await self.start("serve")
        record = await self.line(process, "started")
        self.assertEqual(record["instance"], "edge-1")
        self.settings.write_text(self.settings.read_text().replace("slack = 160", "slack = 80"))
        await self.line(process, "settings_taken")
        self.settings.write_text("nonsense")
        self.assertTrue((await self.line(process, "settings_refused"))["faults"])
        self.settings.write_text(SETTINGS.format(port=self.store.server.port))
        process.send_signal(signal.SIGHUP)
        await self.line(process, "settings_taken")
        process.send_signal(signal.SIGTERM)
        await self.line(process, "stopping")
        await self.line(process, "stopped")
        self.assertEqual(await process.wait(), 0)

    async def test_reader_of_the_log_that_stops_holds_nothing_up(self) -> None:
        # Nothing reads the pipe: it is full after some hundred requests.
        process = await self.start("serve")
        started = await self.line(process, "started")
        port = int(str(started["callers"]))
        statuses = set()
        for number in range(UNREAD_REQUESTS):
            reply = await call(port, request_bytes("/nowhere/a", f"r{number}"))
            statuses.add(reply.status)
        self.assertEqual(statuses, {404})
        process.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        events = [json.loads(one)["event"] for one in (await process.stdout.read()).splitlines()]
        self.assertEqual(events[-2:], ["stopping", "stopped"])
        self.assertEqual(await process.wait(), 0)

    async def test_secrets_and_bodies_are_in_no_line(self) -> None:
        process = await self.start("serve")
        port = int(str((await self.line(process, "started"))["callers"]))
        secrets = {"Authorization": "Bearer key-of-nobody", "X-Note": "header-secret"}
        headers = "\r\n".join(f"{name}: {value}" for name, value in secrets.items())
        for path in ("/look/a?token=query-secret", "/nowhere/a?token=query-secret"):
            data = request_bytes(path, "r1", headers=headers, body=b"body-secret")
            await call(port, data.replace(b"Authorization: Bearer key-1\r\n", b""))
        process.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        text = (await process.stdout.read()).decode()
        self.assertIn("request_refused", text)
        for secret in ("key-of-nobody", "header-secret", "query-secret", "body-secret"):
            self.assertNotIn(secret, text)

    async def test_bad_settings_exit_with_3_and_name_the_field(self) -> None:
        self.settings.write_text(self.settings.read_text().replace('id = "edge-1"', "id = 1"))
        for command in ("serve", "check"):
            process = await self.start(command)
            _, errors = await process.communicate()
            self.assertEqual(process.returncode, 3)
            self.assertIn("id", errors.decode())

    async def test_missing_and_empty_files_exit_with_3(self) -> None:
        self.settings.write_text("")
        process = await self.start("check")
        _, errors = await process.communicate()
        self.assertEqual((process.returncode, "callers" in errors.decode()), (3, True))
        self.settings.unlink()
        process = await self.start("check")
        _, errors = await process.communicate()
        self.assertEqual((process.returncode, "boot.conf" in errors.decode()), (3, True))


if __name__ == "__main__":
    unittest.main()
