"""Starts gateways as the deploy file says, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.]+)}}")
PORTS = (12_000, 30_000)
"""Below the ports that the system gives to outgoing channels."""


def free_port(ip: str) -> int:
    """Returns a free port of a loopback address, which no outgoing channel will take."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            return port


def _look_up(name: str, fields: dict[str, Any], entry: Any) -> Any:
    if name == ".":
        return entry
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict[str, Any], entry: Any = None) -> str:
    """Fills in a settings template as DEPLOY.md says."""

    def section(match: re.Match[str]) -> str:
        kind, name, body = match.groups()
        value = _look_up(name, fields, entry)
        present = value is not None and value is not False
        return render(body, fields, value) if present == (kind == "#") else ""

    def value_of(match: re.Match[str]) -> str:
        value = _look_up(match[1], fields, entry)
        return value if isinstance(value, str) else json.dumps(value)

    return PLACEHOLDER.sub(value_of, SECTION.sub(section, template))


class GatewayProcess:
    """One machine of the deployment with its gateway."""

    def __init__(
        self, number: int, store_port: int, folder: Path, *, zone: str = "z-a", **limits: Any
    ) -> None:
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.frontend = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self._command = role["run"].split(" ")
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": zone,
            "region": "r",
            "listen": {
                "frontend": f"{self.ip}:{self.frontend}",
                "ready": f"{self.ip}:{self.ready_port}",
            },
            "port_range": [free_port(self.ip), free_port(self.ip)],
            "limits": {"memory_mb": 300, "max_fds": 4_100, "link_mbps": 1000.0} | limits,
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": {
                "grace_s": 8,
                "session_s": 5,
                "retry_ratio": 0.9,
                "retry_slack": 58,
                "retry_window_s": 10,
                "config_apply_ms": 2000,
            },
        }
        self._settings.write_text(render((ROOT / role["template"]).read_text(), fields))

    async def start(self) -> None:
        """Starts the process."""
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MASTICKEEL_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Asks the gateway as the platform does once a second; whether it answers with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready_port), 1
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Waits until the gateway says that it is ready."""
        for _ in range(round(timeout_s / 0.1)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event; for the record, no check rests on them."""
        lines = self._log.read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            if f'"event": "{event}"' in line or f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found

    def errors(self) -> list[str]:
        """Returns the log lines of failed tasks and requests, for the record."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if "task_failed" in line or "serve_failed" in line]


def python_version_ok() -> bool:
    """Whether this Python can run the stand-ins."""
    return sys.version_info >= (3, 11)
