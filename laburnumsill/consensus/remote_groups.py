"""Access to the replicated groups from a VM that hosts no replica."""

import functools
import typing
from collections import abc

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import leader_forwarder
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

MAX_CALL_TIMEOUT_S = 0.3
"""Upper limit of the timeout of a call to one VM, in seconds, after which
another VM is called. A commit takes 10 to 20 ms, or a few hundred milliseconds
on a slow disk."""


class RemoteGroups(replication.Groups):
    """Forwards commands and queries to the leaders of the groups.

    Args:
        local_vm: The id of this VM.
        peers: The connections to the other VMs.
        clock: The clock of this process.
        replica_vms: Returns the VMs that may host replicas.
    """

    def __init__(
        self,
        local_vm: str,
        peers: replication.Peers,
        clock: clocks.Clock,
        replica_vms: abc.Callable[[], abc.Sequence[str]],
    ) -> None:
        self._clock = clock
        self._get_replica_vms = replica_vms
        self._forwarder = leader_forwarder.Forwarder(
            local_vm,
            peers,
            clock,
            lambda _: None,
            self._replica_vms,
            MAX_CALL_TIMEOUT_S,
        )

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command; see the base class."""
        wall = self._clock.wall_deadline(deadline)
        raw = codec.encode(command)
        message = forwarded.ForwardedProposal(group, raw, wall)
        request = self._leader_request(
            group, message, deadline, read_only=False
        )
        return await self._forwarder.forward(request)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query; see the base class."""
        wall = self._clock.wall_deadline(deadline)
        raw = codec.encode(query)
        message = forwarded.ForwardedQuery(group, raw, wall)
        request = self._leader_request(group, message, deadline, read_only=True)
        return await self._forwarder.forward_query(request)

    def leads(self, group: str) -> bool:
        """Returns False, since this VM hosts no replica."""
        return False

    def term(self, group: str) -> int:
        """Returns 0, since this VM hosts no replica."""
        return 0

    def local_state_machine(self, group: str) -> None:
        """Returns None, since this VM hosts no replica."""
        return

    def _leader_request(
        self, group: str, message: object, deadline: float, read_only: bool
    ) -> leader_forwarder.LeaderRequest:
        run_locally = functools.partial(_no_local_replica, group)
        return leader_forwarder.LeaderRequest(
            group, message, run_locally, deadline, read_only
        )

    def _replica_vms(self, group: str) -> abc.Sequence[str]:
        replica_vms = self._get_replica_vms()
        if not replica_vms:
            raise errors.NoQuorumError(f"no VM of group {group!r} is known")
        return replica_vms


async def _no_local_replica(group: str, deadline: float) -> forwarded.Outcome:
    raise engine_errors.NotLeaderError(f"no replica of {group!r} is here")
