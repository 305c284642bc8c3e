"""Limits what the submissions that a process forwards hold together.

A body grows when it is decoded and encoded for the core: a step of a dozen
bytes takes hundreds. The limits of bodies bound what arrives, not what becomes
of it.
"""

import contextlib
from collections import abc

from laburnumsill.core import errors

STEP_BYTES = 1_024
"""Memory of one step: decoded, as a part of the job, and encoded twice."""


class TooManySubmissionsError(errors.OverloadedError):
    """The submissions in progress need all memory that is for them."""

    slug = "too-many-submissions"
    title = "Too many large jobs are being submitted"
    default_retry_after_s = 1.0


class SubmissionBudget:
    """Bounds the memory of all submissions that are decoded.

    A submission that is alone is admitted at any size.

    Args:
        max_bytes: The limit.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @contextlib.contextmanager
    def holding(self, body: bytes) -> abc.Iterator[None]:
        """Holds the memory of a submission that is about to be decoded.

        Args:
            body: The submission, not decoded yet.

        Raises:
            TooManySubmissionsError: There is no room beside the others.
        """
        size = objects_at_most(body) * STEP_BYTES
        if self._held_bytes and self._held_bytes + size > self._max_bytes:
            raise TooManySubmissionsError(
                f"{self._held_bytes} bytes are held, {size} more are needed"
            )
        self._held_bytes += size
        try:
            yield
        finally:
            self._held_bytes -= size


def objects_at_most(body: bytes) -> int:
    r"""Returns the most objects that a JSON document may have.

    Examples:
        >>> objects_at_most(b'{"spec":"","steps":[{"count":1},{ "count":2}]}')
        3

        Braces before an escaped quote are part of a string:

        >>> objects_at_most(b'{"spec":"{\\"a\\":{\\"b\\":1}}","steps":[]}')
        1
    """
    return body.count(b"{") - body.count(b"{\\")
