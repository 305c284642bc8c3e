"""Discovery of the VMs of the core, starting from seeds.

No daemon has a complete list of VMs. Every daemon knows the seeds in its
settings, which may be outdated or down, and queries the VMs that it has
discovered for those that they know.
"""

from collections import abc

import msgspec
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.wire import network as networks

POLL_INTERVAL_S = 1.0

MAX_POLL_INTERVAL_S = 8.0
"""Maximum poll interval of a VM outside the core, reached while its queries
yield no new VM. It is short enough to follow when the VMs of the core are
replaced one by one."""

QUERY_TIMEOUT_S = 0.5

REMOVE_AFTER_S = 60.0
"""Time without contact after which a VM is removed that is neither a member nor
a seed."""


@codec.register("directory.ask")
class CoreQuestion(msgspec.Struct, frozen=True):
    """Query for the VMs of the core that the recipient knows."""

    asker: str


@codec.register("directory.answer")
class CoreAnswer(msgspec.Struct, frozen=True):
    """The VMs of the core that the answering VM knows."""

    vms: tuple[str, ...]


class Directory:
    """The VMs of the core that this daemon has discovered.

    Args:
        local_vm_id: This VM's id among its peers.
        network: Connections to the peers.
        address_of: Returns the address on which a VM listens for its peers.
        members: Returns the VMs that the replicated state names.
        clock: The clock of this process.
        max_interval_s: Upper bound of the poll interval, which doubles while
            queries yield no new VM.
    """

    def __init__(
        self,
        local_vm_id: str,
        network: networks.PeerNetwork,
        address_of: abc.Callable[[str], str],
        members: abc.Callable[[], abc.Iterable[str]],
        clock: clocks.Clock,
        max_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._local_vm_id = local_vm_id
        self._network = network
        self._address_of = address_of
        self._members = members
        self._clock = clock
        self._max_interval_s = max_interval_s
        self._seeds: tuple[str, ...] = ()
        self._last_contact_at: dict[str, float] = {}
        self._next_index = 0

    @property
    def vms(self) -> tuple[str, ...]:
        """The other known VMs of the core, reachable ones first."""
        reachable = self._network.reachable()
        known = sorted(self._last_contact_at.keys() - {self._local_vm_id})
        return tuple(sorted(known, key=lambda vm: vm not in reachable))

    def answer_questions(self) -> None:
        """Registers the handler for queries of other daemons."""
        self._network.on_call(CoreQuestion, self._answer)

    def set_seeds(self, seeds: abc.Iterable[str]) -> None:
        """Replaces the seeds and adds them to the known VMs."""
        self._seeds = tuple(seeds)
        self.add(self._seeds)

    def add(self, vms: abc.Iterable[str]) -> bool:
        """Adds VMs to the known ones; returns whether any of them is new."""
        any_new = False
        for vm in vms:
            if vm == self._local_vm_id or vm in self._last_contact_at:
                continue
            self._last_contact_at[vm] = self._clock.monotonic()
            self._network.add_peer(vm, self._address_of(vm))
            logs.event("core-vm-learnt", peer=vm)
            any_new = True
        return any_new

    async def run(self) -> None:
        """Discovers and removes VMs until cancelled."""
        interval_s = POLL_INTERVAL_S
        while True:
            self.add(self._members())
            is_unchanged = await self._query_next()
            self._remove_lost()
            interval_s = 2 * interval_s if is_unchanged else POLL_INTERVAL_S
            interval_s = min(interval_s, self._max_interval_s)
            await trio.sleep(interval_s)

    async def _query_next(self) -> bool:
        """Queries the next reachable VM; returns whether it knew no new VM."""
        reachable = self._network.reachable()
        candidates = [
            vm for vm in sorted(self._last_contact_at) if vm in reachable
        ]
        if not candidates:
            return False
        self._next_index += 1
        vm = candidates[self._next_index % len(candidates)]
        deadline = self._clock.monotonic() + QUERY_TIMEOUT_S
        try:
            answer = await self._network.call(
                vm, CoreQuestion(self._local_vm_id), deadline
            )
        except errors.LaburnumsillError as error:
            logs.event(
                "core-question-failed", "DEBUG", peer=vm, reason=error.slug
            )
            return False
        return not self.add(answer.vms)

    async def _answer(self, question: CoreQuestion) -> CoreAnswer:
        members = tuple(self._members())
        reachable = self._network.reachable()
        reached_vms = (vm for vm in self._last_contact_at if vm in reachable)
        return CoreAnswer(tuple({self._local_vm_id, *members, *reached_vms}))

    def _remove_lost(self) -> None:
        now = self._clock.monotonic()
        reachable = self._network.reachable()
        permanent = {*self._seeds, *self._members()}
        for vm in list(self._last_contact_at):
            if vm in reachable or vm in permanent:
                self._last_contact_at[vm] = now
            elif now - self._last_contact_at[vm] > REMOVE_AFTER_S:
                del self._last_contact_at[vm]
                self._network.remove_peer(vm)
                logs.event("core-vm-forgotten", peer=vm)
