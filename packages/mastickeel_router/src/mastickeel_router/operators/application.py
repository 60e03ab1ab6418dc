"""HTTP handlers and application of the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tornado.web import Application

from mastickeel.errors import BadRequestError, ForbiddenError, NotFoundError, UnauthorizedError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.model import Role
from mastickeel_router.configuration import ChangeConflictError
from mastickeel_router.operators.commands import plan_commands, required_role
from mastickeel_router.operators.language import parse_block, parse_query
from mastickeel_router.operators.queries import run_query
from mastickeel_router.web import BaseHandler, UnknownPathHandler, parse_bearer

if TYPE_CHECKING:
    from mastickeel_router.listeners import RequestHead
    from mastickeel_router.operators.state import OperatorsState
    from mastickeel_router.operators.statements import Block

QUERY_PATH = "/admin/v1/query"
COMMANDS_PATH = "/admin/v1/commands"
BODY_PATHS = frozenset({QUERY_PATH, COMMANDS_PATH})
MAX_BODY_BYTES = 1024 * 1024
MAX_AUDIT_PAGE_ENTRIES = 500
"""Maximum number of changes, and of records, in one answer."""

ACTION_DONE = define_event(
    2000,
    "act_done",
    "info",
    "An operator ran an action that leaves the configuration unchanged, such as 'clear'.",
)


class AdminHandler(BaseHandler):
    """Base of the administration API's handlers."""

    state: OperatorsState
    """Parts of the router that the handlers read and change."""

    def read_text(self) -> str:
        """Returns the statements in the body's ``text`` field.

        Raises:
            BadRequestError: When ``text`` is missing, blank or not a string.
        """
        text = self.json_body().get("text")
        if not isinstance(text, str) or not text.strip():
            raise BadRequestError("The body has no 'text'; send the statements in it.")
        return text

    def read_integer(self, name: str, default: int) -> int:
        """Returns a query parameter as a whole number.

        Raises:
            BadRequestError: When the value has characters other than the digits 0 to 9.
        """
        value = self.get_query_argument(name, str(default))
        if not (value.isascii() and value.isdigit()):
            raise BadRequestError(f"{name} is {value!r}; write a whole number.")
        return int(value)


class QueryHandler(AdminHandler):
    """Answers POST /admin/v1/query."""

    async def post(self) -> None:
        """Runs one query and answers with its columns and rows."""
        self.state.authorize(self.bearer_token(), Role.VIEWER)
        query = parse_query(self.read_text())
        configuration = self.state.configuration.view.committed
        table = await run_query(query, configuration, self.state.catalogue)
        self.write_json(
            {
                "columns": table.columns,
                "rows": table.rows,
                "revision": configuration.revision,
                "as_json": query.as_json,
            }
        )


class CommandsHandler(AdminHandler):
    """Answers POST /admin/v1/commands."""

    async def post(self) -> None:
        """Commits the commands in the body as one change, shows a dry run, or runs actions."""
        token = self.bearer_token()
        self.state.authorize(token, Role.VIEWER)
        text = self.read_text()
        block = parse_block(text)
        operator = self.state.authorize(token, required_role(block))
        if block.actions:
            await self._run_actions(block, operator.id)
            return
        base = self.state.configuration.view.committed
        if block.at_revision not in (None, base.revision):
            raise ChangeConflictError(
                f"Revision {base.revision} is in force, not {block.at_revision}."
            )
        draft = plan_commands(block, base, self.state.clock.wall())
        answer = {"differences": draft.list_differences(), "base": base.revision}
        if block.dry_run:
            self.write_json({"dry_run": True, "revision": base.revision, **answer})
            return
        change = await self.state.writer.commit(
            draft.to_delta(), base=base.revision, author=operator.id, text=text
        )
        await self.state.configuration.wait_for_revision(change.revision)
        self.write_json({"revision": change.revision, "change": change.id, **answer})

    async def _run_actions(self, block: Block, author: str) -> None:
        """Runs the actions of a block without commands."""
        if block.commands or block.dry_run or block.at_revision is not None:
            raise BadRequestError(
                "An action such as 'clear' cannot be combined with commands.",
                remedy="Send it without commands, 'dry run' and 'at revision'.",
            )
        results = []
        for statement in block.actions:
            action = self.state.catalogue.actions_by_name.get(statement.name)
            if action is None:
                known = ", ".join(sorted(self.state.catalogue.actions_by_name)) or "none"
                raise NotFoundError(f"There is no action {statement.name!r}; use one of: {known}.")
            results.append(await action(statement.id, author))
            log(ACTION_DONE, act=statement.name, id=statement.id, author=author)
        self.write_json({"done": results})


class AuditHandler(AdminHandler):
    """Answers GET /admin/v1/audit."""

    async def get(self) -> None:
        """Lists a page of accepted changes and of refused or undone ones, oldest first.

        The query may have ``after`` (a revision), ``records_after`` (a key) and ``limit``.
        """
        self.state.authorize(self.bearer_token(), Role.VIEWER)
        limit = min(self.read_integer("limit", MAX_AUDIT_PAGE_ENTRIES), MAX_AUDIT_PAGE_ENTRIES)
        changes = await self.state.audit.read_changes(self.read_integer("after", 0), limit)
        records = await self.state.audit.read_records(
            self.get_query_argument("records_after", ""), limit
        )
        entries = [
            {
                "revision": change.revision,
                "at_ms": change.at_ms,
                "author": change.author,
                "text": change.text,
                "change": change.id,
            }
            for change in changes
        ]
        self.write_json({"changes": entries, "records": records})


class BillsHandler(AdminHandler):
    """Answers GET /admin/v1/bills/<account>."""

    async def get(self, account_id: str) -> None:
        """Exports an account's bills of a period as JSON lines; the last line has their sum.

        The query may have ``from_ms`` and ``to_ms``, in calendar time; without them the period is
        all of the past.
        """
        self.state.authorize(self.bearer_token(), Role.VIEWER)
        from_ms = self.read_integer("from_ms", 0)
        to_ms = self.read_integer("to_ms", self.state.clock.wall() + 1)
        self.set_header("Content-Type", "application/jsonl")
        async for line in self.state.ledger.export(account_id, from_ms, to_ms):
            self.write(line)
            await self.flush()


class StatusHandler(AdminHandler):
    """Answers GET /admin/v1/status."""

    async def get(self) -> None:
        """Answers with the state of this instance."""
        self.state.authorize(self.bearer_token(), Role.VIEWER)
        self.write_json(
            {
                "instance": self.state.instance_id,
                "revision": self.state.configuration.revision,
                "open_requests": self.state.gate.open_requests,
                "leaving": self.state.gate.refuses_requests,
            }
        )


class ReadyHandler(AdminHandler):
    """Answers GET /ready for the platform's load balancer, without a token."""

    async def get(self) -> None:
        """Answers 200 while this instance accepts new requests, else 503."""
        ready = self.state.configuration.loaded.is_set() and not self.state.gate.stop_requested
        self.write_json({"ready": ready}, 200 if ready else 503)


def make_application(state: OperatorsState) -> Application:
    """Creates the administration API.

    Args:
        state: Parts of the router that the handlers read and change.

    Returns:
        The tornado application.
    """
    shared: dict[str, Any] = {"state": state}
    return Application(
        [
            (QUERY_PATH, QueryHandler, shared),
            (COMMANDS_PATH, CommandsHandler, shared),
            (r"/admin/v1/audit", AuditHandler, shared),
            (r"/admin/v1/bills/([^/]+)", BillsHandler, shared),
            (r"/admin/v1/status", StatusHandler, shared),
            (r"/ready", ReadyHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
    )


def wants_body(state: OperatorsState, head: RequestHead) -> bool:
    """Returns whether a request has a path that reads its body, and the token of an operator."""
    if head.path not in BODY_PATHS:
        return False
    try:
        state.authorize(parse_bearer(head.headers), Role.VIEWER)
    except (UnauthorizedError, ForbiddenError):
        return False
    return True
