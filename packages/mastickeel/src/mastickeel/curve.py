"""CURVE keys of the peers: making them, and which are accepted."""

from __future__ import annotations

import zmq


class AcceptedKeys:
    """Accepts the fleet's keys only, for pyzmq's authenticator."""

    def __init__(self, public_keys: frozenset[bytes]) -> None:
        """Makes it.

        Args:
            public_keys: The public keys that may connect, in Z85.
        """
        self._publics = public_keys

    def callback(self, domain: str, key: bytes) -> bool:
        """Says whether a client's public key may connect."""
        return key in self._publics


def generate_secret() -> str:
    """Returns a fresh CURVE secret key in Z85, for the peers of a fleet."""
    _, secret = zmq.curve_keypair()
    return secret.decode()
