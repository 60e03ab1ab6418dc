"""Gateways as processes, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
CONTACT_S = 3.0
RESTART_S = 0.5
"""Delay after which the platform starts a process again that has ended."""
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_ratio": 0.9,
    "retry_window_s": 10,
    "retry_slack": 56,
    "exposure_share": 0.15,
    "exposure_slack": 30,
    "rollback_ms": 5000,
    "session_s": 5,
}
"""Bounds of the small installations."""
ZONES = ("zone-a", "zone-b", "zone-c")


def draw_host() -> str:
    """Returns the first three numbers of loopback addresses that nothing else is likely to use."""
    return f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills a template in, as the page DEPLOY says."""

    def find(name: str, scopes: list[Any]) -> Any:
        if name in (".", "@", ","):
            entry = next(one for one in reversed(scopes) if isinstance(one, tuple))
            return entry[".@,".index(name)]
        for scope in reversed(scopes):
            value = scope[0] if isinstance(scope, tuple) else scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text: str, scopes: list[Any]) -> str:
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        while match := section.search(text):
            kind, name, inner = match.groups()
            value = find(name, scopes)
            if kind == "^":
                filled = "" if value else fill(inner, scopes)
            elif isinstance(value, dict):
                entries = list(value.items())
                filled = "".join(fill(inner, [*scopes, (v, k, "")]) for k, v in entries)
            elif value is None or value is False:
                filled = ""
            else:
                filled = fill(inner, [*scopes, (value, 0, "")])
            text = text[: match.start()] + filled + text[match.end() :]
        return re.sub(r"\{\{([^}]+)\}\}", lambda one: _show(find(one[1], scopes)), text)

    return fill(template, [fields])


def _show(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, bool):
        return str(value).lower()
    return "" if value is None else str(value)


@dataclass
class Gateway:
    """One machine with the role of the gateway."""

    name: str
    host: str
    settings: Path
    frontend: int
    ready_port: int
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0
    disturbed_at: float = 0.0
    """Time of the last kill, start or SIGTERM."""
    in_rotation: bool = False
    misses: int = 0
    wanted: bool = True
    ends: list[tuple[float, int]] = field(default_factory=list)
    """Time and code of each end."""

    def is_in_touch(self, at: float) -> bool:
        """Returns whether its processes ran undisturbed for the whole contact time before."""
        return at - self.disturbed_at >= CONTACT_S


class Fleet:
    """All gateways, and the load balancer before them."""

    def __init__(self, count: int, store: str, record: Any) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.command: list[str] = deploy["run"].split(" ")
        template = (ROOT / deploy["template"]).read_text()
        host = draw_host()
        ports = random.sample(range(20_000, 30_000), 4)
        self.gateways = []
        for number in range(1, count + 1):
            zone = ZONES[number % len(ZONES)]
            name, ip = f"edge-{zone}-{number}", f"{host}.{number}"
            fields = {
                "node_name": name,
                "ip": ip,
                "zone": zone,
                "region": "region-a",
                "zones": dict.fromkeys(ZONES, "region-a"),
                "listen": {"frontend": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"},
                "port_range": [ports[2], ports[3]],
                "limits": {"memory_mb": 150, "max_fds": 4100, "link_mbps": 1000.0},
                "bounds": BOUNDS,
                "platform": {"address": store},
            }
            path = self.folder / f"{name}.conf"
            path.write_text(render(template, fields))
            self.gateways.append(Gateway(name, ip, path, ports[0], ports[1]))
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all gateways and the load balancer."""
        for gateway in self.gateways:
            self._tasks.append(asyncio.ensure_future(self._keep_running(gateway)))
            self._tasks.append(asyncio.ensure_future(self._balance(gateway)))
        await self.wait_until_ready()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the load balancer uses all machines."""
        deadline = time.monotonic() + timeout_s
        while not all(one.in_rotation for one in self.gateways):
            if time.monotonic() > deadline:
                raise RuntimeError("the gateways are not ready")
            await asyncio.sleep(0.1)

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Sends a signal to the process of a gateway."""
        self.record(f"{number.name} to {gateway.name}")
        if number is not signal.SIGHUP:
            gateway.disturbed_at = time.monotonic()
        if gateway.process is not None and gateway.process.returncode is None:
            gateway.process.send_signal(number)

    def choose(self, number: int) -> Gateway:
        """Returns the machine that gets a client's new channel."""
        rotation = [one for one in self.gateways if one.in_rotation] or self.gateways
        return rotation[number % len(rotation)]

    async def stop(self) -> None:
        """Ends all processes."""
        pending = set(self._tasks)
        while pending:
            # More than once: a wait with a timeout may swallow a cancellation in Python 3.11.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=0.2)
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    async def _keep_running(self, gateway: Gateway) -> None:
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"MASTICKEEL_CONFIG": str(gateway.settings), "PYTHONPATH": str(ROOT / "target/deps")}
        while True:
            with (self.folder / f"{gateway.name}.log").open("ab") as log:
                gateway.process = await asyncio.create_subprocess_exec(
                    *self.command, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            gateway.started_at = gateway.disturbed_at = time.monotonic()
            code = await gateway.process.wait()
            gateway.ends.append((time.monotonic(), code))
            gateway.disturbed_at = time.monotonic()
            self.record(f"process of {gateway.name} ended with {code}")
            await asyncio.sleep(RESTART_S)
            while not gateway.wanted:
                await asyncio.sleep(0.1)

    async def _balance(self, gateway: Gateway) -> None:
        """Asks a machine once a second whether it is ready; two misses take it out."""
        while True:
            is_ready = await self._ask_ready(gateway)
            gateway.misses = 0 if is_ready else gateway.misses + 1
            if is_ready:
                gateway.in_rotation = True
            elif gateway.misses >= 2:
                gateway.in_rotation = False
            await asyncio.sleep(1.0)

    async def _ask_ready(self, gateway: Gateway) -> bool:
        try:
            opening = asyncio.open_connection(gateway.host, gateway.ready_port)
            reader, writer = await asyncio.wait_for(opening, 0.5)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.9)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


def find_free_port(host: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port
