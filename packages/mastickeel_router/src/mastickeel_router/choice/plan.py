"""The plan of one request: the versions to try, and the judgement after each held answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from mastickeel_router.choice.ratings import (
    TEXT_LIMIT_CHARACTERS,
    RatingRequest,
    RatingUnavailableError,
    make_rating_id,
)

if TYPE_CHECKING:
    from mastickeel.model import Version, View
    from mastickeel_router.choice.ratings import RatingClient
    from mastickeel_router.requests import ChatRequest, Choice


class RolloutRouting(Protocol):
    """Interface through which rollouts alter plans and follow requests."""

    def filter_candidates(self, versions: list[Version], view: View) -> list[Version]:
        """Returns the candidates without the versions that rollouts substitute for others."""

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        """Returns the version ids of a course with rollout substitutions applied."""

    def on_request_ended(self, request_id: str) -> None:
        """Records that a request has ended."""

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Records that an answer was submitted for rating."""


class Plan:
    """The versions that a request tries, in order."""

    def __init__(
        self,
        request: ChatRequest,
        steps: list[Choice],
        ratings: RatingClient | None = None,
        rollouts: RolloutRouting | None = None,
    ) -> None:
        """Creates the plan.

        Args:
            request: The request to run.
            steps: At least one step; the answers of all but the last are held for a judgement.
            ratings: Judges held answers and queues others for a later rating.
            rollouts: Notified of submitted answers and of the request's end.
        """
        self.first_step = steps[0]
        """The step to run first."""
        self.headers: dict[str, str] = {}
        """HTTP headers that the plan adds to the caller's answer."""
        self._request = request
        self._steps = steps
        self._ratings = ratings
        self._rollouts = rollouts

    async def judge(self, choice: Choice, answer: str) -> Choice | None:
        """Judges a held answer and returns the step to run next.

        Args:
            choice: The step that produced the answer.
            answer: Text of the answer.

        Returns:
            None when the answer passes or the step was the last; otherwise the next step. An answer
            that the rating service did not judge counts as failed.
        """
        next_step = self.next_step(choice)
        if next_step is None or self._ratings is None:
            return next_step
        rating_request = self._make_rating_request(choice, answer, delivered=False)
        try:
            passed = await self._ratings.judge(rating_request)
        except RatingUnavailableError:
            return next_step
        return None if passed else next_step

    def next_step(self, choice: Choice) -> Choice | None:
        """Returns the step after a given one; None after the last."""
        index = self._steps.index(choice) + 1
        return self._steps[index] if index < len(self._steps) else None

    def reserve_submission(self) -> bool:
        """Reserves a submission to the rating service; returns whether the budget allowed it."""
        return self._ratings is not None and self._ratings.reserve_submission()

    def submit_answer(self, choice: Choice, answer: str, *, delivered: bool = True) -> None:
        """Submits an answer for a later rating.

        Args:
            choice: The step that produced the answer.
            answer: Text of the answer.
            delivered: Whether the answer was delivered to the caller.
        """
        if self._ratings:
            self._ratings.queue_answer(self._make_rating_request(choice, answer, delivered))
        if self._rollouts:
            self._rollouts.on_answer_submitted(self._request.account_id, choice.version_id)

    def finish(self) -> None:
        """Records that the request has ended, whatever its outcome."""
        if self._rollouts:
            self._rollouts.on_request_ended(self._request.id)

    def _make_rating_request(self, choice: Choice, answer: str, delivered: bool) -> RatingRequest:
        """Returns the request to rate an answer, with prompt and answer cut to the text limit."""
        request = self._request
        return RatingRequest(
            request_id=make_rating_id(request.id, self._steps.index(choice), delivered),
            account=request.account_id,
            kind=request.kind,
            version=choice.version_id,
            prompt=_prompt_text(request.body)[-TEXT_LIMIT_CHARACTERS:],
            answer=answer[:TEXT_LIMIT_CHARACTERS],
        )


def _prompt_text(body: dict[str, Any]) -> str:
    """Returns the text contents of a request's messages, one per line."""
    contents = [entry.get("content") for entry in body.get("messages", ())]
    return "\n".join(content for content in contents if isinstance(content, str))
