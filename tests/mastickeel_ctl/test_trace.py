"""Tracing of requests through logs to the cause of their ends."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from mastickeel_ctl.loglines import MAX_LINE_LENGTH, LogLines
from mastickeel_ctl.trace import count_reasons, trace_request

MINUTE = "2026-09-20T22:07:"


def line(second: float, event: str, instance: str = "edge-1", **fields: Any) -> dict[str, Any]:
    return {"event": event, "instance": instance, "timestamp": f"{MINUTE}{second:06.3f}Z", **fields}


def request_end(second: float, event: str, **fields: Any) -> dict[str, Any]:
    known = {"request": "r1", "service": "s", "version": 7, "took_ms": 40, "first_ms": None}
    return line(second, f"request_{event}", **(known | fields))


def send_end(second: float, **fields: Any) -> dict[str, Any]:
    known = {"request": "r1", "service": "s", "endpoint": "e1", "then": "fail", "took_ms": 400}
    return line(second, "send_ended", **(known | fields))


class CauseTest(unittest.TestCase):
    """Explanation of each kind of end."""

    def cause(self, *records: dict[str, Any]) -> str:
        result = trace_request(records, "r1")
        self.assertEqual(len(result.causes), 1)
        return result.causes[0]

    def test_no_endpoint_after_all_were_removed(self) -> None:
        cause = self.cause(
            line(1, "endpoint_found", endpoint="e1", service="s", draining=False),
            line(2, "endpoint_gone", endpoint="e1", service="s"),
            line(3, "endpoint_gone", endpoint="e9", service="other"),
            line(4, "store_down"),
            request_end(5, "refused", code="unavailable"),
        )
        self.assertIn("e1 endpoint_gone", cause)
        self.assertIn("store was down since 2026-09-20T22:07:04", cause)
        self.assertNotIn("e9", cause)

    def test_outage_is_named_long_after_others_brought_the_changes(self) -> None:
        cause = self.cause(
            line(1, "endpoint_found", endpoint="e1", service="s", draining=False),
            line(2, "store_down"),
            line(3, "store_watch_left"),
            line(4, "endpoint_gone", endpoint="e1", service="s"),
            request_end(5, "refused", code="unavailable"),
        )
        self.assertIn("e1 endpoint_gone", cause)
        self.assertNotIn("store was down", cause)

    def test_stopping_instance_and_one_without_configuration(self) -> None:
        cause = self.cause(line(1, "stopping"), request_end(2, "refused", code="unavailable"))
        self.assertIn("stopping since", cause)
        cause = self.cause(request_end(2, "refused", code="unavailable", version=0))
        self.assertIn("not loaded a configuration", cause)

    def test_rate_limits_that_were_used_up(self) -> None:
        cause = self.cause(
            line(1, "endpoint_limited", endpoint="e1", per_second=1.6),
            line(2, "endpoint_limited", endpoint="e2", per_second=3.0),
            line(3, "endpoint_limit_lifted", endpoint="e2"),
            request_end(4, "refused", code="endpoints_limited"),
        )
        self.assertIn("e1 1.6 a second since 2026-09-20T22:07:01", cause)
        self.assertNotIn("e2", cause)

    def test_part_that_crashed_endpoints(self) -> None:
        cause = self.cause(
            line(1, "part_refused", part="s/bad", endpoints=["e1/1", "e2/1"]),
            line(2, "part_refused", part="s/other", endpoints=["e3/1"]),
            request_end(
                3, "refused", code="part_refused", detail="Prompts with part s/bad are refused."
            ),
        )
        self.assertIn("Refused since 2026-09-20T22:07:01", cause)
        self.assertIn("crashed: e1/1, e2/1", cause)
        self.assertNotIn("e3", cause)

    def test_endpoints_that_are_brittle(self) -> None:
        cause = self.cause(
            line(1, "endpoint_brittle", endpoint="e1", per_second=2.0),
            line(2, "endpoint_brittle", endpoint="e2", per_second=2.0),
            line(3, "endpoint_brittle_lifted", endpoint="e2"),
            request_end(4, "refused", code="endpoints_brittle"),
        )
        self.assertIn("e1 tolerates 2.0 refusals a second since 2026-09-20T22:07:01", cause)
        self.assertNotIn("e2", cause)

    def test_instance_that_is_cut_off(self) -> None:
        lost = line(1, "path_lost", endpoints=["e1", "e2"], lost=2)
        end = request_end(3, "refused", code="unavailable")
        self.assertIn("Paths to 2 endpoints were lost at", self.cause(lost, end))
        restored = line(2, "path_restored")
        self.assertNotIn("Paths", self.cause(lost, restored, end))

    def test_endpoints_that_turned_requests_away(self) -> None:
        cause = self.cause(
            line(1, "endpoint_away", endpoint="e1", away_ms=2_000),
            request_end(2, "refused", code="endpoints_away"),
        )
        self.assertIn("e1 for 2000 ms since 2026-09-20T22:07:01", cause)

    def test_request_that_came_late_in_a_stop(self) -> None:
        cause = self.cause(request_end(1, "refused", code="instance_stopping"))
        self.assertIn("The instance was to stop", cause)
        cause = self.cause(request_end(1, "failed", code="instance_stopped", took_ms=70))
        self.assertIn("The instance stopped 70 ms after", cause)

    def test_listed_endpoints_that_had_said_that_they_leave(self) -> None:
        found = [line(1, "endpoint_found", endpoint=f"e{n}", service="s") for n in range(3)]
        leaving = [line(2, "endpoint_leaving", endpoint=f"e{n}") for n in range(2)]
        gone = line(3, "endpoint_gone", endpoint="e0", service="s")
        end = request_end(4, "refused", code="unavailable", service="s")
        self.assertIn("they leave: e1.", self.cause(*found, *leaving, gone, end))

    def test_each_send_is_listed_with_the_newest_event_of_its_endpoint(self) -> None:
        cause = self.cause(
            line(1, "endpoint_found", endpoint="e1", service="s"),
            send_end(2, reason="exchange_broken: reset", then="send_again"),
            send_end(3, endpoint="e2", reason="status 503"),
            request_end(4, "failed", code="endpoint_failed", endpoints=["e1", "e2"]),
        )
        self.assertIn("e1 (endpoint_found): exchange_broken: reset, then send_again", cause)
        self.assertIn("e2 (never listed): status 503", cause)

    def test_endpoint_without_answer_at_the_deadline(self) -> None:
        limit = "the caller waits for 90 ms."
        cause = self.cause(
            request_end(4, "failed", code="deadline", endpoints=["e4"], detail=limit)
        )
        self.assertIn("40 ms (the caller waits for 90 ms); e4 had not answered", cause)
        cause = self.cause(request_end(4, "failed", code="deadline", endpoints=["e4"], first_ms=9))
        self.assertIn("e4 had not finished the answer", cause)

    def test_key_that_the_configuration_in_force_lacks(self) -> None:
        cause = self.cause(
            line(1, "routes_in_force", version=7),
            request_end(2, "refused", code="unauthorized", detail="No account holds the key."),
        )
        self.assertIn("Configuration version 7, in force since 2026-09-20T22:07:01", cause)

    def test_late_answer_names_the_retry_or_the_busy_endpoint(self) -> None:
        late = {"status": 200, "objective_ms": 2_000, "first_ms": 2_500, "endpoints": ["e1", "e2"]}
        cause = self.cause(send_end(1, reason="answer_dropped"), request_end(2, "served", **late))
        self.assertIn("retried after 400 ms: answer_dropped", cause)
        cause = self.cause(request_end(2, "served", foreseen_ms=600, **late))
        self.assertIn("e2 was busier than predicted (600 ms)", cause)

    def test_error_of_the_endpoint_itself_and_a_caller_that_left(self) -> None:
        cause = self.cause(request_end(2, "served", status=500, endpoints=["e1"]))
        self.assertEqual(cause, "e1 itself answered with 500.")
        self.assertIn("before the first event", self.cause(request_end(2, "left")))


class InstanceStateTest(unittest.TestCase):
    """Rows with the newest record about each subject of a request's end."""

    def test_newest_records_of_the_instance_before_the_end(self) -> None:
        result = trace_request(
            [
                line(1, "routes_in_force", version=6),
                line(2, "routes_in_force", version=7),
                line(2, "routes_in_force", instance="edge-2", version=8),
                line(3, "endpoint_paused", endpoint="e1", pause_ms=1_000),
                line(3, "endpoint_found", endpoint="e2", service="s"),
                request_end(4, "served", status=200, endpoints=["e1"]),
                line(5, "routes_in_force", version=9),
            ],
            "r1",
        )
        known = [(row.what, row.details) for row in result.rows[:-1]]
        self.assertEqual(
            known,
            [
                ("believed: routes_in_force", "version=7"),
                ("believed: endpoint_paused", "endpoint=e1 pause_ms=1000"),
            ],
        )


class ReasonsTest(unittest.TestCase):
    """Counts of reasons, the most frequent first."""

    def test_reasons_are_counted_and_limited(self) -> None:
        records = [
            request_end(1, "refused", code="unavailable"),
            request_end(1, "refused", code="unavailable"),
            send_end(1, reason="exchange_broken: reset by e1"),
            request_end(2, "served", status=200),
        ]
        self.assertEqual(
            count_reasons(records, top=5),
            [
                (2, "request_refused", "unavailable", "s", ""),
                (1, "send_ended", "exchange_broken", "s", "e1"),
            ],
        )
        self.assertEqual(len(count_reasons(records, top=1)), 1)


class LogLinesTest(unittest.TestCase):
    """Lines as log collectors store them."""

    def test_bad_and_dropped_lines_are_counted(self) -> None:
        texts = [
            "  1.5 edge-1 " + json.dumps(line(1, "started")),
            "",
            "no record",
            '{"event": ',
            '["event"]',
            '{"a": 1}',
            '{"event": "x", "pad": "' + "y" * MAX_LINE_LENGTH + '"}',
            '{"event": "lines_dropped", "total": 12}',
            '{"event": "lines_dropped", "total": 9}',
        ]
        lines = LogLines([texts])
        self.assertEqual([record["event"] for record in lines], ["started"])
        self.assertEqual((lines.bad_count, lines.dropped_by_instance[""]), (5, 12))

    def test_since_and_until_limit_the_records(self) -> None:
        texts = [json.dumps(line(second, "started")) for second in range(5)]
        lines = LogLines([texts], since=f"{MINUTE}01", until=f"{MINUTE}03")
        self.assertEqual(len(list(lines)), 2)


class CommandTest(unittest.TestCase):
    """The command line run as a process."""

    def run_command(self, *arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "mastickeel_ctl.cli", *arguments],
            input=text,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_trace_of_files_and_standard_input(self) -> None:
        text = json.dumps(request_end(2, "failed", code="deadline", endpoints=["e4"])) + "\nbad\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.log"
            path.write_text(text)
            process = self.run_command("trace", "r1", str(path))
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn(
            "cause: The deadline passed after 40 ms; e4 had not answered.", process.stdout
        )
        self.assertIn("1 lines hold no record", process.stderr)
        process = self.run_command("trace", "r1", "--json", text=text)
        self.assertEqual(json.loads(process.stdout)["bad_lines"], 1)

    def test_id_that_looks_like_a_number_is_found(self) -> None:
        for request in ("41e7771481803279", "007", "1_000"):
            text = json.dumps(request_end(2, "failed", code="deadline", request=request))
            process = self.run_command("trace", request, text=text)
            self.assertEqual(process.returncode, 0, (request, process.stderr))

    def test_request_without_log_lines(self) -> None:
        process = self.run_command("trace", "r2", text="")
        self.assertEqual(process.returncode, 1)
        self.assertIn("Give the logs of all instances", process.stderr)

    def test_sample_draws_the_same_failed_requests_again(self) -> None:
        records = [request_end(n, "failed", code="deadline", request=f"f{n}") for n in range(30)]
        records += [request_end(n, "served", status=200, request=f"s{n}") for n in range(30)]
        records += [
            request_end(n, "refused", code="unauthorized", request=f"u{n}") for n in range(30)
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.log"
            path.write_text("\n".join(json.dumps(record) for record in records))
            options = ("--count", "5", "--seed", "3", "--without", "unauthorized,x", "--json")
            outputs = [self.run_command("sample", str(path), *options).stdout for _ in range(2)]
        rows = json.loads(outputs[0])["rows"]
        self.assertEqual(outputs[0], outputs[1])
        self.assertEqual(len({request for request, _ in rows}), 5)
        self.assertTrue(all(request.startswith("f") for request, _ in rows), rows)
        self.assertTrue(all("had not answered" in cause for _, cause in rows))

    def test_sample_needs_files(self) -> None:
        self.assertEqual(self.run_command("sample").returncode, 1)

    def test_reasons(self) -> None:
        text = json.dumps(request_end(2, "refused", code="unavailable")) + "\n"
        process = self.run_command("reasons", text=text)
        self.assertIn("unavailable", process.stdout)
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
