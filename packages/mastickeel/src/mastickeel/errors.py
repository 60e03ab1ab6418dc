"""Errors with stable codes, each with the remedy in its message."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """Whether the work of a refused or broken request was carried out."""

    NO = "no"
    """It did not run anywhere, and will not."""
    UNKNOWN = "unknown"
    """It may have run, or may still be running."""
    YES = "yes"
    """It ran, but its answer could not be given."""


class MastickeelError(Exception):
    """The base of every error that the system raises on purpose.

    Subclasses set the class attributes; an instance may override ``ran`` and ``retry_after_ms``.
    """

    code = "internal"
    """The stable code, also the last part of the problem type that callers see."""
    status = 500
    """The HTTP status with which the error is answered."""
    title = "Internal error"
    """A short text that is the same for each occurrence."""
    remedy = "Report the request id to the operators."
    """What the reader can do about it."""
    ran = ExecutionStatus.NO
    """Whether the work was carried out."""

    def __init__(
        self,
        detail: str = "",
        *,
        remedy: str | None = None,
        ran: ExecutionStatus | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        """Makes the error.

        Args:
            detail: What happened this time.
            remedy: What to do, when the kind's own remedy can be made more precise.
            ran: Whether the work was carried out, when it differs from the kind's own.
            retry_after_ms: When to come back, in milliseconds from now.
        """
        self.detail = detail or self.title
        if remedy is not None:
            self.remedy = remedy
        if ran is not None:
            self.ran = ran
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{self.detail} {self.remedy}".strip())


class BadRequestError(MastickeelError):
    """Raised when a request's body or parameters cannot be understood."""

    code = "bad_request"
    status = 400
    title = "The request cannot be understood."
    remedy = "Correct the request as the detail says, and send it again."


class UnauthorizedError(MastickeelError):
    """Raised when a request carries no key, or one that no account has."""

    code = "unauthorized"
    status = 401
    title = "The key is missing or unknown."
    remedy = "Send 'Authorization: Bearer <key>' with a key of the client account."


class ForbiddenError(MastickeelError):
    """Raised when the key is known but does not permit what was asked."""

    code = "forbidden"
    status = 403
    title = "Not permitted."
    remedy = "Ask an operator for the permission that the detail names."


class NotFoundError(MastickeelError):
    """Raised when the path, service or object does not exist."""

    code = "not_found"
    status = 404
    title = "There is no such thing."
    remedy = "Check the name; the detail says what was looked for."


class MethodNotAllowedError(MastickeelError):
    """Raised when a path exists but does not answer the method."""

    code = "method_not_allowed"
    status = 405
    title = "The path does not answer this method."
    remedy = "Use one of the methods that the detail lists."


class BodyTooLargeError(MastickeelError):
    """Raised when a request's body is over the limit."""

    code = "body_too_large"
    status = 413
    title = "The body is over the limit."
    remedy = "Send a smaller body; the detail says how large it may be."


class UnavailableError(MastickeelError):
    """Raised when work is refused for now, before any of it ran."""

    code = "unavailable"
    status = 503
    title = "The request cannot be taken at the moment."
    remedy = "Send it again after the time in Retry-After."


class NoVersionError(MastickeelError):
    """Raised when no version in use is allowed for the request."""

    code = "no_version"
    status = 409
    title = "No model and version is allowed and in use for this request."
    remedy = "Name a model from GET /v1/models, or ask an operator to allow one."


class ModelNotFoundError(NoVersionError):
    """Raised when the request names a model that does not exist."""

    code = "model_not_found"
    status = 404
    title = "There is no such model."
    remedy = "Name a model from GET /v1/models, or 'auto'."


class EndpointError(MastickeelError):
    """Raised when every endpoint that was tried failed."""

    code = "endpoint_failed"
    status = 502
    title = "The endpoint failed."
    remedy = "Send the request again if it may be repeated."
    ran = ExecutionStatus.UNKNOWN


class OutcomeUnknownError(MastickeelError):
    """Raised when a call that may not be repeated was sent and its answer was lost."""

    code = "outcome_unknown"
    status = 502
    title = "The call was sent, and its outcome is not known."
    remedy = "Ask the service whether it ran; do not send the call under a new key before that."
    ran = ExecutionStatus.UNKNOWN


class SettingsError(MastickeelError):
    """Raised when the settings have faults; the detail lists all of them."""

    code = "settings"
    title = "The settings have faults."
    remedy = "Correct each of the listed keys and start again."

    def __init__(self, faults: list[str]) -> None:
        """Makes the error.

        Args:
            faults: One line a fault: the key, the value and the remedy.
        """
        self.faults = faults
        super().__init__("\n".join(faults))


class StoreError(MastickeelError):
    """The base of the errors of the key-value service."""

    code = "store"
    status = 503
    title = "The key-value service did not carry out the call."
    remedy = "Wait until the key-value service answers again."


class StoreUnavailableError(StoreError):
    """Raised when a call to the key-value service surely had no effect."""

    code = "store_unavailable"


class StoreOutcomeUnknownError(StoreError):
    """Raised when a call was sent and its answer was lost: it may have taken effect."""

    code = "store_outcome_unknown"
    remedy = "Read the key back before deciding."
    ran = ExecutionStatus.UNKNOWN


class StoreCompactedError(StoreError):
    """Raised when a watch or read asks for a revision that has been compacted away."""

    code = "store_compacted"
    remedy = "Read the snapshot and the log after it, then watch from there."


class StoreBudgetError(StoreUnavailableError):
    """Raised when the instance's own budget of calls a second is used up."""

    code = "store_budget"
    title = "The budget of calls to the key-value service is used up."
    remedy = "Try again in a moment."
