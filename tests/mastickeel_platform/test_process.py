"""The platform's command line: settings, signals, logs and exit codes."""

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
    RawServer,
    Reply,
    Request,
    answer_bytes,
    call,
    configuration,
    entry,
    read_reply,
    request_bytes,
    route,
)

TRIES = 400
UNREAD_REQUESTS = 600
"""Number of requests whose log lines are twice the capacity of a pipe."""
KEPT = 35
"""Connections that are kept, one for each step of a stop."""
STEP_S = 0.1
WORK_S = 0.4
"""Time that the endpoint takes for a request."""
READ_AHEAD_BYTES = 4_096
"""Read-ahead of the test's end of the pipe, in bytes."""


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs the command in a child process, with a fake store."""

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

    async def start_command(self, *arguments: str) -> asyncio.subprocess.Process:
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

    async def read_event(
        self, process: asyncio.subprocess.Process, event: str
    ) -> dict[str, object]:
        """Reads log lines up to the next line of an event, and returns its record."""
        assert process.stdout is not None
        for _ in range(TRIES):
            record = json.loads(await process.stdout.readline())
            if record["event"] == event:
                return record
        raise AssertionError(f"no {event}")

    async def test_changed_settings_are_applied_and_sigterm_exits_with_0(self) -> None:
        process = await self.start_command("serve")
        record = await self.read_event(process, "started")
        self.assertEqual(record["instance"], "edge-1")
        self.settings.write_text(self.settings.read_text().replace("slack = 160", "slack = 80"))
        await self.read_event(process, "settings_taken")
        self.settings.write_text("nonsense")
        self.assertTrue((await self.read_event(process, "settings_refused"))["faults"])
        self.settings.write_text(SETTINGS.format(port=self.store.server.port))
        process.send_signal(signal.SIGHUP)
        await self.read_event(process, "settings_taken")
        process.send_signal(signal.SIGTERM)
        await self.read_event(process, "stopping")
        await self.read_event(process, "stopped")
        self.assertEqual(await process.wait(), 0)

    async def test_blocked_log_pipe_does_not_block_requests(self) -> None:
        # Nothing reads the pipe, which is full after some hundred requests.
        process = await self.start_command("serve")
        started = await self.read_event(process, "started")
        port = int(str(started["callers"]))
        statuses = set()
        for number in range(UNREAD_REQUESTS):
            reply = await call(port, request_bytes("/nowhere/a", f"r{number}"))
            statuses.add(reply.status)
        self.assertEqual(statuses, {404})
        process.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        events = [json.loads(line)["event"] for line in (await process.stdout.read()).splitlines()]
        self.assertEqual(events[-2:], ["stopping", "stopped"])
        self.assertEqual(await process.wait(), 0)

    async def test_log_contains_no_secrets_or_bodies(self) -> None:
        process = await self.start_command("serve")
        port = int(str((await self.read_event(process, "started"))["callers"]))
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

    async def test_invalid_settings_exit_with_3_and_name_the_field(self) -> None:
        self.settings.write_text(self.settings.read_text().replace('id = "edge-1"', "id = 1"))
        for command in ("serve", "check"):
            process = await self.start_command(command)
            _, errors = await process.communicate()
            self.assertEqual(process.returncode, 3)
            self.assertIn("id", errors.decode())

    async def test_missing_and_empty_files_exit_with_3(self) -> None:
        self.settings.write_text("")
        process = await self.start_command("check")
        _, errors = await process.communicate()
        self.assertEqual((process.returncode, "callers" in errors.decode()), (3, True))
        self.settings.unlink()
        process = await self.start_command("check")
        _, errors = await process.communicate()
        self.assertEqual((process.returncode, "boot.conf" in errors.decode()), (3, True))

    async def test_request_that_was_passed_on_during_a_stop_is_answered(self) -> None:
        """Callers use kept and new connections until the process is gone."""

        async def work(request: Request, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(WORK_S)
            writer.write(answer_bytes(request))

        endpoint = RawServer(work)
        self.store.put("servers/i-1", entry(await endpoint.start()))
        self.addAsyncCleanup(endpoint.stop)
        self.store.put(
            "op/config", configuration(8, route("look", "safe"), route("once", "unsafe"))
        )
        text = self.settings.read_text().replace("leave_ms = 10", "leave_ms = 2900")
        self.settings.write_text(text)
        process = await self.start_command("serve")
        port = int(str((await self.read_event(process, "started"))["callers"]))
        kept = [await asyncio.open_connection("127.0.0.1", port) for _ in range(KEPT)]
        process.send_signal(signal.SIGTERM)
        replies: dict[str, asyncio.Task[Reply]] = {}
        for number, (reader, writer) in enumerate(kept):
            writer.write(request_bytes("/once/a", f"kept-{number}"))
            replies[f"kept-{number}"] = asyncio.ensure_future(read_reply(reader))
            data = request_bytes("/once/a", f"new-{number}")
            replies[f"new-{number}"] = asyncio.ensure_future(self.call_until_refused(port, data))
            await asyncio.sleep(STEP_S)
        assert process.stdout is not None
        await process.stdout.read()
        self.assertEqual(await process.wait(), 0)
        passed_on = {request.id for request in endpoint.requests}
        statuses = {request_id: (await reply).status for request_id, reply in replies.items()}
        self.assertEqual({statuses[request_id] for request_id in passed_on}, {200})
        refused = {statuses[request_id] for request_id in statuses.keys() - passed_on}
        self.assertLessEqual(refused, {0, 503})
        self.assertIn(503, refused)
        for _, writer in kept:
            writer.close()

    async def call_until_refused(self, port: int, data: bytes) -> Reply:
        """Sends a request; returns a reply with status 0 when no connection is accepted."""
        try:
            return await call(port, data)
        except ConnectionError:
            return Reply(0, {}, b"", False)


if __name__ == "__main__":
    unittest.main()
