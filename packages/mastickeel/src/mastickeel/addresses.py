"""Network addresses of processes."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PORT = 65_535


@dataclass(frozen=True)
class Address:
    """Host and port on which a process listens."""

    host: str
    """An IP address, without brackets."""
    port: int
    """A TCP port; 0 for any free port."""

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parses ``host:port``.

        Args:
            text: The address as written in settings or commands.

        Returns:
            The address.

        Raises:
            ValueError: When the text is not an address; the message shows the expected form.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
            raise ValueError(f"{text!r} is not an address; write host:port, as in 127.0.0.1:8080")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        """Returns ``host:port``."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
