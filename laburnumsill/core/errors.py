"""The exception tree.

Every failure that leaves a function has a type from this tree. A type owns
its stable slug (used as the RFC 9457 ``type``), its HTTP status and its
title; an instance adds a detail for people and typed context for programs.
Errors travel between VMs by slug, see `to_record` and `from_record`.
"""

import dataclasses
from typing import ClassVar

Context = str | int | float | bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorRecord:
    """An error in a form that can be encoded and sent to another VM."""

    slug: str
    detail: str
    retry_after_s: float | None
    context: dict[str, Context]


class LaburnumsillError(Exception):
    """The root of the tree.

    Attributes:
        detail: What went wrong, with the offending value.
        retry_after_s: Seconds after which a retry may help, or None.
        context: Typed fields for programs, such as the winning version.
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
        """Returns this error in its encodable form."""
        return ErrorRecord(
            self.slug, self.detail, self.retry_after_s, dict(self.context)
        )

    @staticmethod
    def from_record(record: ErrorRecord) -> "LaburnumsillError":
        """Returns the error that `record` describes, with its own type.

        Args:
            record: What `to_record` returned, maybe on another VM.

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
    """The caller sent something that can never be accepted as it stands."""

    slug = "invalid-input"
    status = 400
    title = "Invalid input"


class MissingKeyError(InvalidInputError):
    """An `Idempotency-Key` is needed and was not sent."""

    slug = "missing-key"
    title = "Idempotency-Key is required"


class KeyReusedError(InvalidInputError):
    """The same key came with another body."""

    slug = "key-reused"
    status = 422
    title = "Idempotency-Key was used with another body"


class UnknownNameError(InvalidInputError):
    """A service, class, account or group that the configuration lacks."""

    slug = "unknown-name"
    status = 404
    title = "Unknown name"


class TooLargeError(InvalidInputError):
    """A body over its limit."""

    slug = "too-large"
    status = 413
    title = "Body too large"


class DeadlinePassedError(InvalidInputError):
    """The request came with no time left."""

    slug = "deadline-passed"
    title = "Deadline has passed"


class InvalidConfigurationError(InvalidInputError):
    """A configuration or settings file that does not validate."""

    slug = "invalid-configuration"
    status = 422
    title = "Invalid configuration"


class JobImpossibleError(InvalidInputError):
    """A job that no failure domain could ever hold."""

    slug = "job-impossible"
    status = 422
    title = "The job can never run"


class NotFoundError(LaburnumsillError):
    """The named thing does not exist."""

    slug = "not-found"
    status = 404
    title = "Not found"


class ConflictError(LaburnumsillError):
    """The request clashes with the present state."""

    slug = "conflict"
    status = 409
    title = "ConflictError"


class VersionConflictError(ConflictError):
    """A configuration push expected another version than the one in force."""

    slug = "version-conflict"
    title = "Another configuration was accepted first"


class InProgressError(ConflictError):
    """The same request is being run; its answer is not known yet."""

    slug = "in-progress"
    title = "The same request is in progress"
    default_retry_after_s = 1.0


class UnavailableError(LaburnumsillError):
    """Nothing was done and nothing will be; a later retry may succeed."""

    slug = "unavailable"
    status = 503
    title = "UnavailableError"
    default_retry_after_s = 1.0


class NoQuorumError(UnavailableError):
    """A group has no leader that can be reached from here."""

    slug = "no-quorum"
    title = "The group has no reachable leader"


class PeerUnreachableError(UnavailableError):
    """A VM could not be reached; the message was certainly not sent."""

    slug = "peer-unreachable"
    title = "The VM cannot be reached"


class OverloadedError(UnavailableError):
    """A limit or a queue is full, or waiting took too long."""

    slug = "overloaded"
    title = "OverloadedError"


class NoServerError(UnavailableError):
    """No backend server can take the request."""

    slug = "no-server"
    title = "No backend server can take the request"


class OutcomeUnknownError(LaburnumsillError):
    """Something was sent and its outcome is lost; it may have happened."""

    slug = "outcome-unknown"
    status = 504
    title = "The outcome is unknown"


class ProposalLostError(OutcomeUnknownError):
    """A command was proposed and it is unknown whether it was committed."""

    slug = "proposal-lost"
    status = 503
    title = "The command may or may not have been committed"
    default_retry_after_s = 1.0


class StorageError(LaburnumsillError):
    """A disk failed in a way that the process must not go on from."""

    slug = "storage"
    title = "Storage failure"
