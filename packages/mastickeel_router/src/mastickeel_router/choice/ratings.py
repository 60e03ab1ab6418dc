"""The client of the rating service: judgements at once, and answers handed in for later."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

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
"""How long the service is left alone after failures in a row."""
QUEUE_LIMIT = 200
SUBMISSIONS_PER_SECOND = 5.0
TEXT_LIMIT_CHARACTERS = 32_768
STEP_SEPARATOR = "#"
WITHHELD_MARK = "k"

RATINGS_DOWN = define_event(
    1400, "ratings_down", "warning", "The rating service fails; answers are not held meanwhile."
)
RATING_SKIPPED = define_event(
    1401, "rating_skipped", "warning", "A rating has another shape; skipped."
)


class RatingUnavailableError(MastickeelError):
    """Raised when the rating service gave no usable answer."""

    code = "rating_unavailable"
    status = 503
    title = "The rating service gave no usable answer."
    remedy = "Look at the rating service; requests go on without it."


@dataclass(frozen=True)
class RatingRequest:
    """An answer that is to be rated."""

    request_id: str
    """The request's id, with the step of the cascade after STEP_MARK."""
    account: str
    kind: str
    version: str
    prompt: str = ""
    answer: str = ""


@dataclass(frozen=True)
class _Verdict:
    """A judgement at once."""

    score: float
    passed: bool


@dataclass(frozen=True)
class RatingEntry:
    """One rating of the log."""

    request_id: str
    account: str
    kind: str
    version: str
    passed: bool


@dataclass(frozen=True)
class RatingPage:
    """Ratings of the log after a cursor; None where one had another shape."""

    ratings: tuple[RatingEntry | None, ...]
    cursor: int


@dataclass(frozen=True)
class RatedStep:
    """The step of a cascade whose answer is rated."""

    number: int = 0
    delivered: bool = True
    """Whether the answer was given to the caller."""


def make_rating_id(request_id: str, number: int, given: bool) -> str:
    """Returns the id under which the answer of one step is rated."""
    return f"{request_id}{STEP_SEPARATOR}{number}{'' if given else WITHHELD_MARK}"


def parse_rating_id(rated_id: str) -> RatedStep:
    """Reads the step back; an id of another shape is taken for a single step."""
    _, mark, step = rated_id.rpartition(STEP_SEPARATOR)
    number = step.removesuffix(WITHHELD_MARK)
    if not mark or not number.isdecimal():
        return RatedStep()
    return RatedStep(int(number), not step.endswith(WITHHELD_MARK))


class RatingClient:
    """Speaks to the rating service, and leaves it alone while it fails."""

    def __init__(
        self, http: HttpClient, address: Address | None, *, clock: Clock, metrics: Metrics
    ) -> None:
        """Makes the client.

        Args:
            http: Sends the calls.
            address: Where the service listens; None when there is none.
            clock: Times the calls.
            metrics: Counts them.
        """
        self.judge_ms = 0.0
        """What a judgement takes, on average."""
        self._http = http
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._failures = 0
        self._open_until_ms = 0
        self._queue: deque[RatingRequest] = deque(maxlen=QUEUE_LIMIT)
        self._allowance = SUBMISSIONS_PER_SECOND
        self._allowance_ms = clock.now()

    @property
    def available(self) -> bool:
        """Whether a judgement can be expected."""
        return self._address is not None and self._clock.now() >= self._open_until_ms

    def reserve_submission(self) -> bool:
        """Takes one answer from the budget of answers that are handed in for rating."""
        if self._address is None:
            return False
        now = self._clock.now()
        gained = (now - self._allowance_ms) * SUBMISSIONS_PER_SECOND / 1_000
        self._allowance = min(SUBMISSIONS_PER_SECOND, self._allowance + gained)
        self._allowance_ms = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def queue_answer(self, rated: RatingRequest) -> None:
        """Queues an answer for a later rating; the oldest goes when the queue is full."""
        self._queue.append(rated)

    async def judge(self, rated: RatingRequest) -> bool:
        """Asks at once whether an answer passes.

        Raises:
            RatingUnavailableError: When there was no usable answer in time.
        """
        began_ms = self._clock.now()
        answer = await self._call("POST", "/v1/ratings/now", rated, JUDGE_TIMEOUT_MS)
        verdict = _decode_verdict(answer)
        if verdict is None:
            self._note_failure("a judgement of another shape")
            raise RatingUnavailableError("The judgement has another shape.")
        self._failures = 0
        self.judge_ms += 0.1 * (self._clock.now() - began_ms - self.judge_ms)
        return verdict.passed

    async def fetch_page(self, cursor: int) -> RatingPage:
        """Reads the log after a cursor.

        Raises:
            RatingUnavailableError: When there was no usable answer.
        """
        answer = await self._call("GET", f"/v1/ratings?after={cursor}", None, CALL_TIMEOUT_MS)
        return decode_page(answer.body)

    async def run(self) -> None:
        """Hands the queued answers in, for as long as the instance runs."""
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
        """Sends one call."""
        if self._address is None or not self.available:
            raise RatingUnavailableError("The rating service is not asked at the moment.")
        headers = {"Content-Type": "application/json"}
        request = HttpRequest(
            method, path, headers, msgspec.json.encode(content) if content else b""
        )
        waits = Timeouts(first_byte_ms=timeout_ms, between_bytes_ms=timeout_ms)
        try:
            work = self._http.call(self._address, request, waits)
            answer = await self._clock.wait_for(work, timeout_ms)
        except (MastickeelError, TimeoutError) as error:
            self._note_failure(str(error))
            raise RatingUnavailableError(str(error)) from error
        if answer.status >= 300:
            self._note_failure(f"status {answer.status}")
            raise RatingUnavailableError(f"{path} answered {answer.status}.")
        return answer

    def _note_failure(self, error: str) -> None:
        """Leaves the service alone after failures in a row."""
        self._failures += 1
        self._metrics.count("choice.rating_failures")
        if self._failures >= FAILURES_TO_OPEN:
            self._failures = 0
            self._open_until_ms = self._clock.now() + OPEN_MS
            log(RATINGS_DOWN, error=error)


def decode_page(data: bytes) -> RatingPage:
    """Reads a page of the log.

    Raises:
        RatingUnavailableError: When the page as a whole has another shape.
    """
    try:
        page = msgspec.json.decode(data)
        cursor, ratings = page["cursor"], page["ratings"]
    except (msgspec.DecodeError, TypeError, KeyError) as error:
        raise RatingUnavailableError("The ratings have another shape.") from error
    if type(cursor) is not int or cursor < 0 or not isinstance(ratings, list):
        raise RatingUnavailableError("The ratings have another shape.")
    return RatingPage(tuple(_decode_entry(entry) for entry in ratings), cursor)


def _decode_entry(entry: object) -> RatingEntry | None:
    """Reads one rating; None when it has another shape."""
    if isinstance(entry, dict) and type(entry.get("pass")) is bool:
        texts = {name: entry.get(name) for name in ("request_id", "account", "kind", "version")}
        if all(isinstance(text, str) and text for text in texts.values()):
            return msgspec.convert({**texts, "passed": entry["pass"]}, RatingEntry)
    log(RATING_SKIPPED, entry=repr(entry)[:200])
    return None


def _decode_verdict(answer: HttpAnswer) -> _Verdict | None:
    """Reads a judgement; None when it has another shape."""
    try:
        verdict = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return None
    if not isinstance(verdict, dict) or type(verdict.get("pass")) is not bool:
        return None
    score = verdict.get("score", 0.0)
    return _Verdict(score if isinstance(score, float) else 0.0, verdict["pass"])
