"""Ids of jobs that were cancelled before a submission of theirs was applied.

A submission may be delayed while its caller gives up and cancels the job, so a
cancellation can be applied first. It is acknowledged, and then it must hold for
the submission that follows. The record of it is part of the ledger.

The number of records is bounded, as anyone with a key can cancel ids that never
existed. At a limit a cancellation is refused, since forgetting another one
would break what was acknowledged; each client account has a limit of its own.
A record expires like that of an ended job, after a time much longer than a
submission can be delayed.
"""

import collections
from collections import abc

import msgspec

from laburnumsill.batch import caller_commands
from laburnumsill.core import codec

MAX_RECORDS = 20_000
"""Limit of the records of all client accounts: about 5 MB of memory."""

MAX_RECORDS_OF_ACCOUNT = 2_000
"""Limit of the records of one client account."""


@codec.register("batch.withdrawal")
class Withdrawal(msgspec.Struct, frozen=True):
    """The cancellation of a job that was unknown.

    Attributes:
        account: Client account of the caller, "" if it is not known.
        at_ms: Time of the last cancellation, ms since 1970.
    """

    account: str
    at_ms: int


class WithdrawnJobs:
    """The withdrawn jobs, by id.

    Examples:
        >>> withdrawn = WithdrawnJobs()
        >>> withdrawn.add("j1", "a", 5)
        >>> withdrawn.check("j2")
        >>> withdrawn.check("j1")
        Traceback (most recent call last):
        ...
        laburnumsill.batch.caller_commands.JobWithdrawnError: 'j1' was cancelled
        >>> withdrawn.forget(6)
        >>> withdrawn.check("j1")
    """

    def __init__(self) -> None:
        self._records: dict[str, Withdrawal] = {}
        self._count: collections.Counter[str] = collections.Counter()

    @property
    def records(self) -> abc.Mapping[str, Withdrawal]:
        """All records, by job id."""
        return self._records

    def add(self, job_id: str, account: str, at_ms: int) -> None:
        """Records the cancellation of an unknown job.

        Raises:
            caller_commands.TooManyWithdrawnError: A limit is reached; nothing
                was recorded.
        """
        known = self._records.get(job_id)
        if known is not None:
            at_ms = max(at_ms, known.at_ms)
            self._records[job_id] = Withdrawal(known.account, at_ms)
            return
        of_account = self._count[account]
        if (
            of_account >= MAX_RECORDS_OF_ACCOUNT
            or len(self._records) >= MAX_RECORDS
        ):
            raise caller_commands.TooManyWithdrawnError(
                f"{of_account} of account {account!r}, {len(self._records)} "
                "in all"
            )
        self._records[job_id] = Withdrawal(account, at_ms)
        self._count[account] += 1

    def check(self, job_id: str) -> None:
        """Checks that a job may be accepted.

        Raises:
            caller_commands.JobWithdrawnError: It was cancelled before.
        """
        if job_id in self._records:
            raise caller_commands.JobWithdrawnError(f"{job_id!r} was cancelled")

    def has_expired(self, before_ms: int) -> bool:
        """Returns whether a record is older than a time, ms since 1970."""
        return any(
            record.at_ms < before_ms for record in self._records.values()
        )

    def forget(self, before_ms: int) -> None:
        """Deletes the records that are older than a time, ms since 1970."""
        self.load(
            {
                job_id: record
                for job_id, record in self._records.items()
                if record.at_ms >= before_ms
            }
        )

    def load(self, records: abc.Mapping[str, Withdrawal]) -> None:
        """Replaces all records."""
        self._records = dict(records)
        self._count = collections.Counter(
            record.account for record in records.values()
        )
