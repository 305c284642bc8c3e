"""The exception hierarchy.

Failures are raised as classes of this hierarchy. A class defines its stable
slug (the RFC 9457 ``type``), its HTTP status and its title; an instance adds
a human-readable detail and typed context for programs. Errors are sent
between VMs by slug, see `to_record` and `from_record`.
"""

import dataclasses
from typing import ClassVar

Context = str | int | float | bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorRecord:
    """The encodable form of an error, sent to other VMs."""

    slug: str
    detail: str
    retry_after_s: float | None
    context: dict[str, Context]


class LaburnumsillError(Exception):
    """Base class of all errors.

    Attributes:
        detail: A human-readable description with the offending value.
        retry_after_s: Seconds after which a retry may help, or None.
        context: Typed fields for programs, such as the accepted version.
    """

    slug: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    title: ClassVar[str] = "Internal error"
    default_retry_after_s: ClassVar[float | None] = None

    _by_slug: ClassVar[dict[str, type["LaburnumsillError"]]] = {}

    def __init__(
        self,
        detail: str,
        *,
        retry_after_s: float | None = None,
        **context: Context,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = (
            self.default_retry_after_s
            if retry_after_s is None
            else retry_after_s
        )
        self.context = context

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        LaburnumsillError._by_slug.setdefault(cls.slug, cls)

    def to_record(self) -> ErrorRecord:
        """Returns the encodable form of this error."""
        return ErrorRecord(
            self.slug, self.detail, self.retry_after_s, dict(self.context)
        )

    @staticmethod
    def from_record(record: ErrorRecord) -> "LaburnumsillError":
        """Returns the error of a record, as an instance of its class.

        Args:
            record: The result of `to_record`, possibly of another VM.

        Examples:
            >>> record = NotFoundError("no job j1", job="j1").to_record()
            >>> type(LaburnumsillError.from_record(record)).__name__
            'NotFoundError'
        """
        cls = LaburnumsillError._by_slug.get(record.slug, LaburnumsillError)
        return cls(
            record.detail,
            retry_after_s=record.retry_after_s,
            **record.context,
        )


class InvalidInputError(LaburnumsillError):
    """The request is invalid and can never be accepted unchanged."""

    slug = "invalid-input"
    status = 400
    title = "Invalid input"


class MissingKeyError(InvalidInputError):
    """A request lacks the required `Idempotency-Key`."""

    slug = "missing-key"
    title = "Idempotency-Key is required"


class KeyReusedError(InvalidInputError):
    """An `Idempotency-Key` was reused with another body."""

    slug = "key-reused"
    status = 422
    title = "Idempotency-Key was used with another body"


class UnknownNameError(InvalidInputError):
    """The configuration lacks a service, class, account or group."""

    slug = "unknown-name"
    status = 404
    title = "Unknown name"


class TooLargeError(InvalidInputError):
    """A body exceeds its size limit."""

    slug = "too-large"
    status = 413
    title = "Body too large"


class DeadlinePassedError(InvalidInputError):
    """The deadline of a request had passed when it arrived."""

    slug = "deadline-passed"
    title = "Deadline has passed"


class InvalidConfigurationError(InvalidInputError):
    """A configuration or settings file is invalid."""

    slug = "invalid-configuration"
    status = 422
    title = "Invalid configuration"


class JobImpossibleError(InvalidInputError):
    """A job exceeds the capacity of every failure domain."""

    slug = "job-impossible"
    status = 422
    title = "The job can never run"


class NotFoundError(LaburnumsillError):
    """The requested object does not exist."""

    slug = "not-found"
    status = 404
    title = "Not found"


class ConflictError(LaburnumsillError):
    """The request conflicts with the current state."""

    slug = "conflict"
    status = 409
    title = "ConflictError"


class VersionConflictError(ConflictError):
    """A configuration push expected another version than the one in force."""

    slug = "version-conflict"
    title = "Another configuration was accepted first"


class InProgressError(ConflictError):
    """The same request is in progress; its answer is not known yet."""

    slug = "in-progress"
    title = "The same request is in progress"
    default_retry_after_s = 1.0


class UnavailableError(LaburnumsillError):
    """The request was not and will not be executed; a retry may succeed."""

    slug = "unavailable"
    status = 503
    title = "UnavailableError"
    default_retry_after_s = 1.0


class NoQuorumError(UnavailableError):
    """A group has no leader that this VM can reach."""

    slug = "no-quorum"
    title = "The group has no reachable leader"


class PeerUnreachableError(UnavailableError):
    """A VM could not be reached; the message was certainly not sent."""

    slug = "peer-unreachable"
    title = "The VM cannot be reached"


class OverloadedError(UnavailableError):
    """A limit was reached, a queue is full, or a wait timed out."""

    slug = "overloaded"
    title = "OverloadedError"


class NoServerError(UnavailableError):
    """No backend server is available for the request."""

    slug = "no-server"
    title = "No backend server can take the request"


class OutcomeUnknownError(LaburnumsillError):
    """A request was sent and may have been executed; its outcome is lost."""

    slug = "outcome-unknown"
    status = 504
    title = "The outcome is unknown"


class ProposalLostError(OutcomeUnknownError):
    """A command was proposed and may or may not have been committed."""

    slug = "proposal-lost"
    status = 503
    title = "The command may or may not have been committed"
    default_retry_after_s = 1.0


class StorageError(LaburnumsillError):
    """A disk failure after which the process must not continue."""

    slug = "storage"
    title = "Storage failure"
