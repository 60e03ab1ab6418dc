"""Settings that change while the process starts are taken too."""

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


class KeepSettingsTest(unittest.IsolatedAsyncioTestCase):
    """The watch of the settings file, with a gateway that only notes what it is given."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.conf"
        self.path.write_text(SETTINGS.format(port=1))
        self.clock = FakeClock()
        self.taken: list[Any] = []
        self.gateway: Any = SimpleNamespace(clock=self.clock, apply_settings=self.taken.append)

    async def keep(self, seen: tuple[int, int], changed: asyncio.Event) -> None:
        task = asyncio.ensure_future(_watch_settings(self.path, self.gateway, changed, seen))
        self.addCleanup(task.cancel)
        await self.clock.settle()

    async def test_change_between_the_first_reading_and_the_watch_is_taken(self) -> None:
        seen = _file_stamp(self.path)
        self.path.write_text(SETTINGS.format(port=1).replace("slack = 160", "slack = 80"))
        await self.keep(seen, asyncio.Event())
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual([one.repeats.slack for one in self.taken], [80])
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(len(self.taken), 1)

    async def test_signal_takes_the_same_file_again(self) -> None:
        changed = asyncio.Event()
        await self.keep(_file_stamp(self.path), changed)
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(self.taken, [])
        changed.set()
        await self.clock.advance(SETTINGS_CHECK_INTERVAL_MS)
        self.assertEqual(len(self.taken), 1)


if __name__ == "__main__":
    unittest.main()
