"""Stand-in for a service that rates answers, with sampling, delay and noise."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ._engine_faults import FaultStruct
from ._engine_http import StandinServer
from .plain import handle_faults_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

    from ._engine_http import Exchange

PASS_SCORE = 0.5


class RatingBody(msgspec.Struct):
    """Body of a rating request."""

    request_id: str
    """The id of the request whose answer is rated."""
    account: str
    """The client account."""
    kind: str
    """The kind of request."""
    version: str
    """The version of the model that answered."""
    prompt: str = ""
    """The prompt."""
    answer: str = ""
    """The answer."""


class RatingFaults(FaultStruct):
    """Faults of the rating stand-in, all off by default."""

    down: bool = False
    """Whether each connection is closed without a reply."""
    delay_ms: float = 0
    """Delay of each reply, in milliseconds."""
    wrong_shape: bool = False
    """Whether successful replies violate the API's format."""
    contradictory: bool = False
    """Whether each rating is listed twice, the second time with the opposite verdict."""


@dataclass(frozen=True)
class Rating:
    """Rating and the time from which it is listed."""

    body: RatingBody
    """The rating request."""
    score: float
    """The score, 0 to 1."""
    passed: bool
    """Whether the score reaches ``PASS_SCORE``."""
    due_ms: int
    """Monotonic time from which the rating is listed."""
    rated_ms: int
    """Wall-clock time from which the rating is listed."""

    def to_dict(self) -> dict[str, Any]:
        """Returns the rating in the API's form."""
        return {
            "request_id": self.body.request_id,
            "account": self.body.account,
            "kind": self.body.kind,
            "version": self.body.version,
            "score": self.score,
            "pass": self.passed,
            "rated_ms": self.rated_ms,
        }


class RatingStandin:
    """Rating service that derives its scores from a quality function of the test."""

    def __init__(
        self,
        clock: Clock,
        seed: int,
        quality: Callable[[str, str, str], float],
        sample: float = 1.0,
        noise: float = 0.0,
        late_ms: float = 0,
        bad_quality_by_model: dict[str, float] | None = None,
    ) -> None:
        """Creates a service that listens after ``start``.

        Args:
            clock: Source of time.
            seed: Seed of the sampling and the noise.
            quality: Returns the true quality, 0 to 1, for an account, kind and version.
            sample: Fraction of answers that are rated.
            noise: Standard deviation of a score.
            late_ms: Delay from a request until its rating is listed, in milliseconds.
            bad_quality_by_model: Quality subtracted by version, read at each rating; tests pass an
                engine stand-in's fault of the same name.
        """
        self.faults = RatingFaults()
        """Faults, which a test may change at any time."""
        self.ratings: list[Rating] = []
        """All ratings in the order in which they are listed."""
        self.requests: list[RatingBody] = []
        """All rating requests, including those that the sampling left out."""
        self._clock = clock
        self._rng = random.Random(seed)
        self._quality = quality
        self._sample = sample
        self._noise = noise
        self._late_ms = late_ms
        self._bad_quality_by_model = {} if bad_quality_by_model is None else bad_quality_by_model
        self._server = StandinServer(self._handle)

    @property
    def port(self) -> int:
        """The TCP port; 0 before ``start``."""
        return self._server.port

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Binds the port and starts listening.

        Args:
            port: The port; 0 chooses a free port.
            host: The loopback address.
        """
        self._server.start(port, host)

    async def stop(self) -> None:
        """Closes the port and all connections and cancels the requests in progress."""
        await self._server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        """Handles a request, subject to the faults."""
        key = f"{exchange.request.method} {exchange.request.path}"
        if key == "POST /control/faults":
            await handle_faults_request(exchange, self.faults)
            return
        if self.faults.down:
            exchange.drop()
            return
        await self._clock.sleep(self.faults.delay_ms)
        try:
            status, value = self._make_reply(key, exchange)
        except ValueError as error:
            status, value = 400, {"error": str(error)}
        if self.faults.wrong_shape and status < 300:
            value = {"result": [value]}
        await exchange.json(status, value)

    def _make_reply(self, key: str, exchange: Exchange) -> tuple[int, dict[str, Any]]:
        """Returns the status and body of the reply to a request."""
        if key == "GET /v1/ratings":
            return 200, self._list_after(int(exchange.request.arguments.get("after", [b"0"])[0]))
        if key not in ("POST /v1/ratings", "POST /v1/ratings/now"):
            return 404, {"error": "not found"}
        body = msgspec.json.decode(exchange.request.body, type=RatingBody)
        self.requests.append(body)
        if key == "POST /v1/ratings/now":
            rating = self._rate(body, 0)
            return 200, {"score": rating.score, "pass": rating.passed}
        self._record_rating(body)
        return 202, {"rating_id": f"rating-{len(self.requests)}"}

    def _record_rating(self, body: RatingBody) -> None:
        """Rates a sampled answer and adds its rating to the list."""
        if self._rng.random() >= self._sample:
            return
        rating = self._rate(body, self._late_ms)
        self.ratings.append(rating)
        if self.faults.contradictory:
            score = 1 - rating.score
            self.ratings.append(
                Rating(body, score, not rating.passed, rating.due_ms, rating.rated_ms)
            )

    def _rate(self, body: RatingBody, late_ms: float) -> Rating:
        """Returns the rating of an answer, due after a delay in milliseconds."""
        quality = self._quality(body.account, body.kind, body.version)
        quality -= self._bad_quality_by_model.get(body.version, 0.0)
        score = min(1.0, max(0.0, self._rng.gauss(quality, self._noise)))
        return Rating(
            body=body,
            score=score,
            passed=score >= PASS_SCORE,
            due_ms=self._clock.now() + int(late_ms),
            rated_ms=self._clock.wall() + int(late_ms),
        )

    def _list_after(self, cursor: int) -> dict[str, Any]:
        """Returns the due ratings after a cursor and the next cursor, in the API's form."""
        now = self._clock.now()
        due = [rating for rating in self.ratings if rating.due_ms <= now]
        return {"ratings": [rating.to_dict() for rating in due[cursor:]], "cursor": len(due)}
