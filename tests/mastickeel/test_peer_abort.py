"""A process does not abort when a peer resets a connection whose messages it has not read."""

from __future__ import annotations

import subprocess
import sys
import unittest

SCRIPT = """
import asyncio, time, zmq
from mastickeel.clock import Clock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink

async def main():
    link = PeerLink("edge-1", clock=Clock(), metrics=Metrics(), max_queued_messages=4)
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    link._set_options(router)
    port = router.bind_to_random_port("tcp://127.0.0.1")
    peers = zmq.Context()
    dealer = peers.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    dealer.setsockopt(zmq.SNDHWM, 100_000)
    dealer.connect(f"tcp://127.0.0.1:{port}")
    for _ in range(2_000):
        dealer.send(bytes(1_000))
    time.sleep(0.5)
    dealer.close()
    peers.term()
    time.sleep(6)
    router.close()
    await link.close()

asyncio.run(main())
"""


class PeerAbortTest(unittest.TestCase):
    def test_reset_connection_with_unread_messages_does_not_abort_the_process(self) -> None:
        done = subprocess.run([sys.executable, "-c", SCRIPT], capture_output=True, timeout=60)
        self.assertEqual((done.returncode, done.stderr), (0, b""))


if __name__ == "__main__":
    unittest.main()
