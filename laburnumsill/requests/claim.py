"""The filter claim: gets the right to run a request that may run once only.

A proposal may be lost: then the same attempt is proposed again. A VM that
gives up on its claim before it was granted sends nothing, and settles the
attempt as not run in the background, so that a late commit of the lost
proposal cannot hold up a resend.
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

CLAIM_PATIENCE_S = 1.5
"""Longest wait for a claim, which bridges the election of a leader."""

SETTLE_GRACE_S = 2.0
"""Time after a request's deadline in which its end may still be recorded."""

_PAUSE_S = 0.05


class ClaimFilter:
    """Claims requests in their home groups.

    Args:
        local_vm: This VM.
        groups: The replicated groups.
        settler: Records attempts that were given up.
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
        """Returns what the home group says to a fresh attempt.

        Where the attempt was granted, the caller must send it or settle it.

        Raises:
            messages.HomeUnreachableError: The home group gave no answer or
                takes no new claims; this VM sends nothing.
            errors.KeyReusedError: The key belongs to another request.
        """
        attempt = ids.fresh("att")
        end = self._clock.wall_deadline(request.deadline) + SETTLE_GRACE_S
        command = claim_records.ClaimRequest(
            request.claim_key,
            request.digest,
            attempt,
            self._local_vm.vm_id,
            self._clock.wall_deadline(request.arrived),
            self._clock.wall(),
            end,
            end + retention_s,
        )
        until = min(
            request.deadline,
            self._clock.monotonic() + CLAIM_PATIENCE_S,
            request.arrived + claim_records.CLAIM_WINDOW_S,
        )
        granted = False
        lost = False
        try:
            while True:
                try:
                    status = await self._propose(group, command, until)
                    granted = status.granted
                    return status
                except errors.UnavailableError as error:
                    raise _unreachable(error) from error
                except errors.ProposalLostError as error:
                    lost = True
                    if self._clock.monotonic() + _PAUSE_S >= until:
                        raise _unreachable(error) from error
                await trio.sleep(_PAUSE_S)
        finally:
            if lost and not granted:
                self._settler.later(
                    group, settle.not_run(command, self._clock.wall())
                )

    async def refuse(
        self, request: messages.RoutedRequest, group: str
    ) -> claim_records.ClaimStatus:
        """Returns what is known of a key whose request is not to be run.

        Where that is "not run", no send that has arrived by now will run.

        Raises:
            messages.HomeUnreachableError: The home group gave no answer.
            errors.KeyReusedError: The key belongs to another request.
        """
        command = claim_records.RefuseRequest(
            request.claim_key, request.digest, self._clock.wall()
        )
        until = self._clock.monotonic() + claim_records.REFUSE_PATIENCE_S
        try:
            status: claim_records.ClaimStatus = await self._groups.propose(
                group, command, until
            )
        except (errors.UnavailableError, errors.ProposalLostError) as error:
            raise _unreachable(error) from error
        if self._clock.monotonic() > until:
            raise messages.HomeUnreachableError("the home group was too slow")
        return status

    async def _propose(
        self, group: str, command: claim_records.ClaimRequest, until: float
    ) -> claim_records.ClaimStatus:
        status: claim_records.ClaimStatus = await self._groups.propose(
            group, command, until
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
