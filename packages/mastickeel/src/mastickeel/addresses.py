"""Network addresses of processes."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PORT = 65_535


@dataclass(frozen=True)
class Address:
    """Where a process listens."""

    host: str
    """An IP number."""
    port: int
    """A TCP port; 0 asks for any free one."""

    @classmethod
    def parse(cls, text: str) -> Address:
        """Reads ``host:port``.

        Args:
            text: The address as written in settings or commands.

        Returns:
            The address.

        Raises:
            ValueError: When the text is no address; the message says what was expected.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
            raise ValueError(f"{text!r} is no address; write it as host:port, as in 127.0.0.1:8080")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        """Returns ``host:port``."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
