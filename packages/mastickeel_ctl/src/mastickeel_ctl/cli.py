"""The operators' command line."""

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
    """Raised when no line of the logs names a request."""

    code = "not_in_logs"
    status = 404
    title = "No line names the request."
    remedy = "Give the logs of all instances; compare 'lines_dropped' and the times of the files."


class Commands:
    """Asks and changes a mastickeel deployment over its administration API."""

    def __init__(self, url: str = "", token: str = "", json: bool = False) -> None:
        """Takes what every command needs.

        Args:
            url: The administration listener; else MASTICKEEL_URL.
            token: An operator's token; else MASTICKEEL_TOKEN.
            json: Whether to print JSON for programs instead of tables.
        """
        self._client = AdminClient(
            url or os.environ.get(URL_VARIABLE, DEFAULT_URL),
            str(token or os.environ.get(TOKEN_VARIABLE, "")),
        )
        self._json = json

    def query(self, text: str) -> None:
        """Asks a query, as in ``show versions``."""
        table = asyncio.run(self._client.post("/admin/v1/query", {"text": text}))
        self._json = self._json or table["as_json"]
        self._print(table, table["columns"], table["rows"])

    def apply(self, file: str = "") -> None:
        """Makes one change of all the commands in a file, or in standard input without one."""
        text = Path(file).read_text() if file else sys.stdin.read()
        answer = asyncio.run(self._client.post("/admin/v1/commands", {"text": text}))
        columns = ["kind", "id", "field", "before", "after"]
        rows = [[one[name] for name in columns] for one in answer.get("differences", ())]
        self._print(answer, columns, rows)
        if not self._json:
            print(_summary(answer))

    def new_key(self) -> None:
        """Makes a key or token, and the digest by which commands name it."""
        key = secrets.token_urlsafe(KEY_BYTES)
        answer = {"key": key, "sha256": hash_secret(key)}
        self._print(answer, ["what", "value"], [list(entry) for entry in answer.items()])

    def audit(self, after: int = 0, limit: int = 500) -> None:
        """Lists the changes that were made, oldest first, and what was refused or undone.

        Args:
            after: The revision after which to begin.
            limit: The most changes to list.
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
        """Tells how the router is."""
        answer = asyncio.run(self._client.get("/admin/v1/status"))
        self._print(answer, ["what", "value"], [list(entry) for entry in answer.items()])

    def trace(self, request: str, *files: str) -> None:
        """Follows a request through logs: its decisions, what was believed then, and the cause.

        Args:
            request: The id that the caller sent.
            files: Logs of all instances; standard input without one.
        """
        with _open_logs(files) as lines:
            found = trace_request(lines, request)
        if not found.rows:
            raise NotInLogsError(f"{request} is in none of the lines.")
        answer = {**asdict(found), **_read_summary(lines)}
        rows = [[row.at, row.instance, row.what, row.details] for row in found.rows]
        self._print(answer, ["time", "instance", "what", "details"], rows)
        if not self._json:
            for one in found.causes:
                print(f"cause: {one or 'the lines do not tell'}")
            _print_read(lines)

    def sample(self, *files: str, count: int = 10, seed: int = 1, without: str = "") -> None:
        """Draws failed requests from logs and says of each why it failed.

        Args:
            files: Logs of all instances; at least one, as they are read more than once.
            count: How many to draw.
            seed: Draws the same ones again.
            without: Codes to leave out, with commas, as in ``unauthorized,not_found``.
        """
        if not files:
            raise NotInLogsError("A sample needs files: standard input is read once only.")
        with _open_logs(files) as lines:
            ids = sample_failed(lines, count, seed, without.split(","))
        rows = []
        for request in ids:
            with _open_logs(files) as lines:
                causes = trace_request(lines, request).causes
            rows.append([request, " ".join(causes) or "the lines do not tell"])
        self._print({"rows": rows, **_read_summary(lines)}, ["request", "cause"], rows)

    def reasons(self, *files: str, since: str = "", until: str = "", top: int = 20) -> None:
        """Counts in logs why requests were refused or failed.

        Args:
            files: Logs of all instances; standard input without one.
            since: The first time that counts, as log lines write it; empty for all.
            until: The time before which lines count; empty for all.
            top: The most rows to print.
        """
        with _open_logs(files, str(since), str(until)) as lines:
            rows = [list(row) for row in count_reasons(lines, top)]
        columns = ["count", "event", "reason", "service or path", "endpoint"]
        self._print({"rows": rows, **_read_summary(lines)}, columns, rows)
        if not self._json:
            _print_read(lines)

    def _print(self, answer: dict[str, Any], columns: list[str], rows: list[list[Any]]) -> None:
        """Prints JSON for programs or a table for people."""
        if self._json:
            print(msgspec.json.encode(answer).decode())
            return
        cells = [[_cell(value) for value in row] for row in rows]
        print(tabulate(cells, headers=columns, tablefmt="simple"))


# Else fire reads an id such as 41e7 as a number, and codes with commas as a tuple.
fire.decorators.SetParseFn(str, "request")(Commands.trace)
fire.decorators.SetParseFn(str, "without")(Commands.sample)


@contextlib.contextmanager
def _open_logs(files: tuple[str, ...], since: str = "", until: str = "") -> Iterator[LogLines]:
    """Opens logs to be read once, line by line.

    Raises:
        OSError: When a file cannot be read.
    """
    with contextlib.ExitStack() as stack:
        opened = [stack.enter_context(open(one, errors="replace")) for one in files]
        yield LogLines(opened or [sys.stdin], since, until)


def _read_summary(lines: LogLines) -> dict[str, Any]:
    return {"bad_lines": lines.bad_count, "left_out": dict(lines.dropped_by_instance)}


def _print_read(lines: LogLines) -> None:
    """Says what the logs lack, on standard error."""
    if lines.bad_count:
        print(f"{lines.bad_count} lines hold no record and were passed over", file=sys.stderr)
    for instance, count in lines.dropped_by_instance.items():
        print(f"{instance or 'an instance'} left out {count} lines", file=sys.stderr)


def _summary(answer: dict[str, Any]) -> str:
    """Says in a line what became of the commands."""
    if "done" in answer:
        return "\n".join(answer["done"])
    if answer.get("dry_run"):
        return f"Dry run on revision {answer['base']}: nothing was changed."
    return f"Revision {answer['revision']} is in force (change {answer['change']})."


def _cell(value: Any) -> Any:
    """Writes a nested value short."""
    return msgspec.json.encode(value).decode() if isinstance(value, list | dict) else value


def main() -> None:
    """Runs the command line; exits with 0, 1 (refused), 2 (usage) or 4 (no router answered)."""
    # fire shows help through a pager, which would be a child process.
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
