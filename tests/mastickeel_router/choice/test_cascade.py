"""A cascade whose last step is refused says truly whether the request ran."""

from __future__ import annotations

import unittest
from typing import Any

from mastickeel.errors import EndpointError, ExecutionStatus, MastickeelError, UnavailableError
from mastickeel_router.choice.cascade import run_cascade
from mastickeel_router.requests import ChatRequest, Choice, Run, Usage

REQUEST = ChatRequest("r", "a", "auto", {}, False, 0)
RUN = Run("small@1", "engine-1", Usage(1, 1), 1)


class TwoSteps:
    """A plan whose held first answer is never good enough."""

    first_step = Choice("small@1", "cheap", held=True)

    def next_step(self, choice: Choice) -> Choice:
        return Choice("large@1", "dear")

    async def judge(self, choice: Choice, answer: str) -> Choice:
        return self.next_step(choice)

    def reserve_submission(self) -> bool:
        return False

    def finish(self) -> None:
        return


class Dispatcher:
    """Gives each step its end in turn."""

    def __init__(self, *ends: MastickeelError | Run) -> None:
        self.ends = list(ends)

    async def run(self, request: ChatRequest, choice: Choice, sink: Any) -> tuple[Run, ...]:
        end = self.ends.pop(0)
        if isinstance(end, MastickeelError):
            raise end
        return (end,)


class RanTest(unittest.IsolatedAsyncioTestCase):
    """What the error of the last step says."""

    async def ran_after(self, first: MastickeelError | Run) -> ExecutionStatus:
        dispatcher: Any = Dispatcher(first, UnavailableError())
        plan: Any = TwoSteps()
        with self.assertRaises(UnavailableError) as caught:
            await run_cascade(plan, dispatcher, REQUEST, object())  # type: ignore[arg-type]
        return caught.exception.ran

    async def test_an_earlier_step_ran(self) -> None:
        self.assertIs(await self.ran_after(RUN), ExecutionStatus.YES)

    async def test_an_earlier_step_may_have_run(self) -> None:
        self.assertIs(
            await self.ran_after(EndpointError(ran=ExecutionStatus.UNKNOWN)),
            ExecutionStatus.UNKNOWN,
        )

    async def test_no_step_ran(self) -> None:
        self.assertIs(
            await self.ran_after(EndpointError(ran=ExecutionStatus.NO)), ExecutionStatus.NO
        )
