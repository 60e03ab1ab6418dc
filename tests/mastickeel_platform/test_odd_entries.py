"""An odd entry of another writer names no endpoint, and does not hide the others."""

from __future__ import annotations

import ipaddress
import json
import unittest
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mastickeel._kvtypes import KeyValue
from mastickeel.errors import MastickeelError
from mastickeel_platform.configuration import read_entry
from mastickeel_platform.orders import read_order
from tests.mastickeel_platform.gateway_case import FleetTestCase, GatewayTestCase
from tests.mastickeel_platform.standins import Request, Responder, answer_bytes, entry
from tests.mastickeel_platform.test_unusable_configuration import VALUES

if TYPE_CHECKING:
    import asyncio

    from mastickeel_router.discovery import EndpointRecord

HUGE = 10**400
ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0663",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "name.example:80",
    "a\0b:80",
    "x" * 70 + ".example:80",
    "\ud7ff:80",
)
ODD_FIELDS: tuple[tuple[str, Any], ...] = (
    *(("address", address) for address in ODD_ADDRESSES),
    ("slots", HUGE),
    ("slots", -1),
    ("born", HUGE),
    ("born", 2**64),
    ("cold_left_ms", HUGE),
    ("cold_left_ms", 1e300),
    ("version", "v" * 100_000),
)
ODD_KEYS = ("servers/", "servers/ ", "servers/a\r\nX: 1", "servers/\u0141", "servers/a\0")
TEXTS = st.text(max_size=20)


def read(key: str, data: bytes) -> EndpointRecord | None:
    """Returns the endpoint of an entry; None for an entry that is refused with an error."""
    try:
        return read_entry(key, data)
    except MastickeelError as error:
        assert error.detail and error.remedy
        return None


class OddEntryTest(unittest.TestCase):
    def check_usable(self, record: EndpointRecord) -> None:
        """Checks all that a request relies on."""
        ipaddress.ip_address(record.address.host)
        self.assertTrue(0 < record.address.port < 65_536)
        for number in (record.slots, record.started_ms):
            self.assertTrue(0 <= number < 2**53)
        self.assertLess(abs(record.warmup_ms), 2**53)
        self.assertTrue(record.id and record.id.isascii() and record.id.isprintable())

    def test_one_odd_field_names_an_endpoint(self) -> None:
        for name, value in ODD_FIELDS:
            with self.subTest(f"{name} {str(value)[:40]}"):
                self.assertIsNone(read("servers/a", json.dumps(entry(80) | {name: value}).encode()))
        for key in ODD_KEYS:
            with self.subTest(key):
                self.assertIsNone(read(key, json.dumps(entry(80)).encode()))

    @settings(max_examples=1_000, deadline=None, derandomize=True)
    @given(st.sampled_from(sorted(entry(80))), VALUES | TEXTS | TEXTS.map("{}:80".format))
    def test_one_wrong_value(self, name: str, value: Any) -> None:
        record = read("servers/a", json.dumps(entry(80) | {name: value}).encode())
        if record is not None:
            self.check_usable(record)

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(TEXTS, st.binary(max_size=80))
    def test_any_key_and_bytes(self, name: str, data: bytes) -> None:
        self.assertIsNone(read("servers/a", data))
        record = read(f"servers/{name}", json.dumps(entry(80)).encode())
        if record is not None:
            self.check_usable(record)

    def test_order_of_a_huge_duration_raises_an_untyped_error(self) -> None:
        for value in (1e308, 10**400):
            data = json.dumps({"service": "s", "target": "v2", "duration_s": value}).encode()
            with self.assertRaises(MastickeelError):
                read_order("op/rollout/s", data, 1)


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request))


class FollowingTest(GatewayTestCase):
    async def test_caller_gets_no_answer_beside_an_odd_entry(self) -> None:
        """Guards against connections that are closed because an odd entry was chosen."""
        await self.start_gateway(respond)
        for number, (name, value) in enumerate(ODD_FIELDS):
            self.store.put(f"servers/odd-{number}", entry(1) | {name: value})
        for key in ODD_KEYS:
            self.store.put(key, entry(1))
        self.store.put("servers/i-1", entry(self.endpoints[0].port, version="v2"))
        records = self.gateway.registry
        await self.wait_until(lambda: any(one.version == "v2" for one in records.all()))
        statuses = [
            (await self.send_request("/look/a", f"a{number}")).status for number in range(40)
        ]
        self.assertEqual(set(statuses), {200})


class RepeatedEntryTest(GatewayTestCase):
    async def test_entry_with_the_address_of_another_takes_its_requests(self) -> None:
        """Guards against entries that repeat an address under another id, service or start."""
        await self.start_gateway(self.respond_as("i-1"), self.respond_as("i-2"))
        address = f"127.0.0.1:{self.endpoints[0].port}"
        for number, changes in enumerate(
            ({}, {"service": "other"}, {"born": 5}, {"state": "draining"}, {"zone": "dc-b"})
        ):
            self.store.put(f"servers/copy-{number}", entry(1) | {"address": address} | changes)
        # A field that is given twice counts with its last value.
        whole = json.dumps(entry(1) | {"address": address}).encode()
        self.store.put("servers/copy-9", b'{"slots": [],' + whole[1:])
        self.store.put("servers/copy-10", whole[:-1] + b', "state": 7}')
        await self.wait_until(lambda: self.gateway.registry.get("copy-4") is not None)
        await self.wait_until(lambda: len(self.store.calls) > 3)
        self.assertIsNone(self.gateway.registry.get("copy-10"))
        for number in range(40):
            reply = await self.send_request("/look/a", f"a{number}")
            self.assertEqual((reply.status, reply.body), (200, b"done"))

    def respond_as(self, endpoint_id: str) -> Responder:
        """Returns the responder of an endpoint that answers only under its own id."""

        async def respond_named(request: Request, writer: asyncio.StreamWriter) -> None:
            if request.headers["expect-instance"] == endpoint_id:
                writer.write(answer_bytes(request))
            else:
                refusal = answer_bytes(
                    request, status="421 Misdirected Request", extra="Not-Executed: 1"
                )
                writer.write(refusal)

        return respond_named


class OddInstanceTest(FleetTestCase):
    async def test_odd_instance_ends_the_exchange_with_peers(self) -> None:
        """Guards against peers that no longer hear of changes beside an odd entry of one."""
        await self.start_fleet(2)
        for gateway in self.gateways:
            directory = gateway._instances
            assert directory is not None
            for number, address in enumerate((*ODD_ADDRESSES, "127.0.0.1")):
                for fields in (
                    {"address": address},
                    {"address": "127.0.0.1:9", "tunnels": address},
                ):
                    value = json.dumps({"data_centre": "dc-a", **fields}).encode()
                    key = f"{directory.entries_prefix}odd-{number}-{len(fields)}"
                    directory.entry_handler().on_put(KeyValue(key, value, 1, 1, 0))
            self.assertEqual(len(self.peer_ids(gateway)), 1)


if __name__ == "__main__":
    unittest.main()
