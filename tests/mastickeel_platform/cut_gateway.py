"""Runs a gateway whose connections to some ports a file cuts off, for tests with processes.

The file named in CUT_FILE holds ``hang`` or ``refuse`` and the ports; an empty one cuts nothing.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from mastickeel.httpclient import HttpClient
from mastickeel_platform.__main__ import main

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from mastickeel.addresses import Address

CUT_FILE = Path(os.environ["CUT_FILE"])
open_stream = HttpClient._open


async def open_if_reachable(self: HttpClient, address: Address, timeout_ms: float) -> IOStream:
    """Opens a stream unless the file cuts the port off."""
    how, *ports = CUT_FILE.read_text().split() or [""]
    if str(address.port) not in ports:
        return await open_stream(self, address, timeout_ms)
    if how == "hang":
        await self.clock.sleep(timeout_ms)
        raise TimeoutError("cut off")
    raise ConnectionRefusedError("cut off")


if __name__ == "__main__":
    HttpClient._open = open_if_reachable  # type: ignore[method-assign]
    sys.exit(main())
