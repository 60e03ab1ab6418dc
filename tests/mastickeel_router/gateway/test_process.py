"""Changed settings are reloaded, also when the file changes during the start."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from mastickeel.clock import FakeClock
from mastickeel_router.gateway.process import (
    SETTINGS_CHECK_INTERVAL_MS,
    _file_stamp,
    _watch_settings,
)
from tests.mastickeel_platform.gateway_case import SETTINGS


class WatchSettingsTest(unittest.IsolatedAsyncioTestCase):
    """The watch of the settings file, with a fake gateway that records the applied settings."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.conf"
        self.path.write_text(SETTINGS.format(port=1))
        self.clock = FakeClock()
        self.applied: list[Any] = []
        self.gateway: Any = SimpleNamespace(clock=self.clock, apply_settings=self.applied.append)

    async def start_watch(self, stamp: tuple[int, int], reload_requested: asyncio.Event) -> None:
        task = asyncio.ensure_future(
            _watch_settings(self.path, self.gateway, reload_requested, stamp)
        )
        self.addCleanup(task.cancel)
        await self.clock.settle()

    async def test_change_between_the_first_load_and_the_watch_is_applied(self) -> None:
        stamp = _file_stamp(self.path)
        self.path.write_text(SETTINGS.format(port=1).replace("slack = 160", "slack = 80"))
        await self.start_watch(stamp, asyncio.Event())
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual([settings.repeats.slack for settings in self.applied], [80])
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(len(self.applied), 1)

    async def test_signal_reloads_an_unchanged_file(self) -> None:
        reload_requested = asyncio.Event()
        await self.start_watch(_file_stamp(self.path), reload_requested)
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(self.applied, [])
        reload_requested.set()
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(len(self.applied), 1)


if __name__ == "__main__":
    unittest.main()
