"""End-to-end tests over loopback: callers' requests and an operator's changes."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from mastickeel_standins.plain import PlainStandin
from tests.early_answers import UNREAD_ENDS, answer_early, read_nothing
from tests.fleet import Fleet, read_json, stream_events
from tests.readers import PlayServer

if TYPE_CHECKING:
    from mastickeel_standins._engine_http import Exchange
    from tests.readers import Play


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """Requests and changes through three routers and the stand-ins."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=3)

    async def test_unstreamed_answer_is_billed_once(self) -> None:
        answer = await self.fleet.chat("Close Long Street")
        self.assertEqual(answer.status, 200, answer.body)
        body = read_json(answer)
        self.assertEqual(body["choices"][0]["finish_reason"], "stop")
        self.assertEqual(answer.headers["X-Mastickeel-Version"], "draft-small@1")
        bills = await self.fleet.routers[1].ledger.list_bills("demo")
        self.assertEqual([bill.cost for bill in bills], [body["usage"]["cost_micros"]])
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual([run.request_id for run in runs], [bills[0].id])

    async def test_streamed_answer_ends_with_usage_and_end_mark(self) -> None:
        answer = await self.fleet.chat(stream=True, stream_options={"include_usage": True})
        events = stream_events(answer)
        self.assertEqual(events[-1], "[DONE]")
        self.assertIn('"usage"', events[-2])
        plain = stream_events(await self.fleet.chat(stream=True))
        self.assertFalse(any('"usage"' in event for event in plain))

    async def test_withdrawn_version_gets_no_requests_after_the_change_is_accepted(self) -> None:
        for router in range(3):
            await self.fleet.chat(router=router)
        answer = await self.fleet.command("withdraw version draft-small@1", router=1)
        self.assertEqual(answer["revision"], 2)
        before = self.count_runs("draft-small@1")
        answers = await asyncio.gather(*(self.fleet.chat(router=n % 3) for n in range(12)))
        versions = {answer.headers["X-Mastickeel-Version"] for answer in answers}
        self.assertEqual(versions, {"draft-large@1"})
        self.assertEqual(self.count_runs("draft-small@1"), before)

    async def test_change_is_audited(self) -> None:
        await self.fleet.command("withdraw version draft-small@1")
        audit = read_json(await self.fleet.admin("/admin/v1/audit"))["changes"]
        self.assertEqual(audit[-1]["author"], "root")
        self.assertEqual(audit[-1]["text"], "withdraw version draft-small@1")

    async def test_plain_service_answers(self) -> None:
        answer = await self.fleet.call("/services/order-register/orders", b"order 1")
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(read_json(answer)["echo"], "order 1")
        self.assertEqual(len(self.fleet.register.runs), 1)

    async def test_status_out_of_range_of_a_plain_service_is_no_answer(self) -> None:
        for status in ("000", "999"):
            data = f"HTTP/1.1 {status} OK\r\nContent-Length: 4\r\n\r\nbody".encode()

            async def run(exchange: Exchange, data: bytes = data) -> None:
                await exchange._stream.write(data)

            with patch.object(self.fleet.register, "_run", run), self.subTest(status):
                answer = await self.fleet.call("/services/order-register/orders", b"order 1")
                self.assertEqual((answer.status, read_json(answer)["ran"]), (502, "unknown"))

    def count_runs(self, version_id: str) -> int:
        """Returns the number of a version's runs over all engines."""
        return sum(engine.runs_by_model[version_id] for engine in self.fleet.engines)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Invalid requests get typed errors and do not stop the process."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    async def test_invalid_requests_get_their_error_codes_and_later_ones_succeed(self) -> None:
        chat = "/v1/chat/completions"
        large = b"x" * 70_000
        bad = "bad_request"
        cases = (
            ("bad body", self.fleet.call(chat, b"{"), 400, "bad_request"),
            ("no messages", self.fleet.call(chat, {"model": "auto"}), 400, "bad_request"),
            ("body over the limit", self.fleet.call(chat, large), 413, "body_too_large"),
            ("no key", self.fleet.call(chat, b"{}", key=None), 401, "unauthorized"),
            ("wrong key", self.fleet.call(chat, b"{}", key="other"), 401, "unauthorized"),
            ("unknown service", self.fleet.call("/services/none/x", b""), 404, "not_found"),
            ("dot segments", self.fleet.call("/services/order-register/a/%2e%2E/b", b""), 400, bad),
            ("empty segments", self.fleet.call("/services/order-register//b", b""), 400, bad),
            ("unknown path", self.fleet.call("/nothing", b""), 404, "not_found"),
            ("wrong method", self.fleet.call(chat, method="GET"), 405, "method_not_allowed"),
            ("unknown model", self.fleet.chat(model="none"), 404, "model_not_found"),
        )
        for name, call, status, code in cases:
            with self.subTest(name):
                answer = await call
                problem = read_json(answer)
                self.assertEqual((answer.status, problem["code"]), (status, code))
                self.assertEqual(problem["ran"], "no")
                self.assertTrue(problem["remedy"])
        self.assertEqual((await self.fleet.chat()).status, 200)

    async def test_model_without_active_versions_gets_no_version_error(self) -> None:
        for version in ("draft-small@1", "draft-large@1"):
            await self.fleet.command(f"withdraw version {version}")
        answer = await self.fleet.chat(model="draft-small")
        self.assertEqual((answer.status, read_json(answer)["code"]), (409, "no_version"))

    async def test_statement_error_names_line_and_column(self) -> None:
        problem = await self.fleet.command("withdraw\n  nothing x")
        self.assertEqual(problem["code"], "statement")
        self.assertIn("Line 2, column 3", problem["detail"])

    async def test_request_id_is_echoed(self) -> None:
        answer = await self.fleet.chat(headers={"X-Request-Id": "mine-1"})
        self.assertEqual(answer.headers["X-Request-Id"], "mine-1")
        refusal = await self.fleet.chat(model="none", headers={"X-Request-Id": "mine-2"})
        self.assertEqual(refusal.headers["X-Request-Id"], "mine-2")
        self.assertEqual(read_json(refusal)["request_id"], "mine-2")


class PlayedService(PlainStandin):
    """A plain service whose connections a test plays."""

    def __init__(self) -> None:
        super().__init__("order-register")
        self.play: Play = read_nothing
        """What is played on each connection."""
        self._server_of_plays = PlayServer(lambda sock: self.play(sock))

    @property
    def port(self) -> int:
        return self._server_of_plays.address.port

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        self._server_of_plays.start()

    async def stop(self) -> None:
        await self._server_of_plays.stop()


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A plain service answers while the request's body is still being written."""

    HEADS = (
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    )
    UPLOAD = bytes(60_000)
    """A body that the service does not read."""

    async def start_fleet(self, play: Play) -> Fleet:
        """Starts a router, which knows no failures, and a service that plays."""
        service = PlayedService()
        service.play = play
        fleet = Fleet(register=service)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        return fleet

    async def test_part_that_ends_before_the_upload_is_read_is_no_answer(self) -> None:
        # Reports of other operators (issue 69, MIXED), at the door that issue 66 had not tried.
        for head in self.HEADS:
            for end in UNREAD_ENDS:
                fleet = await self.start_fleet(answer_early(f"{head}\r\nhalf".encode(), end))
                with self.subTest(head, end=end.__name__):
                    answer = await fleet.call("/services/order-register/orders", self.UPLOAD)
                    self.assertEqual((answer.status, read_json(answer)["ran"]), (502, "unknown"))
