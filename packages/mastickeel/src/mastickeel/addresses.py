"""Network addresses of processes."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


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
        is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
        if not separator or not host or not is_number or int(port) > MAX_PORT:
            raise ValueError(f"{text!r} is not an address; write host:port, as in 127.0.0.1:8080")
        return cls(host.strip("[]"), int(port))

    @classmethod
    def parse_remote(cls, text: str) -> Address:
        """Parses the address at which another process says that it listens.

        Args:
            text: The address, with an IP address as its host; no name is looked up.

        Returns:
            The address.

        Raises:
            ValueError: When the text is not an address that can be connected to.
        """
        address = cls.parse(text)
        host = ipaddress.ip_address(address.host)
        if address.port == 0 or host.is_unspecified or host.is_multicast:
            raise ValueError(f"{text!r} is not the address of a process")
        return address

    def __str__(self) -> str:
        """Returns ``host:port``."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
