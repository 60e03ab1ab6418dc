"""Releases ordered in the platform's store: a good version completes, a bad one is reverted."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from mastickeel_router.gateway.settings import ReleaseSettings
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import Request, answer_bytes

REQUEST_INTERVAL_S = 0.02
"""Time between requests; about 40 requests a second, five times the present load of an instance."""


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, request.headers["expect-instance"].encode()))


async def respond_badly(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, b"no", status="500 Error"))


class ReleaseTest(GatewayTestCase):
    """Two endpoints: i-1 runs the old version, i-2 the target."""

    async def start_release(self, target_responds, duration_s: float) -> None:
        await self.add_endpoint(respond)
        await self.add_endpoint(target_responds, version="v2")
        await self.gateway.start()
        await self.wait_until(lambda: self.gateway.ready)
        order = {"service": "register", "target": "v2", "duration_s": duration_s}
        self.store.put("op/rollout/register", order)

    def release_state(self) -> str:
        return (self.store.read("status/rollout/register") or {}).get("state", "")

    async def send_until(self, states: set[str]) -> list[bytes]:
        """Sends requests until the release is in one of the states; returns the replies' bodies."""
        bodies = []
        for number in range(3_000):
            if self.release_state() in states:
                return bodies
            bodies.append((await self.send_request("/once/a", f"r{number}")).body)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        raise AssertionError(f"the release is {self.release_state()!r}")

    async def test_changed_exposure_takes_hold_after_a_restart_only(self) -> None:
        for exposure, shares in ((0.2, (0.24, 0.4)), (0.0975, (0.18, 0.3))):
            releases = ReleaseSettings(exposure)
            self.gateway.apply_settings(replace(self.gateway.settings, releases=releases))
            found = self.gateway.releases.shares
            self.assertEqual((round(found.first, 4), round(found.second, 4)), shares)

    async def test_good_version_takes_over(self) -> None:
        await self.start_release(respond, 4)
        await self.send_until({"complete"})
        await self.wait_until(lambda: "mastickeel/releases/register" in "".join(self.store.items))
        self.assertEqual((await self.send_request("/once/a", "last")).body, b"i-2")

    async def test_bad_version_is_reverted(self) -> None:
        await self.start_release(respond_badly, 60)
        await self.send_until({"reverted"})
        bad = sum(
            request.headers["expect-instance"] == "i-2" for request in self.received_requests()
        )
        self.assertLess(bad, 50)
        for number in range(20):
            self.assertEqual((await self.send_request("/once/a", f"z{number}")).body, b"i-1")


if __name__ == "__main__":
    unittest.main()
