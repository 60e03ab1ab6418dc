"""Headers, configurations, entries and orders, read and written."""

from __future__ import annotations

import json
import unittest

from tornado.httputil import HTTPHeaders

from mastickeel.errors import BadRequestError
from mastickeel.httpmessages import HttpHead
from mastickeel_platform.configuration import (
    UnreadableError,
    read_configuration,
    read_entry,
)
from mastickeel_platform.messages import read_answer, read_request, write_send
from mastickeel_platform.orders import read_order, service_of, write_state
from mastickeel_router.relay.types import Prompt, PromptPart, RequestHead, Send
from mastickeel_router.releases import ReleaseState
from mastickeel_router.routes import Caller, RouteKind, Split
from tests.mastickeel_platform.standins import configuration, entry, route


def head(**fields: str) -> RequestHead:
    headers = HTTPHeaders({"Host": "h", "Attempt-Id": "a1"})
    for name, value in fields.items():
        headers.add(name.replace("_", "-"), value)
    return RequestHead("POST", "/a/b?c", headers)


def bytes_of(value: object) -> bytes:
    return json.dumps(value).encode()


class RequestTest(unittest.TestCase):
    def test_prompt(self) -> None:
        request = read_request(
            head(Model="*", Token_Count="1460,80", Prompt_Prefix="5c:800,91:410, e4:250")
        )
        parts = (PromptPart("5c", 800), PromptPart("91", 410), PromptPart("e4", 250))
        self.assertEqual(request.prompt, Prompt("*", 1460, 80, parts))

    def test_key_and_numbers(self) -> None:
        request = read_request(
            head(Authorization="Bearer k", Deadline_Ms="20", Last_Event_Id="0", Session="s")
        )
        self.assertEqual((request.key, request.timeout_ms, request.last_event), ("k", 20, 0))
        self.assertEqual(request.session, "s")
        self.assertEqual(read_request(head(Authorization="Basic k")).key, "")

    def test_what_cannot_be_read(self) -> None:
        for fields in (
            {"Attempt_Id": "a2"},
            {"Deadline_Ms": "-1"},
            {"Last_Event_Id": "\u00b2"},
            {"Model": "m", "Token_Count": "1"},
            {"Model": "m", "Prompt_Prefix": "5c"},
        ):
            with self.subTest(fields=fields), self.assertRaises(BadRequestError):
                read_request(head(**fields))

    def test_headers_of_one_connection_are_not_passed_on(self) -> None:
        request = read_request(
            head(Connection="close, x-hop", X_Hop="1", Te="trailers", Cookie="a", X_End="2")
        )
        endpoint = read_entry("servers/e1", bytes_of(entry(1)))
        sent = write_send(
            Send(
                request,
                endpoint,
                Caller("gmina"),
                70,
                b"b",
                model="m2",
                after_event=4,
                engine_priority=2,
            )
        )
        self.assertEqual(
            dict(sent.headers),
            {
                "Host": "h",
                "Attempt-Id": "a1",
                "Cookie": "a",
                "X-End": "2",
                "Deadline-Ms": "70",
                "Expect-Instance": "e1",
                "Tenant": "gmina",
                "Model": "m2",
                "Request-Priority": "2",
                "Last-Event-Id": "4",
            },
        )

    def test_answer(self) -> None:
        fields = {"Attempt-Id": "a1", "Server-Seal": "s", "Confidence": "37", "Connection": "close"}
        fields |= {"Content-Type": "text/event-stream; x", "Content-Length": "3"}
        answer = read_answer(HttpHead(200, HTTPHeaders(fields)))
        self.assertTrue(answer.is_stream and answer.signed and answer.closes_connection)
        self.assertEqual((answer.request_id, answer.confidence), ("a1", 37))
        self.assertNotIn("Content-Length", answer.headers)
        self.assertEqual(answer.headers["Server-Seal"], "s")


class ConfigurationTest(unittest.TestCase):
    def test_whole(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        engine = {"slots": 64, "kv_capacity": 9, "models": [{"name": "m", "cost": 0.5}]}
        document = configuration(
            7,
            route("d", "streaming", split=split, sizes=["m"], sticky=True, gap_target_ms=1000),
            services=[{"name": "a", "max_conns": 3, "engine": engine}],
        )
        read = read_configuration("op/config", bytes_of(document))
        only = read.routes[0]
        self.assertEqual(
            (only.kind, only.models, only.max_event_gap_ms), (RouteKind.STREAM, ("m",), 1000)
        )
        self.assertEqual(only.splits, (Split("a", 90), Split("b", 10)))
        assert read.callers_by_key is not None
        self.assertEqual(read.callers_by_key["key-1"], Caller("gmina", 0))
        traits = read.services_by_name["a"].engine
        assert traits is not None
        self.assertEqual(traits.models_by_name["m"].cost, 0.5)

    def test_without_accounts(self) -> None:
        document = configuration(7)
        del document["tenants"]
        self.assertIsNone(read_configuration("k", bytes_of(document)).callers_by_key)

    def test_unreadable(self) -> None:
        for value in (b"", b"[]", b'{"version": 1}', bytes_of(configuration(1, route("a", "odd")))):
            with self.subTest(value=value), self.assertRaises(UnreadableError):
                read_configuration("op/config", value)


class OrderTest(unittest.TestCase):
    def test_order_and_states(self) -> None:
        body = {"service": "a", "target": "v2", "duration_s": 12}
        order = read_order("op/rollout/a", bytes_of(body), 9)
        self.assertEqual((order.target, order.duration_ms, order.revision), ("v2", 12_000, 9))
        words = [json.loads(write_state(order, state).value)["state"] for state in ReleaseState]
        self.assertEqual(words, ["in_progress", "complete", "reverted"])
        self.assertEqual(write_state(order, ReleaseState.COMPLETE).key, "status/rollout/a")

    def test_keys(self) -> None:
        self.assertEqual(service_of("op/rollout/a"), "a")
        self.assertEqual(service_of("op/config"), "")
        with self.assertRaises(UnreadableError):
            read_order("op/rollout/a", b"{}", 1)


if __name__ == "__main__":
    unittest.main()
