"""Leadership of an emulated site: the actual leader and each VM's view."""

import contextlib
import dataclasses
import typing
from collections import abc

import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

COMMIT_S = 0.009
"""Two one-way trips of half a millisecond and an fsync of 6 ms."""

STALE_VIEW_S = 0.2
"""Time from the resumption of a suspended VM until its view is current."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StaleView:
    """The leadership as a suspended VM last saw it.

    Attributes:
        leader: The leader at the time of the suspension.
        term: The term at that time.
        since: Time of the suspension, by the loop's clock.
        resumed: Set when the VM resumes.
    """

    leader: str
    term: int
    since: float
    resumed: trio.Event


class Leadership:
    """The leadership of the group of the site, shared by all VMs.

    Attributes:
        machine: The state machine; all VMs share it.
        leader: The VM that leads, or "" if none does.
        current_term: The term; it increases with each call of `lead`.
        unreachable: Ids of the workers that a VM cannot reach, by VM.
    """

    def __init__(self, machine: replication.StateMachine) -> None:
        self.machine = machine
        self.leader = ""
        self.current_term = 0
        self.unreachable: dict[str, set[str]] = {}
        self._suspended: dict[str, _StaleView] = {}

    def lead(self, vm: str) -> None:
        """Makes a VM the leader, or none if it is ""."""
        self.leader = vm
        self.current_term += 1

    def is_suspended(self, vm: str) -> bool:
        """Returns whether a VM is suspended."""
        view = self._suspended.get(vm)
        return view is not None and not view.resumed.is_set()

    @property
    def is_any_suspended(self) -> bool:
        """Whether a VM is suspended or its view is not current yet."""
        return bool(self._suspended)

    async def suspend(self, vm: str, seconds: float) -> None:
        """Suspends a VM.

        It resumes with its view from before the suspension, which becomes
        current `STALE_VIEW_S` later.
        """
        view = _StaleView(
            self.leader, self.current_term, trio.current_time(), trio.Event()
        )
        self._suspended[vm] = view
        await trio.sleep(seconds)
        view.resumed.set()
        await trio.sleep(STALE_VIEW_S)
        del self._suspended[vm]

    def lead_confirmed_at(self, vm: str, term: int) -> float | None:
        """Returns until when a VM knows that it led in a term, or None."""
        if self.leader_seen_by(vm) != vm or self.term_seen_by(vm) != term:
            return None
        view = self._suspended.get(vm)
        return trio.current_time() if view is None else view.since

    async def wait_until_resumed(self, vm: str) -> None:
        """Waits until a VM is not suspended."""
        view = self._suspended.get(vm)
        if view is not None:
            await view.resumed.wait()

    def leader_seen_by(self, vm: str) -> str:
        """Returns the leader in the view of a VM, "" for none."""
        view = self._suspended.get(vm)
        return self.leader if view is None else view.leader

    def term_seen_by(self, vm: str) -> int:
        """Returns the term in the view of a VM."""
        view = self._suspended.get(vm)
        return self.current_term if view is None else view.term


class VmGroups(replication.LeaderGroups):
    """The replicated group as one VM of the site sees it."""

    def __init__(self, shared: Leadership, vm: str) -> None:
        self._shared = shared
        self._vm = vm

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command if this VM leads in the same term throughout."""
        if not self._shared.leader:
            raise errors.NoQuorumError("no VM leads")
        term = self._shared.current_term
        await trio.sleep(COMMIT_S)
        await self._shared.wait_until_resumed(self._vm)
        if self._shared.leader != self._vm or self._shared.current_term != term:
            raise errors.ProposalLostError("leadership was lost")
        result = self._shared.machine.apply(_round_trip(command))
        return None if result is None else _round_trip(result)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query if this VM is the actual leader."""
        if not self._shared.leader:
            raise errors.NoQuorumError("no VM leads")
        await trio.sleep(COMMIT_S / 4)
        await self._shared.wait_until_resumed(self._vm)
        if self._shared.leader != self._vm:
            raise errors.NoQuorumError("this VM does not lead")
        return _round_trip(self._shared.machine.query(_round_trip(query)))

    def leads(self, group: str) -> bool:
        """Returns whether this VM leads in its own view."""
        return self._shared.leader_seen_by(self._vm) == self._vm

    def term(self, group: str) -> int:
        """Returns the term in the view of this VM."""
        return self._shared.term_seen_by(self._vm)

    def lead_confirmed_at(self, group: str, term: int) -> float | None:
        """Returns until when this VM knows that it led in a term, or None."""
        return self._shared.lead_confirmed_at(self._vm, term)

    def leader(self, group: str) -> str | None:
        """Returns the leader in the view of this VM."""
        return self._shared.leader_seen_by(self._vm) or None

    def local_state_machine(self, group: str) -> replication.StateMachine:
        """Returns the state machine."""
        return self._shared.machine


class ForwardingGroups(VmGroups):
    """The replicated group as one VM reaches it through the leader."""

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command through the leader."""
        return await self._at_leader().propose(group, command, deadline)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query by the leader."""
        return await self._at_leader().query(group, query, deadline)

    def _at_leader(self) -> VmGroups:
        return VmGroups(self._shared, self._shared.leader)


class VmClient(worker_client.WorkerClient):
    """Sends the orders of one VM to the workers that it can reach.

    A suspended VM sends them, and reads the answers, when it resumes.
    """

    def __init__(
        self, shared: Leadership, vm: str, client: worker_client.WorkerClient
    ) -> None:
        self._shared = shared
        self._vm = vm
        self._client = client

    async def start(
        self,
        worker: model.Worker,
        order: worker_client.StartOrder,
        deadline: float,
    ) -> worker_client.Answer:
        """Starts a run, see the base class."""
        async with self._call(worker, deadline):
            return await self._client.start(worker, order, deadline)

    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> worker_client.Answer:
        """Stops a run, see the base class."""
        async with self._call(worker, deadline):
            return await self._client.stop(worker, run, fence, deadline)

    async def report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
    ) -> worker_client.Report:
        """Asks for a report, see the base class."""
        async with self._call(worker, deadline):
            return await self._client.report(worker, order, deadline)

    @contextlib.asynccontextmanager
    async def _call(
        self, worker: model.Worker, deadline: float
    ) -> abc.AsyncIterator[None]:
        """Delays a call, and its answer, while the VM is suspended."""
        await self._shared.wait_until_resumed(self._vm)
        if worker.worker_id in self._shared.unreachable.get(self._vm, ()):
            await trio.sleep(max(0.0, deadline - trio.current_time()))
            raise worker_client.NoAnswerError("cut off")
        try:
            yield
        finally:
            await self._shared.wait_until_resumed(self._vm)


def _round_trip(message: object) -> typing.Any:
    """Returns a copy of a message, encoded and decoded as on the wire."""
    return codec.decode(codec.encode(message))
