"""A value that is nested too deeply to be decoded is ignored, and what follows it is not."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING

from mastickeel_platform.configuration import UnreadableValueError, read_configuration, read_entry
from mastickeel_platform.orders import read_order
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import Request, answer_bytes, entry

if TYPE_CHECKING:
    import asyncio

DEPTH = 5_000
NESTED = b'{"note":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


class NestedValueTest(unittest.TestCase):
    def test_nested_value_raises_an_untyped_error(self) -> None:
        whole = json.dumps(entry(80)).encode()
        for data in (NESTED, whole[:-1] + b"," + NESTED[1:]):
            with self.assertRaises(UnreadableValueError):
                read_entry("servers/a", data)
        with self.assertRaises(UnreadableValueError):
            read_configuration("op/config", NESTED)
        with self.assertRaises(UnreadableValueError):
            read_order("op/rollout/a", NESTED, 1)


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request))


class FollowingTest(GatewayTestCase):
    async def test_nested_entry_hides_the_draining_of_an_endpoint(self) -> None:
        """Guards against requests to a draining endpoint after an entry that cannot be read."""
        await self.start_gateway(respond, respond)
        self.store.put("servers/i-other", NESTED)
        self.store.put("servers/i-1", entry(self.endpoints[0].port, state="draining"))
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 1)

    async def test_gateway_that_starts_beside_a_nested_value_is_never_ready(self) -> None:
        """Guards against a fleet that cannot be restarted while one value cannot be read."""
        prefix = self.gateway.settings.store.prefix
        for key in ("servers/i-other", "op/other", "op/rollout/other"):
            self.store.put(key, NESTED)
        for key in ("releases/register", "instances/edge-9", "lost-writes"):
            self.store.put(f"{prefix}/{key}", NESTED)
        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/look/a")).status, 200)

    async def test_nested_configuration_takes_the_routes_away(self) -> None:
        await self.start_gateway(respond)
        self.store.put("op/config", NESTED)
        self.store.put("servers/i-1", entry(self.endpoints[0].port, version="v2"))
        await self.wait_until(lambda: self.gateway.registry.all()[0].version == "v2")
        self.assertEqual((await self.send_request("/look/a")).status, 200)


if __name__ == "__main__":
    unittest.main()
