"""Components that the handlers for callers share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.changes import hash_secret
from mastickeel.errors import UnauthorizedError

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel.metrics import Metrics
    from mastickeel.model import Account, Configuration
    from mastickeel_router.admission import AdmissionGate
    from mastickeel_router.billing import BillLedger
    from mastickeel_router.choice import Chooser
    from mastickeel_router.configuration import ConfigurationState
    from mastickeel_router.dispatch import ChatDispatcher, ServiceDispatcher
    from mastickeel_router.dispatch.intents import IntentTable
    from mastickeel_router.listeners.memory import HeldMemory


@dataclass(frozen=True)
class CallersState:
    """Components that handle a caller's request, from admission to billing."""

    clock: Clock
    metrics: Metrics
    configuration: ConfigurationState
    gate: AdmissionGate
    chooser: Chooser
    chat: ChatDispatcher
    services: ServiceDispatcher
    ledger: BillLedger
    accounts: AccountIndex
    intents: IntentTable
    held_memory: HeldMemory


class AccountIndex:
    """Index of accounts by key hash, rebuilt when the configuration's revision changes."""

    def __init__(self) -> None:
        self._revision = -1
        self._accounts_by_hash: dict[str, Account] = {}

    def find(self, configuration: Configuration, key: str) -> Account:
        """Returns the account that has a key.

        Args:
            configuration: The configuration in force.
            key: The key that the caller sent.

        Raises:
            UnauthorizedError: When no account has the key.
        """
        if configuration.revision != self._revision:
            self._accounts_by_hash = {
                key_hash: account
                for account in configuration.accounts_by_id.values()
                for key_hash in account.key_hashes
            }
            self._revision = configuration.revision
        account = self._accounts_by_hash.get(hash_secret(key))
        if account is None:
            raise UnauthorizedError()
        return account
