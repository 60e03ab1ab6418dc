"""State shared by the handlers of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.changes import hash_secret
from mastickeel.errors import ForbiddenError, UnauthorizedError
from mastickeel.model import Operator, Role

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel_router.admission import AdmissionGate
    from mastickeel_router.billing import BillLedger
    from mastickeel_router.configuration import ConfigurationState, ConfigurationWriter
    from mastickeel_router.configuration.audit import AuditReader
    from mastickeel_router.tables import Catalogue

RANKS_BY_ROLE = {Role.VIEWER: 0, Role.OPERATOR: 1, Role.ADMINISTRATOR: 2}


@dataclass(frozen=True)
class OperatorsState:
    """Parts of the router that the administration API reads and changes."""

    instance_id: str
    clock: Clock
    configuration: ConfigurationState
    writer: ConfigurationWriter
    gate: AdmissionGate
    catalogue: Catalogue
    audit: AuditReader
    ledger: BillLedger
    settings_operators: tuple[Operator, ...]
    """Operators from the settings file, valid even while the configuration has none."""

    def authorize(self, token: str, required_role: Role) -> Operator:
        """Returns the operator that a token belongs to.

        Raises:
            UnauthorizedError: When the token belongs to no operator.
            ForbiddenError: When the operator's role is below ``required_role``.
        """
        token_hash = hash_secret(token)
        configured = self.configuration.view.committed.operators_by_id.values()
        for operator in (*self.settings_operators, *configured):
            if operator.token_hash != token_hash:
                continue
            if RANKS_BY_ROLE[operator.role] < RANKS_BY_ROLE[required_role]:
                raise ForbiddenError(
                    f"{operator.id} is {operator.role.value}, not {required_role.value}."
                )
            return operator
        raise UnauthorizedError(
            "The token is missing or unknown.", remedy="Send a token of an operator."
        )
