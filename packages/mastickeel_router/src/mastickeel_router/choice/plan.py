"""The steps of one request, and the judgement between them."""

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
    """What roll-outs do to the plans of requests."""

    def narrow(self, versions: list[Version], view: View) -> list[Version]:
        """Leaves out the versions that stand in for others by share only."""

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        """Puts new versions in the place of old ones."""

    def finish(self, request_id: str) -> None:
        """Notes that a request is over."""

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Notes that an answer was handed in for a rating."""


class Plan:
    """The versions that a request is to try, one after the other."""

    def __init__(
        self,
        request: ChatRequest,
        steps: list[Choice],
        ratings: RatingClient | None = None,
        rollouts: RolloutRouting | None = None,
    ) -> None:
        """Makes the plan.

        Args:
            request: What is to run.
            steps: At least one; all but the last are held for a judgement.
            ratings: Judges held answers and takes others for a later rating.
            rollouts: Told when the request is over.
        """
        self.first_step = steps[0]
        """The version to begin with."""
        self.headers: dict[str, str] = {}
        """What the caller's answer tells of the plan."""
        self._request = request
        self._steps = steps
        self._ratings = ratings
        self._rollouts = rollouts

    async def judge(self, choice: Choice, answer: str) -> Choice | None:
        """Judges a held answer.

        Args:
            choice: The step that gave it.
            answer: Its text.

        Returns:
            The next step, or None when the answer is good enough. Without a judgement, the next
            step is taken, which is the safer of the two.
        """
        following = self.next_step(choice)
        if following is None or self._ratings is None:
            return following
        rated = self._rated(choice, answer, given=False)
        try:
            passed = await self._ratings.judge(rated)
        except RatingUnavailableError:
            return following
        return None if passed else following

    def next_step(self, choice: Choice) -> Choice | None:
        """Returns the step after one that failed; None when it was the last."""
        place = self._steps.index(choice) + 1
        return self._steps[place] if place < len(self._steps) else None

    def reserve_submission(self) -> bool:
        """Says whether an answer that is about to run is to be handed in for a later rating."""
        return self._ratings is not None and self._ratings.reserve_submission()

    def submit_answer(self, choice: Choice, answer: str, *, given: bool = True) -> None:
        """Hands an answer in for a later rating, and says whether the caller was given it."""
        if self._ratings:
            self._ratings.queue_answer(self._rated(choice, answer, given))
        if self._rollouts:
            self._rollouts.on_answer_submitted(self._request.account_id, choice.version_id)

    def finish(self) -> None:
        """Notes that the request is over, however it went."""
        if self._rollouts:
            self._rollouts.finish(self._request.id)

    def _rated(self, choice: Choice, answer: str, given: bool) -> RatingRequest:
        """Returns what the rating service is told of an answer."""
        request = self._request
        return RatingRequest(
            request_id=make_rating_id(request.id, self._steps.index(choice), given),
            account=request.account_id,
            kind=request.kind,
            version=choice.version_id,
            prompt=_prompt(request.body)[-TEXT_LIMIT_CHARACTERS:],
            answer=answer[:TEXT_LIMIT_CHARACTERS],
        )


def _prompt(body: dict[str, Any]) -> str:
    """Returns the text of a request's messages."""
    contents = [entry.get("content") for entry in body.get("messages", ())]
    return "\n".join(content for content in contents if isinstance(content, str))
