"""Administration API: roles, conditions, dry runs, queries, actions and TLS."""

from __future__ import annotations

import datetime
import ssl
import tempfile
import unittest
from pathlib import Path

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from mastickeel.addresses import Address
from mastickeel.changes import hash_secret
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import HttpRequest
from mastickeel_router.demo import ACCOUNT_KEY
from tests.fleet import Fleet, read_json, stream_events

TOKENS = {"viewer": "view-token", "operator": "operate-token"}


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    """Statements of operators against one router."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    async def test_roles(self) -> None:
        for role, token in TOKENS.items():
            text = f'create operator {role} with role = {role}, token_hash = "{hash_secret(token)}"'
            self.assertIn("revision", await self.fleet.command(text))
        cases = (
            ("viewer", "/admin/v1/query", "show accounts", 200),
            ("viewer", "/admin/v1/commands", "withdraw version draft-small@1", 403),
            ("operator", "/admin/v1/commands", "withdraw version draft-small@1", 200),
            ("operator", "/admin/v1/commands", "drop operator viewer", 403),
        )
        for role, path, text, status in cases:
            with self.subTest(role=role, text=text):
                answer = await self.fleet.admin(path, {"text": text}, token=TOKENS[role])
                self.assertEqual(answer.status, status, answer.body)
        unknown = await self.fleet.admin("/admin/v1/query", {"text": "show pools"}, token="x")
        self.assertEqual(unknown.status, 401)

    async def test_change_for_an_old_revision_is_refused(self) -> None:
        await self.fleet.command("at revision 1; withdraw version draft-small@1")
        refused = await self.fleet.command("at revision 1; restore version draft-small@1")
        self.assertEqual(refused["code"], "conflict")
        self.assertEqual(refused["ran"], "no")

    async def test_dry_run_changes_nothing(self) -> None:
        answer = await self.fleet.command("dry run; withdraw version draft-small@1")
        (difference,) = answer["differences"]
        self.assertEqual((difference["before"], difference["after"]), ("live", "withdrawn"))
        self.assertEqual(self.fleet.routers[0].configuration.revision, 1)

    async def test_bills_of_an_account_are_exported_with_their_sum(self) -> None:
        for text in ("one", "two"):
            self.assertEqual((await self.fleet.chat(text)).status, 200)
        answer = await self.fleet.admin("/admin/v1/bills/demo")
        *bills, total = [msgspec.json.decode(line) for line in answer.body.splitlines()]
        self.assertEqual(len(bills), 2)
        costs = [run["cost"] for bill in bills for run in bill["runs"]]
        self.assertIn(sum(costs), total.values())
        wrong = await self.fleet.admin("/admin/v1/bills/demo?from_ms=yesterday")
        self.assertEqual(wrong.status, 400)

    async def test_audit_is_paged(self) -> None:
        await self.fleet.command("withdraw version draft-small@1")
        page = read_json(await self.fleet.admin("/admin/v1/audit?after=1&limit=1"))
        self.assertEqual([change["revision"] for change in page["changes"]], [2])

    async def test_queries_never_show_digests(self) -> None:
        for table in ("accounts", "operators"):
            answer = await self.fleet.admin("/admin/v1/query", {"text": f"show {table}"})
            self.assertNotIn("hash", answer.body.decode())

    async def test_unknown_tables_columns_and_actions_list_the_known_ones(self) -> None:
        cases = (
            ("/admin/v1/query", "show nothing", "versions"),
            ("/admin/v1/query", "show versions where colour = red", "price_out"),
            ("/admin/v1/query", "explain nothing x", "Use one of"),
            ("/admin/v1/commands", "clear nothing x", "no action 'clear nothing'; use one of"),
        )
        for path, text, expected in cases:
            with self.subTest(text):
                answer = await self.fleet.admin(path, {"text": text})
                self.assertEqual(answer.status, 404)
                self.assertIn(expected, answer.body.decode())

    async def test_show_instances_and_changes(self) -> None:
        rows = await self.query_rows("show instances")
        self.assertEqual([row["instance"] for row in rows], ["router-1"])
        self.assertEqual(rows[0]["revision"], 1)
        changes = await self.query_rows("show changes")
        self.assertEqual([row["author"] for row in changes], ["test"])

    async def test_fleet_tables_mark_an_instance_that_does_not_answer(self) -> None:
        for number in (2, 3):
            await self.fleet.add_router(number)
        first = self.fleet.routers[0]
        while len(first.members.members_by_id) < 2:
            await self.fleet.clock.sleep(5)
        first.link.allow = lambda sender, receiver: "router-3" not in (sender, receiver)
        rows = {row["instance"]: row for row in await self.query_rows("show instances")}
        answers = {name: row["answer"] for name, row in rows.items()}
        self.assertEqual(answers, {"router-1": "yes", "router-2": "yes", "router-3": "none"})
        self.assertEqual((rows["router-2"]["revision"], rows["router-3"]["revision"]), (1, None))
        running = await self.query_rows("show running where answer = none")
        self.assertEqual([row["instance"] for row in running], ["router-3"])

    async def query_rows(self, text: str) -> list[dict[str, object]]:
        """Runs a query and returns each row as a dict by column."""
        table = read_json(await self.fleet.admin("/admin/v1/query", {"text": text}))
        return [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Listeners use TLS when the settings name a certificate."""

    async def test_callers_and_operators_over_tls(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        certificate, key = make_certificate(Path(folder.name))
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        tls = f'tls = {{ certificate = "{certificate}", key = "{key}" }}\n'
        router = await fleet.add_router(2, callers=tls, admin=tls)
        trusted = ssl.create_default_context(cafile=str(certificate))
        client = HttpClient(Clock(), trusted)
        self.addAsyncCleanup(client.close)
        ready = await client.call(
            Address("127.0.0.1", router.admin_port), HttpRequest("GET", "/ready")
        )
        self.assertEqual(ready.status, 200)
        refused = await client.call(
            Address("127.0.0.1", router.callers_port), HttpRequest("GET", "/v1/models")
        )
        self.assertEqual(refused.status, 401)
        message = {"role": "user", "content": "over TLS"}
        body = msgspec.json.encode({"model": "auto", "stream": True, "messages": [message]})
        chat = HttpRequest(
            "POST", "/v1/chat/completions", {"Authorization": f"Bearer {ACCOUNT_KEY}"}, body
        )
        streamed = await client.call(Address("127.0.0.1", router.callers_port), chat)
        self.assertEqual(stream_events(streamed)[-1], "[DONE]")


def make_certificate(folder: Path) -> tuple[Path, Path]:
    """Writes a self-signed certificate for 127.0.0.1 and its key."""
    import ipaddress

    private = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "127.0.0.1")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(private, hashes.SHA256())
    )
    certificate_path, key_path = folder / "certificate.pem", folder / "key.pem"
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        private.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_path, key_path
