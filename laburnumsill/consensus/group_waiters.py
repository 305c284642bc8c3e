"""Waiters for the outcomes of proposals and linearizable reads."""

import trio

from laburnumsill.consensus import forwarded
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors


class Waiter:
    """A future for the outcome of one request, awaited by one task."""

    def __init__(self) -> None:
        self._done = trio.Event()
        self._outcome: forwarded.Outcome | None = None
        self._error: errors.LaburnumsillError | None = None

    def succeed(self, outcome: forwarded.Outcome) -> None:
        """Sets the outcome."""
        self._outcome = outcome
        self._done.set()

    def fail(self, error: errors.LaburnumsillError) -> None:
        """Sets the error to raise instead of an outcome."""
        self._error = error
        self._done.set()

    async def wait(
        self,
        deadline: float,
        clock: clocks.Clock,
        timeout_error: errors.LaburnumsillError,
    ) -> forwarded.Outcome:
        """Returns the outcome.

        Args:
            deadline: When to stop waiting, in monotonic seconds.
            clock: The clock of `deadline`.
            timeout_error: The error to raise at the deadline.

        Raises:
            errors.LaburnumsillError: The request failed, or `timeout_error`.
        """
        with trio.move_on_after(max(0.0, deadline - clock.monotonic())):
            await self._done.wait()
        if self._outcome is not None:
            return self._outcome
        raise self._error or timeout_error


class PendingProposals:
    """The waiters for proposed entries, matched by index and term."""

    def __init__(self, group: str) -> None:
        self._group = group
        self._waiting: dict[int, tuple[int, Waiter]] = {}

    def add(self, index: int, term: int) -> Waiter:
        """Returns a waiter for the entry proposed at `index` in `term`."""
        waiter = Waiter()
        self._waiting[index] = (term, waiter)
        return waiter

    def resolve(
        self, index: int, term: int, outcome: forwarded.Outcome
    ) -> None:
        """Resolves the waiter for `index` after an entry was applied there.

        It succeeds if the entry has the proposed term, and fails otherwise.
        """
        pending = self._waiting.pop(index, None)
        if pending is None:
            return
        proposed_term, waiter = pending
        if proposed_term == term:
            waiter.succeed(outcome)
        else:
            waiter.fail(
                errors.NoQuorumError(
                    f"{self._group}: another entry was committed at {index}"
                )
            )

    def fail(self, detail: str, up_to: int | None = None) -> None:
        """Fails waiters whose entries may or may not be committed.

        Args:
            detail: The reason.
            up_to: The highest index whose waiter fails, or None for all.
        """
        for index in list(self._waiting):
            if up_to is None or index <= up_to:
                _, waiter = self._waiting.pop(index)
                waiter.fail(
                    errors.ProposalLostError(f"{self._group}: {detail}")
                )


class PendingReads:
    """The queries that wait for a heartbeat round, by read id."""

    def __init__(self, group: str) -> None:
        self._group = group
        self._waiting: dict[int, tuple[object, Waiter]] = {}

    def add(self, read_id: int, query: object) -> Waiter:
        """Returns a waiter for the answer to `query`."""
        waiter = Waiter()
        self._waiting[read_id] = (query, waiter)
        return waiter

    def pop(self, read_id: int) -> tuple[object, Waiter] | None:
        """Removes and returns a query and its waiter."""
        return self._waiting.pop(read_id, None)

    def fail(self, read_id: int) -> None:
        """Fails a read that cannot be confirmed."""
        pending = self._waiting.pop(read_id, None)
        if pending is not None:
            pending[1].fail(
                errors.NoQuorumError(f"{self._group}: the lead was lost")
            )

    def fail_all(self) -> None:
        """Fails all reads."""
        for read_id in list(self._waiting):
            self.fail(read_id)
