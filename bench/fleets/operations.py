"""Operators whose every change is recorded, with what they were told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from bench.fleets.client import HOST
from bench.fleets.recorder import (
    AuditEntry,
    ChangeEnd,
    ChangeKind,
    Interval,
    OperatorChange,
    RevisionSeen,
    find_operation,
)
from mastickeel.addresses import Address
from mastickeel.errors import MastickeelError
from mastickeel.httpmessages import HttpAnswer, HttpRequest, Timeouts
from mastickeel_router.demo import OPERATOR_TOKEN

if TYPE_CHECKING:
    from bench.fleets.recorder import Recorder
    from mastickeel.httpclient import HttpClient

FOREVER_MS = 2**62
PATIENCE_MS = 60_000
STATUS_PATIENCE_MS = 2_000
TEXTS_BY_KIND = {
    ChangeKind.WITHDRAW: "withdraw version {subject}",
    ChangeKind.RESTORE: "restore version {subject}",
    ChangeKind.ALLOW: "allow version {subject} for account {owner}",
    ChangeKind.DENY: "deny version {subject} for account {owner}",
    ChangeKind.LEAVE: "mark endpoint {subject} of pool {owner} leaving",
}


@dataclass(frozen=True)
class PlannedChange:
    """A change before an operator asks for it."""

    id: str
    """Stands in the text, so that the audit can be matched."""
    kind: ChangeKind
    subject: str
    owner: str = ""
    """The account or pool that it is about."""

    @property
    def text(self) -> str:
        """The command."""
        command = TEXTS_BY_KIND[self.kind].format(subject=self.subject, owner=self.owner)
        return f"{command} # {self.id}"


class Operators:
    """Operators who reach the routers through the administration API."""

    def __init__(self, http: HttpClient, recorder: Recorder) -> None:
        """Makes the operators.

        Args:
            http: Sends what they ask.
            recorder: Notes what they are told.
        """
        self._http = http
        self._recorder = recorder

    async def change(self, change: PlannedChange, port: int) -> OperatorChange:
        """Asks for a change through one router, and records what was told.

        Args:
            change: What is asked for.
            port: Where the router serves operators.

        Returns:
            The record.
        """
        began_ms = self._http.clock.now()
        end, revision = ChangeEnd.UNKNOWN, 0
        try:
            answer = await self._send("POST", "/admin/v1/commands", port, {"text": change.text})
            end, revision = read_outcome(answer.status, decode(answer))
        except MastickeelError:
            pass
        told = OperatorChange(
            id=change.id,
            kind=change.kind,
            subject=change.subject,
            owner=change.owner,
            began_ms=began_ms,
            ended_ms=self._http.clock.now(),
            end=end,
            revision=revision,
        )
        self._recorder.changes.append(told)
        if told.kind is ChangeKind.LEAVE and told.end is ChangeEnd.ACCEPTED:
            self._recorder.leaving.append(Interval(told.subject, told.ended_ms, FOREVER_MS))
        return told

    async def read_audit(self, instance_id: str, port: int) -> None:
        """Takes over the audit as one router shows it."""
        answer = await self._send("GET", "/admin/v1/audit", port)
        for entry in decode(answer)["changes"]:
            self._recorder.audit.append(
                AuditEntry(instance_id, entry["revision"], find_operation(entry["text"]))
            )

    async def read_revision(self, instance_id: str, port: int) -> int | None:
        """Notes which revision a router works under; None when it does not answer."""
        asked_ms = self._http.clock.now()
        try:
            answer = await self._send("GET", "/admin/v1/status", port, wait_ms=STATUS_PATIENCE_MS)
            revision = int(decode(answer)["revision"])
        except (MastickeelError, KeyError):
            return None
        self._recorder.revisions.append(RevisionSeen(instance_id, revision, asked_ms))
        return revision

    async def _send(
        self, method: str, path: str, port: int, body: Any = None, wait_ms: int = PATIENCE_MS
    ) -> HttpAnswer:
        content = msgspec.json.encode(body) if body else b""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        waits = Timeouts(first_byte_ms=wait_ms, between_bytes_ms=wait_ms)
        request = HttpRequest(method, path, headers, content)
        return await self._http.call(Address(HOST, port), request, waits)


def read_outcome(status: int, body: dict[str, Any]) -> tuple[ChangeEnd, int]:
    """Returns what an answer to a command says of the change.

    Args:
        status: Its HTTP status.
        body: Its JSON object.

    Returns:
        How the change ended, and the revision that it made.
    """
    if status == 200:
        return ChangeEnd.ACCEPTED, int(body["revision"])
    return (ChangeEnd.REFUSED if body.get("ran") == "no" else ChangeEnd.UNKNOWN), 0


def decode(answer: HttpAnswer) -> dict[str, Any]:
    """Returns the JSON object of an answer, or an empty one for anything else."""
    try:
        decoded = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return {}
    return decoded if isinstance(decoded, dict) else {}
