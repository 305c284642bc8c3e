"""The replicated groups as one VM sees them."""

import functools
import pathlib
import typing
from collections import abc

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import group as groups
from laburnumsill.consensus import host_forward
from laburnumsill.consensus import host_members
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_replicas
from laburnumsill.consensus import host_status
from laburnumsill.consensus import voter_choice
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.wire import network as networks

HOUSEKEEPING_S = 0.25
"""Longest pause between two looks at the make-up of the groups; the steps of
one change follow each other at once."""

MAX_COMMAND_BYTES = 8 * 1024 * 1024
"""Largest encoded command; it has to fit in one frame."""

GroupStatus = host_status.GroupStatus
SnapshotLimits = groups.SnapshotLimits
DEFAULT_LIMITS = groups.SnapshotLimits()
DEFAULT_OPTIONS = engines.Options()


class TransferFailedError(errors.UnavailableError):
    """The lead of a group did not move in time."""

    slug = "transfer-failed"
    title = "The lead did not move"


class GroupHost(replication.LeaderGroups):
    """Hosts this VM's replicas and reaches the leaders of all groups.

    Args:
        me: This VM.
        vms: All VMs, this one too.
        network: The connections to the others; run by the caller.
        make_machine: Makes the empty state machine of a group.
        data_folder: Where replicas are kept, or None without a disk.
        clock: The clock of this process.
        metrics: Takes the counters.
        options: The engine's settings, the same on all VMs.
        limits: When snapshots are taken.
        first: The voters of each group's first make-up, the same on all VMs;
            `topology.first_groups` unless given.
        choice: Chooses the voters where no settings name them.
    """

    def __init__(
        self,
        me: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        network: networks.PeerNetwork,
        make_machine: abc.Callable[[str], replication.StateMachine],
        data_folder: pathlib.Path | None,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        options: engines.Options = DEFAULT_OPTIONS,
        limits: SnapshotLimits = DEFAULT_LIMITS,
        first: abc.Mapping[str, abc.Sequence[str]] | None = None,
        choice: voter_choice.VoterChoice | None = None,
    ) -> None:
        self._me = me
        self._clock = clock
        self._metrics = metrics
        self._options = options
        self._network = network
        self._replicas = host_replicas.Replicas(
            me.vm_id, network, make_machine, data_folder, clock, options, limits
        )
        self._keeper = host_members.Keeper(
            me.vm_id,
            topology.first_groups(vms) if first is None else first,
            frozenset(vm.vm_id for vm in vms if vm.has_disk),
            network,
            clock,
            options,
            choice,
        )
        self._forwarder = host_forward.Forwarder(
            me.vm_id, network, clock, self._leader_of, self._vms_of
        )
        self._asking: set[str] = set()
        network.on_call(forwarded.ForwardedProposal, self._on_proposal)
        network.on_call(forwarded.ForwardedQuery, self._on_query)
        network.on_call(host_messages.TransferOrder, self._on_transfer)
        network.on_call(host_messages.Hello, self._on_hello)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Opens and drives the replicas until cancelled.

        Raises:
            errors.StorageError: A disk failed; the process must not go on.
        """
        try:
            async with trio.open_nursery() as nursery:
                for name in self._names_to_open():
                    await self._replicas.open(name, nursery)
                nursery.start_soon(self._replicas.drive)
                nursery.start_soon(self._keep_house, nursery)
                task_status.started()
        finally:
            self._replicas.stop()

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command, see the base class.

        Raises:
            errors.TooLargeError: The command is over `MAX_COMMAND_BYTES`.
        """
        raw = codec.encode(command)
        if len(raw) > MAX_COMMAND_BYTES:
            raise errors.TooLargeError(
                f"a command of {len(raw)} bytes, {MAX_COMMAND_BYTES} allowed"
            )
        wall = self._clock.wall_deadline(deadline)
        errand = host_forward.Errand(
            group,
            forwarded.ForwardedProposal(group, raw, wall),
            functools.partial(self._propose_here, group, raw),
            deadline,
        )
        return await self._forwarder.run(errand)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query, see the base class."""
        wall = self._clock.wall_deadline(deadline)
        errand = host_forward.Errand(
            group,
            forwarded.ForwardedQuery(group, codec.encode(query), wall),
            functools.partial(self._query_here, group, query),
            deadline,
            harmless=True,
        )
        return await self._forwarder.ask(errand)

    def leads(self, group: str) -> bool:
        """Returns whether this VM leads a group, as far as it knows.

        A leader that nothing can be committed with does not count, nor one
        whose state machine may lack what was acknowledged before its term.
        """
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return False
        return hosted.engine.can_commit and hosted.has_caught_up

    def term(self, group: str) -> int:
        """Returns the newest term of this VM's replica, or 0."""
        hosted = self._replicas.hosted.get(group)
        return hosted.engine.term if hosted is not None else 0

    def leader(self, group: str) -> str | None:
        """Returns the VM that leads a group as far as is known here."""
        return self._leader_of(group)

    def members(self, group: str) -> tuple[str, ...]:
        """Returns the VMs of a group's voters and learners known here."""
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return ()
        membership = hosted.engine.membership
        replicas = membership.voters + membership.learners
        return tuple(dict.fromkeys(replica.vm for replica in replicas))

    def local(self, group: str) -> replication.StateMachine | None:
        """Returns this VM's replica of a group, maybe behind, or None."""
        hosted = self._replicas.hosted.get(group)
        return hosted.machine if hosted is not None else None

    def status(self) -> list[GroupStatus]:
        """Returns the status of each replica on this VM."""
        return [
            host_status.status_of(hosted)
            for _, hosted in sorted(self._replicas.hosted.items())
        ]

    def set_make_up(self, make_up: abc.Mapping[str, abc.Sequence[str]]) -> None:
        """Sets the desired voters by group, the same on all VMs.

        Leaders bring it about one change at a time; this VM opens replicas
        that it is to have and retires those that their groups left out.
        """
        self._keeper.set_make_up(make_up)

    async def transfer(
        self, group: str, vm: str | None, deadline: float
    ) -> None:
        """Hands the lead of a group to `vm`, or to the best other voter.

        Raises:
            engines.NoSuchVoterError: There is no voter on `vm`.
            errors.UnavailableError: The lead did not move in time.
        """
        wall = self._clock.wall_deadline(deadline)
        errand = host_forward.Errand(
            group,
            host_messages.TransferOrder(group, vm, wall),
            functools.partial(self._transfer_here, group, vm),
            deadline,
        )
        await self._forwarder.run(errand)

    async def hand_over(self) -> None:
        """Hands over the lead of every group led here, before a shutdown."""
        within = 2 * self._options.election_timeout_s
        deadline = self._clock.monotonic() + within
        async with trio.open_nursery() as nursery:
            for name, hosted in self._replicas.hosted.items():
                if hosted.leads:
                    nursery.start_soon(self._hand_over_one, name, deadline)

    async def _hand_over_one(self, name: str, deadline: float) -> None:
        try:
            await self._transfer_here(name, None, deadline)
            logs.event("lead-handed-over", group=name)
        except errors.LaburnumsillError as error:
            logs.event(
                "hand-over-failed",
                level="WARNING",
                group=name,
                reason=error.slug,
                detail=error.detail,
            )

    def _names_to_open(self) -> list[str]:
        wanted = {
            name
            for name, vms in self._keeper.make_up.items()
            if self._me.vm_id in vms
        }
        return sorted(wanted | set(self._replicas.stored_groups()))

    def _leader_of(self, group: str) -> str | None:
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return None
        if hosted.engine.leader is None:
            return self._keeper.told_leader(group)
        return hosted.engine.leader.vm

    def _vms_of(self, group: str) -> abc.Sequence[str]:
        vms = self._keeper.make_up.get(group)
        if not vms:
            raise errors.UnknownNameError(f"no group {group!r}", group=group)
        return vms

    def _hosted(self, name: str) -> groups.HostedGroup:
        hosted = self._replicas.hosted.get(name)
        if hosted is None:
            raise engines.NotLeaderError(
                f"{self._me.vm_id} hosts no replica of {name!r}"
            )
        return hosted

    async def _propose_here(
        self, name: str, raw: bytes, deadline: float
    ) -> forwarded.Outcome:
        waiter = self._hosted(name).propose(raw)
        self._replicas.mark(name)
        late = errors.ProposalLostError(f"{name}: no commit in time")
        try:
            return await waiter.wait(deadline, self._clock, late)
        except errors.ProposalLostError as error:
            if error is late:
                self._log_positions(name)
            raise

    def _log_positions(self, name: str) -> None:
        """Writes where the replicas of a group led here stand."""
        hosted = self._replicas.hosted.get(name)
        if hosted is None or not hosted.leads:
            return
        logs.event(
            "commit-late",
            "WARNING",
            group=name,
            last=hosted.engine.last_index,
            committed=hosted.engine.committed,
            kept=hosted.synced_index,
            followers=",".join(
                f"{replica.vm}:{one.mode.value}:{one.match}:{one.next}"
                f":{one.idle}"
                for replica, one in hosted.engine.progress.items()
            ),
        )

    async def _query_here(
        self, name: str, query: object, deadline: float
    ) -> forwarded.Outcome:
        waiter = self._hosted(name).read(query)
        self._replicas.mark(name)
        late = errors.NoQuorumError(f"{name}: the lead was not confirmed")
        return await waiter.wait(deadline, self._clock, late)

    async def _transfer_here(
        self, name: str, vm: str | None, deadline: float
    ) -> forwarded.Outcome:
        hosted = self._hosted(name)
        if hosted.leads and vm == self._me.vm_id:
            return forwarded.Outcome()
        target = vm or self._best_voter(hosted)
        try:
            hosted.transfer(target)
        except errors.InvalidInputError as error:
            return forwarded.Outcome(refusal=error)
        self._replicas.mark(name)
        within = 2 * self._options.election_timeout_s
        last = min(deadline, self._clock.monotonic() + within)
        with trio.move_on_after(max(0.0, last - self._clock.monotonic())):
            await hosted.lead_ended()
        if hosted.leads:
            raise TransferFailedError(f"{name}: {target} did not take over")
        return forwarded.Outcome()

    def _best_voter(self, hosted: groups.HostedGroup) -> str:
        """Returns the voter that is furthest on, of those that are there.

        Raises:
            TransferFailedError: No other voter is.
        """
        reachable = self._network.reachable()
        progress = {
            replica: one.match
            for replica, one in hosted.engine.progress.items()
            if replica in hosted.engine.membership.voters
            and one.writable
            and replica.vm in reachable
        }
        if not progress:
            raise TransferFailedError(f"{hosted.name}: no other voter is there")
        return max(progress, key=lambda replica: progress[replica]).vm

    async def _on_proposal(
        self, request: forwarded.ForwardedProposal
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        outcome = await self._propose_here(
            request.group, request.command, deadline
        )
        return host_forward.answer_of(outcome)

    async def _on_query(
        self, request: forwarded.ForwardedQuery
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        query = codec.decode(request.query)
        outcome = await self._query_here(request.group, query, deadline)
        return host_forward.answer_of(outcome)

    async def _on_transfer(
        self, request: host_messages.TransferOrder
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        outcome = await self._transfer_here(request.group, request.vm, deadline)
        return host_forward.answer_of(outcome)

    async def _on_hello(
        self, hello: host_messages.Hello
    ) -> host_messages.HelloAnswer:
        hosted = self._replicas.hosted.get(hello.group)
        return self._keeper.answer(hello, hosted)

    async def _keep_house(self, nursery: trio.Nursery) -> None:
        """Brings the replicas here in line with the desired make-up."""
        while True:
            for name in self._names_missing():
                await self._replicas.open(name, nursery)
            self._publish()
            for name, hosted in list(self._replicas.hosted.items()):
                if hosted.leads and self._keeper.reconcile(hosted):
                    self._replicas.mark(name)
                if name in self._asking:
                    continue
                if self._keeper.needs_to_ask(hosted):
                    self._asking.add(name)
                    nursery.start_soon(self._ask, hosted)
            with trio.move_on_after(HOUSEKEEPING_S):
                await self._replicas.until_settled()

    def _publish(self) -> None:
        """Shows operators where the replicas stand."""
        for name, hosted in self._replicas.hosted.items():
            gauge = functools.partial(self._metrics.gauge, group=name)
            gauge("group_leads", int(hosted.leads))
            gauge("group_term", hosted.engine.term)
            gauge("group_committed_index", hosted.engine.committed)
            gauge("group_applied_index", hosted.applied)
            gauge("group_disk_full", int(not hosted.writable))
        for name in self._replicas.waiting:
            self._metrics.gauge("group_disk_full", 1, group=name)

    def _names_missing(self) -> list[str]:
        wanted = {
            name
            for name, vms in self._keeper.make_up.items()
            if self._me.vm_id in vms and name not in self._asking
        }
        wanted |= self._replicas.waiting
        return sorted(wanted - self._replicas.hosted.keys())

    async def _ask(self, hosted: groups.HostedGroup) -> None:
        try:
            unwanted = await self._keeper.ask(hosted)
            if unwanted:
                await self._replicas.retire(hosted.name)
            else:
                self._replicas.mark(hosted.name)
        finally:
            self._asking.discard(hosted.name)
