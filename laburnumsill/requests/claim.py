"""The claim filter: acquires the right to run an at-most-once request.

A lost proposal is retried with the same attempt id. If the claim is not
granted in time, the VM sends nothing and settles the attempt as not run in
the background, so that a late commit of the lost proposal does not block
resends.
"""

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.requests import messages
from laburnumsill.requests import settle
from laburnumsill.state import claim_records

CLAIM_TIMEOUT_S = 1.5
"""Timeout for a claim, long enough for a leader election."""

SETTLE_GRACE_S = 2.0
"""Time after a request's deadline within which its outcome may be recorded."""

_RETRY_INTERVAL_S = 0.05


class ClaimFilter:
    """Claims requests in their home groups.

    Args:
        local_vm: This VM.
        groups: The replicated groups.
        settler: Records abandoned attempts as not run.
        clock: The process's clock.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        groups: replication.Groups,
        settler: settle.Settler,
        clock: clocks.Clock,
    ) -> None:
        self._local_vm = local_vm
        self._groups = groups
        self._settler = settler
        self._clock = clock

    async def claim(
        self,
        request: messages.RoutedRequest,
        group: str,
        retention_s: float,
    ) -> claim_records.ClaimStatus:
        """Claims a request with a new attempt and returns the claim's status.

        If the claim is granted, the caller must run and settle the attempt.

        Raises:
            messages.HomeUnreachableError: The home group did not answer or
                accepts no new claims; this VM sends nothing.
            errors.KeyReusedError: The key belongs to another request.
        """
        attempt = ids.fresh("att")
        attempt_deadline = (
            self._clock.wall_deadline(request.deadline) + SETTLE_GRACE_S
        )
        command = claim_records.ClaimRequest(
            request.claim_key,
            request.digest,
            attempt,
            self._local_vm.vm_id,
            self._clock.wall_deadline(request.arrived_at),
            self._clock.wall(),
            attempt_deadline,
            attempt_deadline + retention_s,
        )
        propose_deadline = min(
            request.deadline,
            self._clock.monotonic() + CLAIM_TIMEOUT_S,
            request.arrived_at + claim_records.MAX_CLAIM_AGE_S,
        )
        granted = False
        maybe_committed = False
        try:
            while True:
                try:
                    status = await self._propose(
                        group, command, propose_deadline
                    )
                    granted = status.granted
                    return status
                except errors.UnavailableError as error:
                    raise _unreachable(error) from error
                except errors.ProposalLostError as error:
                    maybe_committed = True
                    if (
                        self._clock.monotonic() + _RETRY_INTERVAL_S
                        >= propose_deadline
                    ):
                        raise _unreachable(error) from error
                await trio.sleep(_RETRY_INTERVAL_S)
        finally:
            if maybe_committed and not granted:
                self._settler.record_later(
                    group, settle.not_run_command(command, self._clock.wall())
                )

    async def refuse(
        self, request: messages.RoutedRequest, group: str
    ) -> claim_records.ClaimStatus:
        """Fences off a key whose request will not be run; returns its status.

        If the status is "not run", no send that has arrived by now will run.

        Raises:
            messages.HomeUnreachableError: The home group did not answer.
            errors.KeyReusedError: The key belongs to another request.
        """
        command = claim_records.RefuseRequest(
            request.claim_key, request.digest, self._clock.wall()
        )
        propose_deadline = (
            self._clock.monotonic() + claim_records.REFUSE_TIMEOUT_S
        )
        try:
            status: claim_records.ClaimStatus = await self._groups.propose(
                group, command, propose_deadline
            )
        except (errors.UnavailableError, errors.ProposalLostError) as error:
            raise _unreachable(error) from error
        if self._clock.monotonic() > propose_deadline:
            raise messages.HomeUnreachableError("the home group was too slow")
        return status

    async def _propose(
        self,
        group: str,
        command: claim_records.ClaimRequest,
        propose_deadline: float,
    ) -> claim_records.ClaimStatus:
        status: claim_records.ClaimStatus = await self._groups.propose(
            group, command, propose_deadline
        )
        logs.decision(
            "claim",
            group=group,
            attempt=command.attempt,
            granted=status.granted,
            state=status.state,
        )
        return status


def _unreachable(
    error: errors.LaburnumsillError,
) -> messages.HomeUnreachableError:
    return messages.HomeUnreachableError(
        f"nothing was sent; an earlier send of the key may have run:"
        f" {error.detail}"
    )
