"""Host of the Raft replicas of one VM, and its access to all groups."""

import functools
import pathlib
import typing
from collections import abc

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import group as groups
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_replicas
from laburnumsill.consensus import host_status
from laburnumsill.consensus import leader_forwarder
from laburnumsill.consensus import membership_manager
from laburnumsill.consensus import voter_choice
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.wire import network as networks

RECONCILE_INTERVAL_S = 0.25
"""Longest time between two reconciliations of the memberships, in seconds. A
committed membership change starts the next reconciliation at once."""

MAX_COMMAND_BYTES = 8 * 1024 * 1024
"""Largest size of an encoded command, which has to fit in one frame."""

GroupStatus = host_status.GroupStatus
SnapshotLimits = groups.SnapshotLimits
DEFAULT_LIMITS = groups.SnapshotLimits()
DEFAULT_OPTIONS = engines.Options()


class TransferFailedError(errors.UnavailableError):
    """The leadership of a group was not transferred in time."""

    slug = "transfer-failed"
    title = "The lead did not move"


class GroupHost(replication.LeaderGroups):
    """Hosts this VM's replicas and forwards requests to the leaders.

    Args:
        local_vm: This VM.
        vms: All VMs, including this one.
        network: The connections to the other VMs; run by the caller.
        make_machine: Creates the empty state machine of a group.
        data_folder: The folder of the replicas' stores, or None without a disk.
        clock: The clock of this process.
        metrics: The registry of the metrics.
        options: The settings of the engine, the same on all VMs.
        limits: The limits after which a snapshot is taken.
        initial_voters: The initial voters by group, the same on all VMs;
            `topology.initial_voters` by default.
        choice: Chooses the voters if no settings name them.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        network: networks.PeerNetwork,
        make_machine: abc.Callable[[str], replication.StateMachine],
        data_folder: pathlib.Path | None,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        options: engines.Options = DEFAULT_OPTIONS,
        limits: SnapshotLimits = DEFAULT_LIMITS,
        initial_voters: abc.Mapping[str, abc.Sequence[str]] | None = None,
        choice: voter_choice.VoterChoice | None = None,
    ) -> None:
        self._local_vm = local_vm
        self._clock = clock
        self._metrics = metrics
        self._options = options
        self._network = network
        self._replicas = host_replicas.Replicas(
            local_vm.vm_id,
            network,
            make_machine,
            data_folder,
            clock,
            options,
            limits,
        )
        self._membership_manager = membership_manager.MembershipManager(
            local_vm.vm_id,
            topology.initial_voters(vms)
            if initial_voters is None
            else initial_voters,
            frozenset(vm.vm_id for vm in vms if vm.has_disk),
            network,
            clock,
            options,
            choice,
        )
        self._forwarder = leader_forwarder.Forwarder(
            local_vm.vm_id, network, clock, self._leader_of, self._replica_vms
        )
        self._discovering: set[str] = set()
        network.on_call(forwarded.ForwardedProposal, self._on_proposal)
        network.on_call(forwarded.ForwardedQuery, self._on_query)
        network.on_call(host_messages.TransferOrder, self._on_transfer)
        network.on_call(host_messages.Hello, self._on_hello)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Opens and runs the replicas until cancelled.

        Raises:
            errors.StorageError: A disk failed; the process must stop.
        """
        try:
            async with trio.open_nursery() as nursery:
                for name in self._groups_at_start():
                    await self._replicas.open(name, nursery)
                nursery.start_soon(self._replicas.drive)
                nursery.start_soon(self._reconcile_loop, nursery)
                task_status.started()
        finally:
            self._replicas.stop()

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command; see the base class.

        Raises:
            errors.TooLargeError: The command exceeds `MAX_COMMAND_BYTES`.
        """
        raw = codec.encode(command)
        if len(raw) > MAX_COMMAND_BYTES:
            raise errors.TooLargeError(
                f"a command of {len(raw)} bytes, {MAX_COMMAND_BYTES} allowed"
            )
        wall = self._clock.wall_deadline(deadline)
        request = leader_forwarder.LeaderRequest(
            group,
            forwarded.ForwardedProposal(group, raw, wall),
            functools.partial(self._propose_locally, group, raw),
            deadline,
        )
        return await self._forwarder.forward(request)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query; see the base class."""
        wall = self._clock.wall_deadline(deadline)
        request = leader_forwarder.LeaderRequest(
            group,
            forwarded.ForwardedQuery(group, codec.encode(query), wall),
            functools.partial(self._query_locally, group, query),
            deadline,
            read_only=True,
        )
        return await self._forwarder.forward_query(request)

    def leads(self, group: str) -> bool:
        """Returns whether this VM leads a group, as far as it knows.

        A leader that cannot commit entries does not count, nor a leader whose
        state machine may lack commands acknowledged before its term.
        """
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return False
        return hosted.engine.can_commit and hosted.has_caught_up

    def term(self, group: str) -> int:
        """Returns the current term of this VM's replica, or 0 without one."""
        hosted = self._replicas.hosted.get(group)
        return hosted.engine.term if hosted is not None else 0

    def lead_confirmed_at(self, group: str, term: int) -> float | None:
        """Returns a time before which no later term began; see base class."""
        hosted = self._replicas.hosted.get(group)
        if hosted is None or hosted.engine.term != term:
            return None
        return hosted.confirmed_at

    def leader(self, group: str) -> str | None:
        """Returns the VM that leads a group according to this VM, or None."""
        return self._leader_of(group)

    def members(self, group: str) -> tuple[str, ...]:
        """Returns the VMs of a group's voters and learners known to this VM."""
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return ()
        membership = hosted.engine.membership
        replicas = membership.voters + membership.learners
        return tuple(dict.fromkeys(replica.vm for replica in replicas))

    def local_state_machine(
        self, group: str
    ) -> replication.StateMachine | None:
        """Returns the state machine of this VM's replica, or None without one.

        It may lack committed commands.
        """
        hosted = self._replicas.hosted.get(group)
        return hosted.machine if hosted is not None else None

    def status(self) -> list[GroupStatus]:
        """Returns the status of each replica on this VM."""
        return [
            host_status.status_of(hosted)
            for _, hosted in sorted(self._replicas.hosted.items())
        ]

    def set_desired_voters(
        self, desired_voters: abc.Mapping[str, abc.Sequence[str]]
    ) -> None:
        """Sets the desired voters by group, the same on all VMs.

        The leaders change the membership one replica at a time. This VM opens
        the replicas assigned to it and retires those removed from their groups.
        """
        self._membership_manager.set_desired_voters(desired_voters)

    async def transfer_leadership(
        self, group: str, vm: str | None, deadline: float
    ) -> None:
        """Transfers the leadership of a group.

        Args:
            group: The name of the group.
            vm: The new leader, or None for the reachable voter with the most
                entries.
            deadline: When the transfer fails, in monotonic seconds.

        Raises:
            engines.NoSuchVoterError: There is no voter on `vm`.
            errors.UnavailableError: The transfer did not end in time.
        """
        wall = self._clock.wall_deadline(deadline)
        request = leader_forwarder.LeaderRequest(
            group,
            host_messages.TransferOrder(group, vm, wall),
            functools.partial(self._transfer_locally, group, vm),
            deadline,
        )
        await self._forwarder.forward(request)

    async def transfer_leaderships(self) -> None:
        """Transfers the leadership of all groups led here, for a shutdown."""
        timeout_s = 2 * self._options.election_timeout_s
        deadline = self._clock.monotonic() + timeout_s
        async with trio.open_nursery() as nursery:
            for name, hosted in self._replicas.hosted.items():
                if hosted.leads:
                    nursery.start_soon(self._transfer_one, name, deadline)

    async def _transfer_one(self, name: str, deadline: float) -> None:
        try:
            await self._transfer_locally(name, None, deadline)
            logs.event("lead-handed-over", group=name)
        except errors.LaburnumsillError as error:
            logs.event(
                "hand-over-failed",
                level="WARNING",
                group=name,
                reason=error.slug,
                detail=error.detail,
            )

    def _groups_at_start(self) -> list[str]:
        groups_here = {
            name
            for name, vms in self._membership_manager.desired_voters.items()
            if self._local_vm.vm_id in vms
        }
        return sorted(groups_here | set(self._replicas.stored_groups()))

    def _leader_of(self, group: str) -> str | None:
        hosted = self._replicas.hosted.get(group)
        if hosted is None:
            return None
        if hosted.engine.leader is None:
            return self._membership_manager.reported_leader(group)
        return hosted.engine.leader.vm

    def _replica_vms(self, group: str) -> abc.Sequence[str]:
        vms = self._membership_manager.desired_voters.get(group)
        if not vms:
            raise errors.UnknownNameError(f"no group {group!r}", group=group)
        return vms

    def _hosted(self, name: str) -> groups.HostedGroup:
        hosted = self._replicas.hosted.get(name)
        if hosted is None:
            raise engines.NotLeaderError(
                f"{self._local_vm.vm_id} hosts no replica of {name!r}"
            )
        return hosted

    async def _propose_locally(
        self, name: str, raw: bytes, deadline: float
    ) -> forwarded.Outcome:
        waiter = self._hosted(name).propose(raw)
        self._replicas.schedule(name)
        timeout_error = errors.ProposalLostError(f"{name}: no commit in time")
        try:
            return await waiter.wait(deadline, self._clock, timeout_error)
        except errors.ProposalLostError as error:
            if error is timeout_error:
                self._log_progress(name)
            raise

    def _log_progress(self, name: str) -> None:
        """Logs the replication progress of a group led here."""
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
                f"{replica.vm}:{follower.mode.value}"
                f":{follower.match}:{follower.next}:{follower.idle}"
                for replica, follower in hosted.engine.progress.items()
            ),
        )

    async def _query_locally(
        self, name: str, query: object, deadline: float
    ) -> forwarded.Outcome:
        waiter = self._hosted(name).read(query)
        self._replicas.schedule(name)
        timeout_error = errors.NoQuorumError(
            f"{name}: the lead was not confirmed"
        )
        return await waiter.wait(deadline, self._clock, timeout_error)

    async def _transfer_locally(
        self, name: str, vm: str | None, deadline: float
    ) -> forwarded.Outcome:
        hosted = self._hosted(name)
        if hosted.leads and vm == self._local_vm.vm_id:
            return forwarded.Outcome()
        target = vm or self._most_advanced_voter(hosted)
        try:
            hosted.transfer_leadership(target)
        except errors.InvalidInputError as error:
            return forwarded.Outcome(refusal=error)
        self._replicas.schedule(name)
        timeout_s = 2 * self._options.election_timeout_s
        transfer_deadline = min(deadline, self._clock.monotonic() + timeout_s)
        with trio.move_on_after(
            max(0.0, transfer_deadline - self._clock.monotonic())
        ):
            await hosted.leadership_ended()
        if hosted.leads:
            raise TransferFailedError(f"{name}: {target} did not take over")
        return forwarded.Outcome()

    def _most_advanced_voter(self, hosted: groups.HostedGroup) -> str:
        """Returns the VM of the reachable voter with the highest match index.

        Raises:
            TransferFailedError: No other voter is reachable.
        """
        reachable = self._network.reachable()
        progress = {
            replica: follower.match
            for replica, follower in hosted.engine.progress.items()
            if replica in hosted.engine.membership.voters
            and follower.writable
            and replica.vm in reachable
        }
        if not progress:
            raise TransferFailedError(f"{hosted.name}: no other voter is there")
        return max(progress, key=lambda replica: progress[replica]).vm

    async def _on_proposal(
        self, request: forwarded.ForwardedProposal
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        outcome = await self._propose_locally(
            request.group, request.command, deadline
        )
        return leader_forwarder.encode_outcome(outcome)

    async def _on_query(
        self, request: forwarded.ForwardedQuery
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        query = codec.decode(request.query)
        outcome = await self._query_locally(request.group, query, deadline)
        return leader_forwarder.encode_outcome(outcome)

    async def _on_transfer(
        self, request: host_messages.TransferOrder
    ) -> forwarded.Answer:
        deadline = self._clock.monotonic_deadline(request.deadline)
        outcome = await self._transfer_locally(
            request.group, request.vm, deadline
        )
        return leader_forwarder.encode_outcome(outcome)

    async def _on_hello(
        self, hello: host_messages.Hello
    ) -> host_messages.HelloAnswer:
        hosted = self._replicas.hosted.get(hello.group)
        return self._membership_manager.answer_hello(hello, hosted)

    async def _reconcile_loop(self, nursery: trio.Nursery) -> None:
        """Reconciles replicas and memberships with the desired voters."""
        while True:
            for name in self._groups_to_open():
                await self._replicas.open(name, nursery)
            self._publish_metrics()
            for name, hosted in list(self._replicas.hosted.items()):
                if hosted.leads and self._membership_manager.reconcile(hosted):
                    self._replicas.schedule(name)
                if name in self._discovering:
                    continue
                if self._membership_manager.needs_discovery(hosted):
                    self._discovering.add(name)
                    nursery.start_soon(self._discover, hosted)
            with trio.move_on_after(RECONCILE_INTERVAL_S):
                await self._replicas.wait_membership_committed()

    def _publish_metrics(self) -> None:
        """Publishes the state of the replicas as metrics."""
        for name, hosted in self._replicas.hosted.items():
            gauge = functools.partial(self._metrics.gauge, group=name)
            gauge("group_leads", int(hosted.leads))
            gauge("group_term", hosted.engine.term)
            gauge("group_committed_index", hosted.engine.committed)
            gauge("group_applied_index", hosted.applied)
            gauge("group_disk_full", int(not hosted.writable))
        for name in self._replicas.waiting_for_space:
            self._metrics.gauge("group_disk_full", 1, group=name)

    def _groups_to_open(self) -> list[str]:
        groups_here = {
            name
            for name, vms in self._membership_manager.desired_voters.items()
            if self._local_vm.vm_id in vms and name not in self._discovering
        }
        groups_here |= self._replicas.waiting_for_space
        return sorted(groups_here - self._replicas.hosted.keys())

    async def _discover(self, hosted: groups.HostedGroup) -> None:
        try:
            must_retire = await self._membership_manager.discover(hosted)
            if must_retire:
                await self._replicas.retire(hosted.name)
            else:
                self._replicas.schedule(hosted.name)
        finally:
            self._discovering.discard(hosted.name)
