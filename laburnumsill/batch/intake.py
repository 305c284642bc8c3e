"""Intake of worker announcements, on any VM of the core.

Only the leader schedules, so an announcement is forwarded to the leader before
it is acknowledged. New workers and changes of their data, such as draining,
must survive a change of leader and are committed; plain heartbeats are not.
"""

from collections import abc

import msgspec
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import scheduler as schedulers
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication

FORWARD_TIMEOUT_S = 0.8
"""Timeout of forwarding and of a commit. A worker waits one second before it
tries another VM."""

DEPARTURE_TIMEOUT_S = 0.5
"""Longest time for which the acknowledgement of a departure waits for the stops
of the worker's runs. It ends at the acknowledgement, and the runs that have not
stopped by then are known to have ended only when their leases expire. The rest
of the second after which it tries another VM is left for the commit."""

MAX_UNKNOWN_SEQUENCES = 1_000
"""Limit of the workers absent from the ledger whose newest sequence number is
kept."""


@codec.register("intake.announcement")
class Announcement(msgspec.Struct, frozen=True):
    """An announcement, the heartbeat of a worker.

    Attributes:
        worker: The worker's data.
        sequence: Sequence number, rising within one incarnation.
        clock_ms: The worker's clock, or None.
        time_left_ms: Time for which a draining worker certainly stays, or None.
    """

    worker: model.Worker
    sequence: int
    clock_ms: int | None
    time_left_ms: int | None = None


@codec.register("intake.departure")
class Departure(msgspec.Struct, frozen=True):
    """Announcement of a worker that it is about to end.

    It does not show that the worker has ended: its acknowledgement may be late
    or lost, and the worker runs on meanwhile.

    Attributes:
        worker_id: The worker's name, which all of its incarnations share.
    """

    worker_id: str


@codec.register("intake.taken")
class Taken(msgspec.Struct, frozen=True):
    """Acknowledgement of the leader."""

    leader: str


class ContradictoryAnnouncementError(errors.ConflictError):
    """An announcement that the registered worker cannot have sent.

    It names a pool that is not configured, or lacks the start time.
    """

    slug = "contradictory-announcement"
    title = "The announcement contradicts what is known"


class WorkerIntake:
    """Receives announcements and departures, and forwards them to the leader.

    Args:
        vm_id: This VM.
        group: The group whose state machine holds the ledger.
        groups: Access to the groups of this VM.
        peers: Calls to other VMs.
        scheduler: Receives the heartbeats where this VM leads.
        pools: Returns the configured pools.
        clock: The clock of this process.
    """

    def __init__(
        self,
        vm_id: str,
        group: str,
        groups: replication.LeaderGroups,
        peers: replication.Peers,
        scheduler: schedulers.Scheduler,
        pools: abc.Callable[[], abc.Set[str]],
        clock: clocks.Clock,
    ) -> None:
        self._vm_id = vm_id
        self._group = group
        self._groups = groups
        self._peers = peers
        self._scheduler = scheduler
        self._pools = pools
        self._clock = clock
        self._newest_sequences: dict[str, int] = {}
        self._sequences_term = 0
        peers.on_call(Announcement, self._on_announcement)
        peers.on_call(Departure, self._on_departure)

    async def announce(self, announcement: Announcement) -> str:
        """Forwards an announcement to the leader; returns the leader's VM.

        Raises:
            ContradictoryAnnouncementError: The announcement was rejected.
            errors.LaburnumsillError: The leader may not have received it.
        """
        return await self._forward(announcement)

    async def leave(self, worker_id: str) -> str:
        """Forwards a departure to the leader; returns the leader's VM."""
        return await self._forward(Departure(worker_id))

    async def _forward(self, message: object) -> str:
        leader = self._groups.leader(self._group)
        if leader is None:
            raise errors.NoQuorumError("nobody leads")
        deadline = self._clock.monotonic() + FORWARD_TIMEOUT_S
        answer = await self._peers.call(leader, message, deadline)
        return str(answer.leader)

    async def _on_announcement(self, announcement: Announcement) -> Taken:
        """Processes an announcement on the leader."""
        worker = announcement.worker
        worker_id = worker.worker_id
        sequence = announcement.sequence
        ledger = self._ledger()
        self._reset_on_new_term()
        ended = ledger.has_ended(worker_id) or ledger.is_departing(worker_id)
        newest_here = self._newest_sequences.get(worker_id)
        newest = max(ledger.last_sequence(worker_id), newest_here or 0)
        if ended or sequence < newest:
            logs.decision(
                "announcement-overtaken",
                worker=worker_id,
                sequence=sequence,
                newest=newest,
                ended=ended,
            )
            return Taken(self._vm_id)
        registered = ledger.workers.get(worker_id)
        if registered is not None:
            self._check_pool(registered, worker.pool)
        _check_start_time(ledger, worker)
        self._record_sequence(worker_id, sequence)
        if registered is not None and newest_here is None:
            worker = _cap_capacity(registered, worker)
        if registered != worker:
            await self._put(worker, sequence)
        self._scheduler.observe_heartbeat(
            worker_id, announcement.clock_ms, announcement.time_left_ms
        )
        return Taken(self._vm_id)

    def _reset_on_new_term(self) -> None:
        """Drops the sequence numbers if the term has changed.

        A leader in between may have received later announcements.
        """
        term = self._groups.term(self._group)
        if term != self._sequences_term:
            self._sequences_term = term
            self._newest_sequences.clear()

    def _record_sequence(self, worker_id: str, sequence: int) -> None:
        """Records the newest sequence number, also without new data.

        A delayed announcement, sent earlier, is recognized by a lower number.
        """
        self._newest_sequences[worker_id] = sequence
        registered = self._ledger().workers
        if (
            len(self._newest_sequences)
            > len(registered) + MAX_UNKNOWN_SEQUENCES
        ):
            self._newest_sequences = {
                other: newest
                for other, newest in self._newest_sequences.items()
                if other in registered
            }

    async def _put(self, worker: model.Worker, sequence: int) -> None:
        at_ms = self._clock.wall_ms()
        await self._commit(
            commands.PutWorker(
                worker, sequence, at_ms, spares_long_running=True
            )
        )
        logs.event(
            "worker-known",
            worker=worker.worker_id,
            pool=worker.pool,
            address=worker.address,
            rack=worker.rack,
            draining=worker.draining,
            cpu_millis=worker.capacity.cpu_millis,
            memory_mb=worker.capacity.memory_mb,
            accelerators=worker.capacity.accelerators,
            sequence=sequence,
        )

    def _check_pool(self, registered: model.Worker, pool: str) -> None:
        """Checks that a worker does not change to an unconfigured pool.

        An incarnation belongs to one pool. If two announcements with its id
        differ in the pool, the one with the unconfigured pool is from another
        sender; accepting it would hide the worker from all jobs.

        Raises:
            ContradictoryAnnouncementError: `pool` is not configured, but the
                registered pool is.
        """
        configured = self._pools()
        if (
            pool != registered.pool
            and registered.pool in configured
            and pool not in configured
        ):
            raise ContradictoryAnnouncementError(
                f"{registered.worker_id} works for {registered.pool!r}, "
                f"not {pool!r}"
            )

    async def _on_departure(self, departure: Departure) -> Taken:
        """Processes a departure on the leader.

        The runs of the worker are stopped; see `session.WorkerSession`.
        """
        deadline = self._clock.monotonic() + DEPARTURE_TIMEOUT_S
        ledger = self._ledger()
        leaving = _departing_incarnations(ledger, departure.worker_id)
        for worker_id in leaving:
            if ledger.is_departing(worker_id):
                continue  # the departure was repeated
            logs.event(
                "worker-departing",
                worker=worker_id,
                runs=len(ledger.runs_on(worker_id)),
            )
            await self._commit(
                commands.NoteDeparture(worker_id, self._clock.wall_ms())
            )
        remaining_s = deadline - self._clock.monotonic()
        with trio.move_on_after(max(0.0, remaining_s)):
            while any(map(ledger.runs_on, leaving)):
                await self._scheduler.wait_for_command()
        return Taken(self._vm_id)

    async def _commit(self, command: object) -> None:
        deadline = self._clock.monotonic() + FORWARD_TIMEOUT_S
        await self._groups.propose(self._group, command, deadline)

    def _ledger(self) -> ledgers.BatchLedger:
        """Returns the ledger, if this VM leads.

        Raises:
            errors.NoQuorumError: This VM does not lead.
        """
        machine = self._groups.local_state_machine(self._group)
        if machine is None or not self._groups.leads(self._group):
            raise errors.NoQuorumError(f"{self._vm_id} does not lead")
        ledger: ledgers.BatchLedger = machine.component(
            ledgers.BatchLedger.name
        )
        return ledger


def _check_start_time(
    ledger: ledgers.BatchLedger, worker: model.Worker
) -> None:
    """Checks that a worker that announces start times does so each time.

    An announcement without one, from another sender, would be taken for
    another worker at the same address.

    Raises:
        ContradictoryAnnouncementError: It lacks the start time.
    """
    if worker.name:
        return
    if any(known.name for known in ledger.workers_named(worker.worker_id)):
        raise ContradictoryAnnouncementError(
            f"{worker.worker_id} announces its start time, except here"
        )


def _departing_incarnations(
    ledger: ledgers.BatchLedger, name: str
) -> list[str]:
    """Returns the incarnations to which a departure under a name may apply.

    If incarnations share a name, a departure may arrive after its sender's
    successor has been announced, so it applies to draining incarnations only.
    The end of any other incarnation is detected when it does not answer.
    """
    named = [worker for worker in ledger.workers_named(name) if worker.name]
    if not named and not ledger.has_ended(name):
        return [name]
    return [worker.worker_id for worker in named if worker.draining]


def _cap_capacity(
    registered: model.Worker, worker: model.Worker
) -> model.Worker:
    """Returns a worker's data with its capacity capped at the registered one.

    A leader that has no sequence number of the worker cannot determine whether
    the announcement was sent before the worker's capacity shrank. It accepts a
    larger capacity with the next announcement.
    """
    capacity = registered.capacity.elementwise_min(worker.capacity)
    return msgspec.structs.replace(worker, capacity=capacity)
