"""A request is followed through logs to the cause of its end."""

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


def end(second: float, event: str, **fields: Any) -> dict[str, Any]:
    known = {"request": "r1", "service": "s", "version": 7, "took_ms": 40, "first_ms": None}
    return line(second, f"request_{event}", **(known | fields))


def send(second: float, **fields: Any) -> dict[str, Any]:
    known = {"request": "r1", "service": "s", "endpoint": "e1", "then": "fail", "took_ms": 400}
    return line(second, "send_ended", **(known | fields))


class CauseTest(unittest.TestCase):
    """What the command says of each kind of end."""

    def cause(self, *records: dict[str, Any]) -> str:
        found = trace_request(records, "r1")
        self.assertEqual(len(found.causes), 1)
        return found.causes[0]

    def test_no_endpoint_after_all_have_gone(self) -> None:
        said = self.cause(
            line(1, "endpoint_found", endpoint="e1", service="s", draining=False),
            line(2, "endpoint_gone", endpoint="e1", service="s"),
            line(3, "endpoint_gone", endpoint="e9", service="other"),
            line(4, "store_down"),
            end(5, "refused", code="unavailable"),
        )
        self.assertIn("e1 endpoint_gone", said)
        self.assertIn("store was down since 2026-09-20T22:07:04", said)
        self.assertNotIn("e9", said)

    def test_stopping_instance_and_one_without_configuration(self) -> None:
        said = self.cause(line(1, "stopping"), end(2, "refused", code="unavailable"))
        self.assertIn("stopping since", said)
        said = self.cause(end(2, "refused", code="unavailable", version=0))
        self.assertIn("no configuration", said)

    def test_each_send_is_named_with_what_was_known_of_its_endpoint(self) -> None:
        said = self.cause(
            line(1, "endpoint_found", endpoint="e1", service="s"),
            send(2, reason="exchange_broken: reset", then="send_again"),
            send(3, endpoint="e2", reason="status 503"),
            end(4, "failed", code="endpoint_failed", endpoints=["e1", "e2"]),
        )
        self.assertIn("e1 (endpoint_found): exchange_broken: reset, then send_again", said)
        self.assertIn("e2 (never listed): status 503", said)

    def test_silent_endpoint_at_the_deadline(self) -> None:
        limit = "the caller waits for 90 ms."
        said = self.cause(end(4, "failed", code="deadline", endpoints=["e4"], detail=limit))
        self.assertIn("40 ms (the caller waits for 90 ms); e4 had not answered", said)
        said = self.cause(end(4, "failed", code="deadline", endpoints=["e4"], first_ms=9))
        self.assertIn("e4 had not come to the answer's end", said)

    def test_key_that_the_version_in_force_does_not_hold(self) -> None:
        said = self.cause(
            line(1, "routes_in_force", version=7),
            end(2, "refused", code="unauthorized", detail="No account holds the key."),
        )
        self.assertIn("version 7, since 2026-09-20T22:07:01", said)

    def test_late_answer_names_the_larger_model_or_the_busy_endpoint(self) -> None:
        late = {"status": 200, "objective_ms": 2_000, "first_ms": 2_500, "endpoints": ["e1", "e2"]}
        said = self.cause(send(1, reason="answer_dropped"), end(2, "served", **late))
        self.assertIn("sent again after 400 ms: answer_dropped", said)
        said = self.cause(end(2, "served", foreseen_ms=600, **late))
        self.assertIn("e2 was busier than foreseen (600 ms)", said)

    def test_failure_of_the_endpoint_itself_and_a_caller_that_left(self) -> None:
        said = self.cause(end(2, "served", status=500, endpoints=["e1"]))
        self.assertEqual(said, "e1 itself answered with 500.")
        self.assertIn("before the first event", self.cause(end(2, "left")))


class BeliefsTest(unittest.TestCase):
    """A row for each thing that the instance of the request believed then."""

    def test_newest_lines_of_that_instance_before_the_end(self) -> None:
        found = trace_request(
            [
                line(1, "routes_in_force", version=6),
                line(2, "routes_in_force", version=7),
                line(2, "routes_in_force", instance="edge-2", version=8),
                line(3, "endpoint_paused", endpoint="e1", pause_ms=1_000),
                line(3, "endpoint_found", endpoint="e2", service="s"),
                end(4, "served", status=200, endpoints=["e1"]),
                line(5, "routes_in_force", version=9),
            ],
            "r1",
        )
        believed = [(row.what, row.details) for row in found.rows[:-1]]
        self.assertEqual(
            believed,
            [
                ("believed: routes_in_force", "version=7"),
                ("believed: endpoint_paused", "endpoint=e1 pause_ms=1000"),
            ],
        )


class ReasonsTest(unittest.TestCase):
    """The reasons of a window, the most frequent first."""

    def test_counts(self) -> None:
        records = [
            end(1, "refused", code="unavailable"),
            end(1, "refused", code="unavailable"),
            send(1, reason="exchange_broken: reset by e1"),
            end(2, "served", status=200),
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
    """Lines as collectors keep them."""

    def test_bad_lines_are_counted_and_left_out_lines_told(self) -> None:
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
        self.assertEqual([one["event"] for one in lines], ["started"])
        self.assertEqual((lines.bad_count, lines.dropped_by_instance[""]), (5, 12))

    def test_window(self) -> None:
        texts = [json.dumps(line(second, "started")) for second in range(5)]
        lines = LogLines([texts], since=f"{MINUTE}01", until=f"{MINUTE}03")
        self.assertEqual(len(list(lines)), 2)


class CommandTest(unittest.TestCase):
    """The command as a process."""

    def run_command(self, *arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "mastickeel_ctl.cli", *arguments],
            input=text,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_trace_of_files_and_standard_input(self) -> None:
        text = json.dumps(end(2, "failed", code="deadline", endpoints=["e4"])) + "\nbad\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.log"
            path.write_text(text)
            done = self.run_command("trace", "r1", str(path))
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("cause: The time was over after 40 ms; e4 had not answered.", done.stdout)
        self.assertIn("1 lines hold no record", done.stderr)
        done = self.run_command("trace", "r1", "--json", text=text)
        self.assertEqual(json.loads(done.stdout)["bad_lines"], 1)

    def test_id_that_looks_like_a_number_is_found(self) -> None:
        for request in ("41e7771481803279", "007", "1_000"):
            text = json.dumps(end(2, "failed", code="deadline", request=request))
            done = self.run_command("trace", request, text=text)
            self.assertEqual(done.returncode, 0, (request, done.stderr))

    def test_request_that_no_line_names(self) -> None:
        done = self.run_command("trace", "r2", text="")
        self.assertEqual(done.returncode, 1)
        self.assertIn("Give the logs of all instances", done.stderr)

    def test_sample_draws_the_same_failed_requests_again(self) -> None:
        records = [end(n, "failed", code="deadline", request=f"f{n}") for n in range(30)]
        records += [end(n, "served", status=200, request=f"s{n}") for n in range(30)]
        records += [end(n, "refused", code="unauthorized", request=f"u{n}") for n in range(30)]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.log"
            path.write_text("\n".join(json.dumps(one) for one in records))
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
        text = json.dumps(end(2, "refused", code="unavailable")) + "\n"
        done = self.run_command("reasons", text=text)
        self.assertIn("unavailable", done.stdout)
        self.assertEqual(done.returncode, 0)


if __name__ == "__main__":
    unittest.main()
