"""Operations of operators on failure domains, on any VM of the core."""

from collections import abc

from laburnumsill.batch import evacuations
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import replication


class DomainGateway:
    """Evacuates failure domains and takes them back.

    An order is acknowledged once it is committed. The state that it replaces is
    read first, with a quorum, and before the deadline until which its caller
    certainly waits. An order that was given after it has a later version, so an
    order that is committed late cannot revert that one.

    Args:
        group: The group whose state machine holds the ledger.
        groups: Access to the groups of this VM.
        domains: Returns the failure domains in the VM's settings.
        clock: The clock of this process.
    """

    def __init__(
        self,
        group: str,
        groups: replication.Groups,
        domains: abc.Callable[[], abc.Collection[str]],
        clock: clocks.Clock,
    ) -> None:
        self._group = group
        self._groups = groups
        self._domains = domains
        self._clock = clock

    async def evacuate(
        self, domain: str, deadline: float
    ) -> evacuations.DomainState:
        """Stops the placement of runs in a failure domain.

        Args:
            domain: The failure domain.
            deadline: Monotonic time until which the caller waits, counted from
                the arrival of the order; it gives no other order before.

        Raises:
            evacuations.UnknownFailureDomainError: The site has no such domain.
            evacuations.EvacuationConflictError: Another order came first.
            evacuations.OrderLateError: The caller may have left; nothing was
                changed.
            errors.LaburnumsillError: The order may have been applied.
        """
        return await self._set(domain, True, deadline)

    async def restore(
        self, domain: str, deadline: float
    ) -> evacuations.DomainState:
        """Takes a failure domain back; raises like `evacuate`."""
        return await self._set(domain, False, deadline)

    async def status(
        self, domain: str, deadline: float
    ) -> evacuations.DomainStatus:
        """Returns the confirmed status of a failure domain.

        Raises:
            evacuations.UnknownFailureDomainError: The site has no such domain.
            errors.UnavailableError: No confirmed answer came.
        """
        status: evacuations.DomainStatus = await self._groups.query(
            self._group, evacuations.DomainQuery(domain), deadline
        )
        is_known = status.has_workers or status.state.version > 0
        if not is_known and domain not in self._domains():
            raise evacuations.UnknownFailureDomainError(f"no domain {domain!r}")
        return status

    async def _set(
        self, domain: str, evacuated: bool, deadline: float
    ) -> evacuations.DomainState:
        before = await self.status(domain, deadline)
        if self._clock.monotonic() >= deadline:
            raise evacuations.OrderLateError(
                f"the state of {domain} was read too late"
            )
        order = evacuations.SetEvacuation(
            domain,
            evacuated,
            before.state.version,
            self._clock.wall_ms(),
            counts_always=True,
        )
        state: evacuations.DomainState = await self._groups.propose(
            self._group, order, deadline
        )
        logs.event(
            "domain-evacuated" if evacuated else "domain-restored",
            domain=domain,
            version=state.version,
            was_so=before.state.evacuated == evacuated,
            live_runs=before.runs,
            accelerators_left=before.accelerators_left,
        )
        return state
