"""Errors of the command-line tool and their exit codes.

| code | meaning |
|---|---|
| 0 | done |
| 1 | refused or failed; nothing else was done; the problem is printed |
| 2 | bad usage, or an invalid file |
| 3 | no VM answered; nothing was done |
| 4 | the outcome is unknown: the command may have been executed |
"""

from laburnumsill.core import errors

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NO_VM = 3
EXIT_UNKNOWN = 4
EXIT_INTERRUPTED = 130

UNKNOWN_SLUGS = frozenset(
    {errors.OutcomeUnknownError.slug, errors.ProposalLostError.slug}
)
"""Slugs of the problems whose outcome is unknown."""


class UsageError(errors.InvalidInputError):
    """A command-line argument is missing or invalid."""

    slug = "usage"
    title = "Bad usage"


class NoVmAnsweredError(errors.LaburnumsillError):
    """No VM could be reached; the call was sent to none."""

    slug = "no-vm-answered"
    status = 503
    title = "No VM answered"


class UnansweredError(errors.OutcomeUnknownError):
    """A call was sent and its outcome is unknown."""

    slug = "unanswered"
    title = "The outcome is unknown"


class RefusedError(errors.LaburnumsillError):
    """A VM answered with a problem.

    Attributes:
        problem: The slug of the problem.
    """

    slug = "refused"
    title = "Refused"

    def __init__(
        self,
        detail: str,
        *,
        retry_after_s: float | None = None,
        **context: errors.Context,
    ) -> None:
        super().__init__(detail, retry_after_s=retry_after_s, **context)
        self.problem = str(context.get("problem", ""))


class NotAllGoodError(errors.LaburnumsillError):
    """A check failed for some VMs, or for the site."""

    slug = "not-all-good"
    title = "Not all is well"


def exit_code(error: errors.LaburnumsillError) -> int:
    """Returns the exit code for an error.

    Examples:
        >>> exit_code(UsageError("--tasks: got 'x', expected a number"))
        2
    """
    if isinstance(error, UsageError | errors.InvalidConfigurationError):
        return EXIT_USAGE
    if isinstance(error, NoVmAnsweredError):
        return EXIT_NO_VM
    if isinstance(error, errors.OutcomeUnknownError):
        return EXIT_UNKNOWN
    if isinstance(error, RefusedError) and error.problem in UNKNOWN_SLUGS:
        return EXIT_UNKNOWN
    return EXIT_REFUSED
