"""Access of a scheduler to the Raft group of its domain."""

import typing

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import replication
from laburnumsill.state import jobs

PROPOSE_TIMEOUT_S = 2.0
"""Timeout of one attempt to commit a command, in seconds."""

RETRY_PAUSE_S = 0.1


class NotLeadingError(errors.UnavailableError):
    """This VM is not the leader of the domain's group any more."""

    slug = "not-leading"
    title = "This VM does not lead the group"


class DomainAccess:
    """Local replica, proposals and leadership of one domain's group."""

    def __init__(
        self,
        domain: str,
        groups: replication.Groups,
        clock: clocks.Clock,
    ) -> None:
        self._domain = domain
        self._group = ids.domain_group(domain)
        self._groups = groups
        self._clock = clock

    @property
    def domain(self) -> str:
        """The failure domain."""
        return self._domain

    @property
    def term(self) -> int:
        """The highest term that the local replica has seen."""
        return self._groups.term(self._group)

    @property
    def is_leader(self) -> bool:
        """Whether this VM leads the group and has a replica of it."""
        return self.machine is not None and self._groups.leads(self._group)

    @property
    def machine(self) -> replication.StateMachine | None:
        """The state machine of the local replica, or None."""
        return self._groups.local_state_machine(self._group)

    @property
    def ledger(self) -> jobs.JobLedger:
        """The job ledger of the local replica.

        Raises:
            NotLeadingError: This VM has no replica.
        """
        machine = self.machine
        if machine is None:
            raise NotLeadingError(f"no replica of {self._group!r} here")
        return typing.cast(jobs.JobLedger, machine.component("jobs"))

    async def propose(self, command: object) -> typing.Any:
        """Commits an idempotent command, retrying if the outcome is unknown.

        Raises:
            NotLeadingError: This VM is not the leader any more; the command
                may have been committed.
            errors.LaburnumsillError: The ledger refused it.
        """
        while True:
            if not self.is_leader:
                raise NotLeadingError(f"not leading {self._group!r}")
            deadline = self._clock.monotonic() + PROPOSE_TIMEOUT_S
            try:
                return await self._groups.propose(
                    self._group, command, deadline
                )
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                await trio.sleep(RETRY_PAUSE_S)
