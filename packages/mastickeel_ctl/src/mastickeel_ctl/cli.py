"""Command line for operators."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fire
import fire.decorators
import msgspec
from tabulate import tabulate

from mastickeel.changes import hash_secret
from mastickeel.errors import MastickeelError
from mastickeel_ctl.client import AdminClient, UnreachableError
from mastickeel_ctl.loglines import LogLines
from mastickeel_ctl.storecalls import sum_calls
from mastickeel_ctl.trace import count_reasons, sample_failed, trace_request

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY_BYTES = 32
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 4
DEFAULT_URL = "http://127.0.0.1:8081"
URL_VARIABLE = "MASTICKEEL_URL"
TOKEN_VARIABLE = "MASTICKEEL_TOKEN"


class NotInLogsError(MastickeelError):
    """Raised when no log line has the id of a request."""

    code = "not_in_logs"
    status = 404
    title = "No log line has the request's id."
    remedy = "Give the logs of all instances; check 'lines_dropped' and the period of the files."


class Commands:
    """Queries and changes a mastickeel deployment through its administration API."""

    def __init__(self, url: str = "", token: str = "", json: bool = False) -> None:
        """Sets the options that all commands share.

        Args:
            url: The URL of the administration listener; MASTICKEEL_URL without it.
            token: An operator's token; MASTICKEEL_TOKEN without it.
            json: Whether to print JSON for programs instead of tables.
        """
        self._client = AdminClient(
            url or os.environ.get(URL_VARIABLE, DEFAULT_URL),
            str(token or os.environ.get(TOKEN_VARIABLE, "")),
        )
        self._json = json

    def query(self, text: str) -> None:
        """Runs a query such as ``show versions``."""
        table = asyncio.run(self._client.post("/admin/v1/query", {"text": text}))
        self._json = self._json or table["as_json"]
        self._print(table, table["columns"], table["rows"])

    def apply(self, file: str = "") -> None:
        """Applies the commands in a file, or in standard input without a file, as one change."""
        text = Path(file).read_text() if file else sys.stdin.read()
        answer = asyncio.run(self._client.post("/admin/v1/commands", {"text": text}))
        columns = ["kind", "id", "field", "before", "after"]
        rows = [
            [difference[name] for name in columns] for difference in answer.get("differences", ())
        ]
        self._print(answer, columns, rows)
        if not self._json:
            print(_summarize(answer))

    def new_key(self) -> None:
        """Generates a key or token, and its digest for use in commands."""
        key = secrets.token_urlsafe(KEY_BYTES)
        answer = {"key": key, "sha256": hash_secret(key)}
        self._print(answer, ["what", "value"], [list(entry) for entry in answer.items()])

    def audit(self, after: int = 0, limit: int = 500) -> None:
        """Lists accepted changes, then refused and undone ones, each oldest first.

        Args:
            after: Lists only changes after this revision.
            limit: Maximum number of changes to list.
        """
        answer = asyncio.run(self._client.get("/admin/v1/audit", after=after, limit=limit))
        columns = ["revision", "at_ms", "author", "text"]
        rows = [[change[column] for column in columns] for change in answer["changes"]]
        rows += [
            [record["outcome"], record["at_ms"], record["author"], record["text"]]
            for record in answer["records"]
        ]
        self._print(answer, columns, rows)

    def status(self) -> None:
        """Shows the state of the router."""
        answer = asyncio.run(self._client.get("/admin/v1/status"))
        self._print(answer, ["what", "value"], [list(entry) for entry in answer.items()])

    def trace(self, request: str, *files: str) -> None:
        """Traces a request through logs: decisions, the instance's state at the end, and the cause.

        Args:
            request: The request id that the caller sent.
            files: Logs of all instances; standard input without a file.
        """
        with _open_logs(files) as lines:
            result = trace_request(lines, request)
        if not result.rows:
            raise NotInLogsError(f"No line has the request id {request}.")
        answer = {**asdict(result), **_count_missing(lines)}
        rows = [[row.at, row.instance, row.what, row.details] for row in result.rows]
        self._print(answer, ["time", "instance", "what", "details"], rows)
        if not self._json:
            for cause in result.causes:
                print(f"cause: {cause or 'not evident from the logs'}")
            _print_missing(lines)

    def sample(self, *files: str, count: int = 10, seed: int = 1, without: str = "") -> None:
        """Draws a random sample of failed requests from logs and shows the cause of each.

        Args:
            files: Logs of all instances; at least one, since they are read more than once.
            count: Number of requests to draw.
            seed: Seed of the draw; the same seed draws the same requests.
            without: Error codes to exclude, separated by commas: ``unauthorized,not_found``.
        """
        if not files:
            raise NotInLogsError(
                "'sample' needs files, since standard input can be read only once."
            )
        with _open_logs(files) as lines:
            ids = sample_failed(lines, count, seed, without.split(","))
        rows = []
        for request in ids:
            with _open_logs(files) as lines:
                causes = trace_request(lines, request).causes
            rows.append([request, " ".join(causes) or "not evident from the logs"])
        self._print({"rows": rows, **_count_missing(lines)}, ["request", "cause"], rows)

    def reasons(self, *files: str, since: str = "", until: str = "", top: int = 20) -> None:
        """Counts the reasons for refused and failed requests in logs.

        Args:
            files: Logs of all instances; standard input without a file.
            since: Start of the period, inclusive, in the logs' time format; empty for no limit.
            until: End of the period, exclusive, in the logs' time format; empty for no limit.
            top: Maximum number of rows to print.
        """
        with _open_logs(files, str(since), str(until)) as lines:
            rows = [list(row) for row in count_reasons(lines, top)]
        columns = ["count", "event", "reason", "service or path", "endpoint"]
        self._print({"rows": rows, **_count_missing(lines)}, columns, rows)
        if not self._json:
            _print_missing(lines)

    def calls(self, *files: str, since: str = "", until: str = "") -> None:
        """Counts the calls to the store in logs, by kind and cause.

        Args:
            files: Logs of all instances; standard input without a file.
            since: Start of the period, inclusive, in the logs' time format; empty for no limit.
            until: End of the period, exclusive, in the logs' time format; empty for no limit.
        """
        with _open_logs(files, str(since), str(until)) as lines:
            ledger = sum_calls(lines)
        rows = [[call, count, ledger.instance_count] for call, count in ledger.rows]
        columns = ["call", "count", "instances"]
        answer = {"rows": rows, "by_second": ledger.counts_by_second, "total": ledger.total}
        self._print(answer | _count_missing(lines), columns, [*rows, ["total", ledger.total, ""]])
        if not self._json:
            _print_missing(lines)

    def _print(self, answer: dict[str, Any], columns: list[str], rows: list[list[Any]]) -> None:
        """Prints an answer as JSON, or as a table of the rows."""
        if self._json:
            print(msgspec.json.encode(answer).decode())
            return
        cells = [[_format_cell(value) for value in row] for row in rows]
        print(tabulate(cells, headers=columns, tablefmt="simple"))


# By default fire parses an id such as 41e7 as a number, and codes with commas as a tuple.
fire.decorators.SetParseFn(str, "request")(Commands.trace)
fire.decorators.SetParseFn(str, "without")(Commands.sample)


@contextlib.contextmanager
def _open_logs(files: tuple[str, ...], since: str = "", until: str = "") -> Iterator[LogLines]:
    """Opens logs, or standard input without files, for one pass over their records.

    Raises:
        OSError: When a file cannot be read.
    """
    with contextlib.ExitStack() as stack:
        sources = [stack.enter_context(open(file, errors="replace")) for file in files]
        yield LogLines(sources or [sys.stdin], since, until)


def _count_missing(lines: LogLines) -> dict[str, Any]:
    return {"bad_lines": lines.bad_count, "left_out": dict(lines.dropped_by_instance)}


def _print_missing(lines: LogLines) -> None:
    """Prints the numbers of unusable and missing lines to standard error."""
    if lines.bad_count:
        print(f"{lines.bad_count} lines hold no record and were skipped", file=sys.stderr)
    for instance, count in lines.dropped_by_instance.items():
        print(
            f"{instance or 'an instance'} did not log {count} lines because of load",
            file=sys.stderr,
        )


def _summarize(answer: dict[str, Any]) -> str:
    """Returns a summary of what the commands did, for people."""
    if "done" in answer:
        return "\n".join(answer["done"])
    if answer.get("dry_run"):
        return f"Dry run on revision {answer['base']}: nothing was changed."
    return f"Revision {answer['revision']} is in force (change {answer['change']})."


def _format_cell(value: Any) -> Any:
    """Returns a table cell's value, with a list or dict as compact JSON."""
    return msgspec.json.encode(value).decode() if isinstance(value, list | dict) else value


def main() -> None:
    """Runs the command line; exits with 0, 1 (refused), 2 (usage) or 4 (router unreachable)."""
    # By default fire shows help through a pager, which is a child process.
    fire.core.Display = lambda lines, out: print("\n".join(lines), file=out)
    try:
        fire.Fire(Commands, name="mastickeelctl")
    except UnreachableError as error:
        print(str(error), file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    except (MastickeelError, OSError) as error:
        print(str(error), file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
