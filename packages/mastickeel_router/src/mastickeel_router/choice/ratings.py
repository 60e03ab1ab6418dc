"""Client of the rating service: immediate judgements, and answers submitted for later rating."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.httpmessages import HttpRequest, Timeouts
from mastickeel.logs import log

if TYPE_CHECKING:
    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.httpmessages import HttpAnswer
    from mastickeel.metrics import Metrics

JUDGE_TIMEOUT_MS = 2_000
CALL_TIMEOUT_MS = 5_000
FAILURES_TO_OPEN = 3
OPEN_MS = 10_000
"""Time that no calls are sent to the service after FAILURES_TO_OPEN consecutive failures."""
QUEUE_LIMIT = 200
"""Maximum number of answers that wait to be submitted."""
SUBMISSIONS_PER_SECOND = 5.0
TEXT_LIMIT_CHARACTERS = 32_768
STEP_SEPARATOR = "#"
"""Separates the request's id from the step in the id of a rating."""
WITHHELD_MARK = "k"
"""Follows the step of an answer that was not delivered to the caller."""

RATINGS_DOWN = define_event(
    1400,
    "ratings_down",
    "warning",
    "Calls to the rating service fail; no answers are judged until the next attempt.",
)
RATING_SKIPPED = define_event(
    1401, "rating_skipped", "warning", "An entry of the ratings log is malformed; skipped."
)


class RatingUnavailableError(MastickeelError):
    """Raised when the rating service gave no usable reply."""

    code = "rating_unavailable"
    status = 503
    title = "The rating service gave no usable reply."
    remedy = "Check the rating service; requests are served without it meanwhile."


@dataclass(frozen=True)
class RatingRequest:
    """An answer submitted to the rating service."""

    request_id: str
    """The request's id and the step of the cascade, as ``make_rating_id`` joins them."""
    account: str
    kind: str
    version: str
    prompt: str = ""
    answer: str = ""


@dataclass(frozen=True)
class _Judgement:
    """An immediate judgement of an answer."""

    score: float
    passed: bool


@dataclass(frozen=True)
class RatingEntry:
    """One entry of the ratings log."""

    request_id: str
    account: str
    kind: str
    version: str
    passed: bool


@dataclass(frozen=True)
class RatingPage:
    """Entries of the ratings log after a cursor; None for a malformed one."""

    ratings: tuple[RatingEntry | None, ...]
    cursor: int
    """The service's cursor at the end of the page."""


@dataclass(frozen=True)
class RatedStep:
    """The step of a cascade whose answer is rated."""

    number: int = 0
    """Index of the step in the cascade, from 0."""
    delivered: bool = True
    """Whether the answer was delivered to the caller."""


def make_rating_id(request_id: str, number: int, delivered: bool) -> str:
    """Returns the id under which the answer of one step is rated.

    Args:
        request_id: Id of the request.
        number: Index of the step in the cascade, from 0.
        delivered: Whether the answer was delivered to the caller.
    """
    return f"{request_id}{STEP_SEPARATOR}{number}{'' if delivered else WITHHELD_MARK}"


def parse_rating_id(rating_id: str) -> RatedStep:
    """Parses the step from the id of a rating; any other id means a delivered first step."""
    _, mark, step = rating_id.rpartition(STEP_SEPARATOR)
    number = step.removesuffix(WITHHELD_MARK)
    if not mark or not number.isdecimal():
        return RatedStep()
    return RatedStep(int(number), not step.endswith(WITHHELD_MARK))


class RatingClient:
    """Calls the rating service, with a circuit breaker for consecutive failures."""

    def __init__(
        self, http: HttpClient, address: Address | None, *, clock: Clock, metrics: Metrics
    ) -> None:
        """Creates the client.

        Args:
            http: Sends the calls.
            address: Address of the service; None when no service is configured.
            clock: Measures the calls and the breaker's open time.
            metrics: Counts submitted answers and failures.
        """
        self.judge_ms = 0.0
        """Moving average of the duration of a judgement."""
        self._http = http
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._failures = 0
        self._open_until_ms = 0
        self._queue: deque[RatingRequest] = deque(maxlen=QUEUE_LIMIT)
        self._submission_tokens = SUBMISSIONS_PER_SECOND
        self._refilled_ms = clock.now()

    @property
    def available(self) -> bool:
        """Whether a service is configured and the circuit breaker is closed."""
        return self._address is not None and self._clock.now() >= self._open_until_ms

    def reserve_submission(self) -> bool:
        """Reserves one submission from the rate budget; returns whether one was available."""
        if self._address is None:
            return False
        now = self._clock.now()
        refill = (now - self._refilled_ms) * SUBMISSIONS_PER_SECOND / 1_000
        self._submission_tokens = min(SUBMISSIONS_PER_SECOND, self._submission_tokens + refill)
        self._refilled_ms = now
        if self._submission_tokens < 1:
            return False
        self._submission_tokens -= 1
        return True

    def queue_answer(self, request: RatingRequest) -> None:
        """Queues an answer for a later rating, dropping the oldest when the queue is full."""
        self._queue.append(request)

    async def judge(self, request: RatingRequest) -> bool:
        """Returns the service's immediate judgement whether an answer passes.

        Raises:
            RatingUnavailableError: When the service gave no usable reply in time.
        """
        started_ms = self._clock.now()
        answer = await self._call("POST", "/v1/ratings/now", request, JUDGE_TIMEOUT_MS)
        judgement = _decode_judgement(answer)
        if judgement is None:
            self._record_failure("malformed judgement")
            raise RatingUnavailableError("The judgement is malformed.")
        self._failures = 0
        self.judge_ms += 0.1 * (self._clock.now() - started_ms - self.judge_ms)
        return judgement.passed

    async def fetch_page(self, cursor: int) -> RatingPage:
        """Fetches the page of the ratings log after a cursor.

        Raises:
            RatingUnavailableError: When the service gave no usable reply.
        """
        answer = await self._call("GET", f"/v1/ratings?after={cursor}", None, CALL_TIMEOUT_MS)
        return decode_page(answer.body)

    async def run(self) -> None:
        """Submits queued answers at a steady rate until cancelled."""
        while True:
            await self._clock.sleep(1_000 / SUBMISSIONS_PER_SECOND)
            if not self._queue or not self.available:
                continue
            try:
                await self._call("POST", "/v1/ratings", self._queue.popleft(), CALL_TIMEOUT_MS)
                self._metrics.count("choice.answers_handed_in")
            except RatingUnavailableError:
                self._metrics.count("choice.answers_not_handed_in")

    async def _call(
        self, method: str, path: str, content: RatingRequest | None, timeout_ms: int
    ) -> HttpAnswer:
        """Sends one call to the service and records its failure.

        Raises:
            RatingUnavailableError: When no service is configured, the breaker is open, or the call
                failed or timed out.
        """
        if self._address is None or not self.available:
            raise RatingUnavailableError(
                "The rating service is not configured, or its circuit breaker is open."
            )
        headers = {"Content-Type": "application/json"}
        request = HttpRequest(
            method, path, headers, msgspec.json.encode(content) if content else b""
        )
        timeouts = Timeouts(first_byte_ms=timeout_ms, between_bytes_ms=timeout_ms)
        try:
            pending_answer = self._http.call(self._address, request, timeouts)
            answer = await self._clock.wait_for(pending_answer, timeout_ms)
        except (MastickeelError, TimeoutError) as error:
            self._record_failure(str(error))
            raise RatingUnavailableError(str(error)) from error
        if answer.status >= 300:
            self._record_failure(f"status {answer.status}")
            raise RatingUnavailableError(f"{path} answered {answer.status}.")
        return answer

    def _record_failure(self, error: str) -> None:
        """Counts a failure; opens the circuit breaker after consecutive ones."""
        self._failures += 1
        self._metrics.count("choice.rating_failures")
        if self._failures >= FAILURES_TO_OPEN:
            self._failures = 0
            self._open_until_ms = self._clock.now() + OPEN_MS
            log(RATINGS_DOWN, error=error)


def decode_page(data: bytes) -> RatingPage:
    """Decodes a page of the ratings log.

    Raises:
        RatingUnavailableError: When the page as a whole is malformed.
    """
    try:
        page = decode_json(data)
        cursor, ratings = page["cursor"], page["ratings"]
    except (msgspec.DecodeError, TypeError, KeyError) as error:
        raise RatingUnavailableError("The page of ratings is malformed.") from error
    if type(cursor) is not int or cursor < 0 or not isinstance(ratings, list):
        raise RatingUnavailableError("The page of ratings is malformed.")
    return RatingPage(tuple(_decode_entry(entry) for entry in ratings), cursor)


def _decode_entry(entry: object) -> RatingEntry | None:
    """Decodes one entry of the log; None when it is malformed."""
    if isinstance(entry, dict) and type(entry.get("pass")) is bool:
        texts = {name: entry.get(name) for name in ("request_id", "account", "kind", "version")}
        if all(isinstance(text, str) and text for text in texts.values()):
            return msgspec.convert({**texts, "passed": entry["pass"]}, RatingEntry)
    log(RATING_SKIPPED, entry=repr(entry)[:200])
    return None


def _decode_judgement(answer: HttpAnswer) -> _Judgement | None:
    """Decodes a judgement; None when it is malformed."""
    try:
        judgement = decode_json(answer.body)
    except msgspec.DecodeError:
        return None
    if not isinstance(judgement, dict) or type(judgement.get("pass")) is not bool:
        return None
    score = judgement.get("score", 0.0)
    return _Judgement(score if isinstance(score, float) else 0.0, judgement["pass"])
