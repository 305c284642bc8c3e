"""Who leads an emulated site, as it is and as each VM believes."""

import dataclasses
import typing

import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

COMMIT_S = 0.009
"""A commit takes two trips of half a millisecond and one sync of 6 ms."""

BELIEF_S = 0.2
"""A VM that wakes notices so late that another one leads by now."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Belief:
    leader: str
    term: int
    awake: trio.Event


class Leadership:
    """Who leads the one state machine.

    Attributes:
        machine: The state machine.
        leader: The VM that leads, or "".
        current_term: Rises with each change.
    """

    def __init__(self, machine: replication.StateMachine) -> None:
        self.machine = machine
        self.leader = ""
        self.current_term = 0
        self._asleep: dict[str, _Belief] = {}

    def lead(self, vm: str) -> None:
        """Has a VM lead from now on, "" for none."""
        self.leader = vm
        self.current_term += 1

    def sleeps(self, vm: str) -> bool:
        """Returns whether a VM is suspended."""
        belief = self._asleep.get(vm)
        return belief is not None and not belief.awake.is_set()

    async def suspend(self, vm: str, seconds: float) -> None:
        """Suspends a VM; it wakes with what it believed before."""
        belief = _Belief(self.leader, self.current_term, trio.Event())
        self._asleep[vm] = belief
        await trio.sleep(seconds)
        belief.awake.set()
        await trio.sleep(BELIEF_S)
        del self._asleep[vm]

    async def until_awake(self, vm: str) -> None:
        """Waits while a VM is suspended."""
        belief = self._asleep.get(vm)
        if belief is not None:
            await belief.awake.wait()

    def believed_leader(self, vm: str) -> str:
        """Returns who leads as far as a VM knows, "" for nobody."""
        belief = self._asleep.get(vm)
        return self.leader if belief is None else belief.leader

    def believed_term(self, vm: str) -> int:
        """Returns the term as far as a VM knows."""
        belief = self._asleep.get(vm)
        return self.current_term if belief is None else belief.term


class VmGroups(replication.LeaderGroups):
    """The groups as one VM of the emulation sees them."""

    def __init__(self, shared: Leadership, vm: str) -> None:
        self._shared = shared
        self._vm = vm

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command if this VM leads then."""
        term = self._shared.current_term
        await trio.sleep(COMMIT_S)
        await self._shared.until_awake(self._vm)
        if self._shared.leader != self._vm or self._shared.current_term != term:
            raise errors.ProposalLostError("the lead was lost")
        result = self._shared.machine.apply(_coded(command))
        return None if result is None else _coded(result)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query if this VM leads."""
        await trio.sleep(COMMIT_S / 4)
        await self._shared.until_awake(self._vm)
        if self._shared.leader != self._vm:
            raise errors.NoQuorumError("does not lead")
        return _coded(self._shared.machine.query(_coded(query)))

    def leads(self, group: str) -> bool:
        """Returns whether this VM leads, as far as it knows."""
        return self._shared.believed_leader(self._vm) == self._vm

    def term(self, group: str) -> int:
        """Returns the term, as far as this VM knows."""
        return self._shared.believed_term(self._vm)

    def leader(self, group: str) -> str | None:
        """Returns the VM that leads, as far as this one knows."""
        return self._shared.believed_leader(self._vm) or None

    def local_state_machine(self, group: str) -> replication.StateMachine:
        """Returns the state machine."""
        return self._shared.machine


class VmClient(worker_client.WorkerClient):
    """Gives the orders of one VM; those it gives while suspended go later."""

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
        await self._shared.until_awake(self._vm)
        return await self._client.start(worker, order, deadline)

    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> worker_client.Answer:
        """Stops a run, see the base class."""
        await self._shared.until_awake(self._vm)
        return await self._client.stop(worker, run, fence, deadline)

    async def report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
    ) -> worker_client.Report:
        """Asks for a report, see the base class."""
        await self._shared.until_awake(self._vm)
        return await self._client.report(worker, order, deadline)


def _coded(message: object) -> typing.Any:
    return codec.decode(codec.encode(message))
