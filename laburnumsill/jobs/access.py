"""A scheduler's access to its domain's group."""

import typing

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import replication
from laburnumsill.state import jobs

PROPOSE_TIMEOUT_S = 2.0
"""Time for one attempt to commit a command, in seconds."""

RETRY_PAUSE_S = 0.1


class NotLeadingError(errors.UnavailableError):
    """This VM does not lead the domain's group any more."""

    slug = "not-leading"
    title = "This VM does not lead the group"


class DomainAccess:
    """The replica, the proposals and the lead of one domain's group."""

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
        """The newest term seen."""
        return self._groups.term(self._group)

    @property
    def leads(self) -> bool:
        """Whether this VM leads the group and has a replica of it."""
        return self.machine is not None and self._groups.leads(self._group)

    @property
    def machine(self) -> replication.StateMachine | None:
        """This VM's replica, or None."""
        return self._groups.local_state_machine(self._group)

    @property
    def ledger(self) -> jobs.JobLedger:
        """The job ledger of this VM's replica.

        Raises:
            NotLeadingError: There is no replica here.
        """
        machine = self.machine
        if machine is None:
            raise NotLeadingError(f"no replica of {self._group!r} here")
        return typing.cast(jobs.JobLedger, machine.component("jobs"))

    async def propose(self, command: object) -> typing.Any:
        """Commits an idempotent command, again while its fate is unknown.

        Raises:
            NotLeadingError: This VM leads no more; the command may have been
                committed.
            errors.LaburnumsillError: The ledger refused it.
        """
        while True:
            if not self.leads:
                raise NotLeadingError(f"not leading {self._group!r}")
            deadline = self._clock.monotonic() + PROPOSE_TIMEOUT_S
            try:
                return await self._groups.propose(
                    self._group, command, deadline
                )
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                await trio.sleep(RETRY_PAUSE_S)
