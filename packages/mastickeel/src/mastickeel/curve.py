"""CURVE keys of the peers: generation, and the check of a connecting peer's public key."""

from __future__ import annotations

import zmq


class AcceptedKeys:
    """Credentials provider for pyzmq's authenticator that accepts only the fleet's keys."""

    def __init__(self, public_keys: frozenset[bytes]) -> None:
        """Creates the provider.

        Args:
            public_keys: The public keys of clients that may connect, in Z85.
        """
        self._public_keys = public_keys

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a client with this public key may connect."""
        return key in self._public_keys


def new_secret() -> str:
    """Returns a new CURVE secret key in Z85, to be shared by the peers of a fleet."""
    _, secret = zmq.curve_keypair()
    return secret.decode()
