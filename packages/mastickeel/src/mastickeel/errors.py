"""Errors with stable codes; each message ends with the remedy."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """Whether the work of a refused or failed request was carried out."""

    NO = "no"
    """The work did not run anywhere, and will not."""
    UNKNOWN = "unknown"
    """The work may have run, or may still be running."""
    YES = "yes"
    """The work ran, but its answer could not be delivered."""


class MastickeelError(Exception):
    """The base of all errors that the system raises itself.

    Subclasses set the class attributes; an instance may override ``ran`` and ``retry_after_ms``.
    """

    code = "internal"
    """The stable code, also the last part of the problem type in answers to callers."""
    status = 500
    """The HTTP status of the answer that reports the error."""
    title = "Internal error"
    """A short text that is the same for every occurrence."""
    remedy = "Report the request id to the operators."
    """The action that resolves or avoids the error."""
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
        """Creates the error.

        Args:
            detail: Description of this occurrence; the title by default.
            remedy: A more precise remedy than that of the class.
            ran: Whether the work was carried out, where it differs from the value of the class.
            retry_after_ms: The time from now after which to retry, in milliseconds.
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
    """Raised when a request carries no key, or a key that belongs to no account."""

    code = "unauthorized"
    status = 401
    title = "The key is missing or unknown."
    remedy = "Send 'Authorization: Bearer <key>' with a key of the client account."


class ForbiddenError(MastickeelError):
    """Raised when the key is known but does not permit the request."""

    code = "forbidden"
    status = 403
    title = "Not permitted."
    remedy = "Ask an operator for the permission that the detail names."


class NotFoundError(MastickeelError):
    """Raised when the path, service or object does not exist."""

    code = "not_found"
    status = 404
    title = "The path or object does not exist."
    remedy = "Check the name; the detail says what was looked for."


class MethodNotAllowedError(MastickeelError):
    """Raised when a path exists but does not support the method."""

    code = "method_not_allowed"
    status = 405
    title = "The path does not support this method."
    remedy = "Use one of the methods that the detail lists."


class BodyTooLargeError(MastickeelError):
    """Raised when the body of a request is larger than the limit."""

    code = "body_too_large"
    status = 413
    title = "The body is larger than the limit."
    remedy = "Send a smaller body; the detail says how large it may be."


class UnavailableError(MastickeelError):
    """Raised when a request is refused temporarily, before any of its work ran."""

    code = "unavailable"
    status = 503
    title = "The request cannot be accepted at the moment."
    remedy = "Send it again after the time in Retry-After."


class NoVersionError(MastickeelError):
    """Raised when the account allows none of the live versions that fit the request."""

    code = "no_version"
    status = 409
    title = "No model and version is allowed and in use for this request."
    remedy = "Name a model from GET /v1/models, or ask an operator to allow one."


class ModelNotFoundError(NoVersionError):
    """Raised when the request names a model that does not exist."""

    code = "model_not_found"
    status = 404
    title = "The model does not exist."
    remedy = "Name a model from GET /v1/models, or 'auto'."


class EndpointError(MastickeelError):
    """Raised when every endpoint that was tried failed."""

    code = "endpoint_failed"
    status = 502
    title = "The endpoint failed."
    remedy = "Send the request again if it may be repeated."
    ran = ExecutionStatus.UNKNOWN


class OutcomeUnknownError(MastickeelError):
    """Raised when the answer to a call that must not be repeated was lost."""

    code = "outcome_unknown"
    status = 502
    title = "The call was sent, but its outcome is unknown."
    remedy = "Ask the service whether the call ran; until then, do not send it under a new key."
    ran = ExecutionStatus.UNKNOWN


class SettingsError(MastickeelError):
    """Raised when the settings have faults; the detail lists every fault."""

    code = "settings"
    title = "The settings have faults."
    remedy = "Correct each of the listed keys and start again."

    def __init__(self, faults: list[str]) -> None:
        """Creates the error.

        Args:
            faults: One line for each fault: the key, the value and the remedy.
        """
        self.faults = faults
        super().__init__("\n".join(faults))


class StoreError(MastickeelError):
    """The base of the errors in calls to the key-value service."""

    code = "store"
    status = 503
    title = "The key-value service did not carry out the call."
    remedy = "Wait until the key-value service answers again."


class StoreUnavailableError(StoreError):
    """Raised when a call to the key-value service certainly had no effect."""

    code = "store_unavailable"


class StoreOutcomeUnknownError(StoreError):
    """Raised when the answer to a call was lost, so that the call may have taken effect."""

    code = "store_outcome_unknown"
    remedy = "Read the key back to find out whether the call took effect."
    ran = ExecutionStatus.UNKNOWN


class StoreCompactedError(StoreError):
    """Raised when a watch or read names a revision that the store has compacted."""

    code = "store_compacted"
    remedy = "Read the snapshot and the log after the snapshot, then watch from the revision read."


class StoreEraChangedError(StoreCompactedError):
    """Raised when the store has come back from an older copy since the revision was read."""

    code = "store_era_changed"
    remedy = "List the keys again; revisions of the earlier era mean nothing."


class StoreBudgetError(StoreUnavailableError):
    """Raised when the instance has used up its own budget of calls per second."""

    code = "store_budget"
    title = "The budget of calls to the key-value service is used up."
    remedy = "Try again in a moment."
