"""Reports what became of a send that a brittle endpoint may refuse."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel_router.ratelimits.admissions import ADMITTED_AFTER_MS, UNUSED_AFTER_MS

if TYPE_CHECKING:
    from mastickeel_router.ratelimits import Admission
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.types import AnswerHead


class AdmittedSend:
    """One send; those to endpoints that are not brittle have no admission to report on."""

    def __init__(self, context: Context, admission: Admission | None) -> None:
        """Creates the report of a send.

        Args:
            context: Provides the admissions and the clock.
            admission: Admission of the send; None if it needs none.
        """
        self._context = context
        self._admission = admission
        self._is_settled = admission is None
        self._has_started = False
        if admission is not None:
            context.tasks.start(self._release_unused())

    def start(self) -> bool:
        """Returns whether the request may leave now; a refusal would come at once then."""
        if self._admission is None:
            return True
        if self._is_settled:
            return False
        self._has_started = True
        self._context.tasks.start(self._settle_later())
        return True

    def record_head(self, head: AnswerHead) -> None:
        """Records the head of the answer."""
        refused = head.status == 503 and head.not_run
        if refused and self._admission is not None:
            self._is_settled = True
            self._context.admissions.settle(self._admission, refused=True)
        else:
            self.record_end()

    def record_end(self) -> None:
        """Records that the endpoint did not refuse the request, or never got it."""
        if not self._is_settled and self._admission is not None:
            self._is_settled = True
            self._context.admissions.settle(self._admission, refused=False)

    async def _release_unused(self) -> None:
        """Gives the admission back if connecting takes long, so that others may use it."""
        await self._context.clock.sleep(UNUSED_AFTER_MS)
        if not self._has_started:
            self.record_end()

    async def _settle_later(self) -> None:
        await self._context.clock.sleep(ADMITTED_AFTER_MS)
        self.record_end()
