"""Announcements of workers, on any VM of the core.

Only the leader schedules, so an announcement is passed to it before it is
acknowledged. What matters beyond the present leader, that a worker is there
and that it drains, is committed; plain heartbeats are not.
"""

from collections import abc

import msgspec

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import scheduler as schedulers
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication

PASS_ON_WITHIN_S = 0.8
"""A worker waits one second before it turns to another VM."""

MAX_ABSENT_HEARD = 1_000
"""Workers that are not known any more and of which it is remembered which
announcement was the newest."""


@codec.register("intake.announcement")
class Announcement(msgspec.Struct, frozen=True):
    """What a worker says of itself.

    Attributes:
        worker: The worker.
        sequence: Rises with each announcement of one incarnation.
        clock_ms: Its own clock, or None.
    """

    worker: model.Worker
    sequence: int
    clock_ms: int | None


@codec.register("intake.departure")
class Departure(msgspec.Struct, frozen=True):
    """A worker has ended.

    Attributes:
        worker_id: Its name, which does not tell its incarnations apart.
    """

    worker_id: str


@codec.register("intake.taken")
class Taken(msgspec.Struct, frozen=True):
    """The leader took note."""

    leader: str


class ContradictoryAnnouncementError(errors.ConflictError):
    """A known worker was announced for a pool that is not configured."""

    slug = "contradictory-announcement"
    title = "The announcement contradicts what is known"


class WorkerIntake:
    """Takes announcements and departures.

    Args:
        me: This VM.
        group: The group whose state machine holds the ledger.
        groups: Access to it.
        peers: The other VMs.
        scheduler: Hears the heartbeats where this VM leads.
        pools: Returns the pools that the configuration names.
        clock: The clock of this process.
    """

    def __init__(
        self,
        me: str,
        group: str,
        groups: replication.LeaderGroups,
        peers: replication.Peers,
        scheduler: schedulers.Scheduler,
        pools: abc.Callable[[], abc.Set[str]],
        clock: clocks.Clock,
    ) -> None:
        self._me = me
        self._group = group
        self._groups = groups
        self._peers = peers
        self._scheduler = scheduler
        self._pools = pools
        self._clock = clock
        self._heard: dict[str, int] = {}
        self._heard_in_term = 0
        peers.on_call(Announcement, self._on_announcement)
        peers.on_call(Departure, self._on_departure)

    async def announce(self, announcement: Announcement) -> str:
        """Has the leader take note; returns the leader's VM.

        Raises:
            ContradictoryAnnouncementError: What is known stands.
            errors.LaburnumsillError: The leader may not have taken note.
        """
        return await self._pass_on(announcement)

    async def leave(self, worker_id: str) -> str:
        """Has the leader take note that a worker has ended."""
        return await self._pass_on(Departure(worker_id))

    async def _pass_on(self, message: object) -> str:
        leader = self._groups.leader(self._group)
        if leader is None:
            raise errors.NoQuorumError("nobody leads")
        deadline = self._clock.monotonic() + PASS_ON_WITHIN_S
        taken = await self._peers.call(leader, message, deadline)
        return str(taken.leader)

    async def _on_announcement(self, announcement: Announcement) -> Taken:
        """Takes note of an announcement, where this VM leads."""
        worker = announcement.worker
        worker_id = worker.worker_id
        sequence = announcement.sequence
        ledger = self._ledger()
        self._forget_earlier_terms()
        ended = ledger.has_ended(worker_id)
        heard = self._heard.get(worker_id)
        newest = max(ledger.sequence(worker_id), heard or 0)
        if ended or sequence < newest:
            logs.decision(
                "announcement-overtaken",
                worker=worker_id,
                sequence=sequence,
                newest=newest,
                ended=ended,
            )
            return Taken(self._me)
        known = ledger.workers.get(worker_id)
        if known is not None:
            self._check_pool(known, worker.pool)
        self._note_heard(worker_id, sequence)
        if known is not None and heard is None:
            worker = _without_growth(known, worker)
        if known != worker:
            await self._put(worker, sequence)
        self._scheduler.hear(worker_id, announcement.clock_ms)
        return Taken(self._me)

    def _forget_earlier_terms(self) -> None:
        """Forgets what was heard before another VM led and heard more."""
        term = self._groups.term(self._group)
        if term != self._heard_in_term:
            self._heard_in_term = term
            self._heard.clear()

    def _note_heard(self, worker_id: str, sequence: int) -> None:
        """Remembers the newest announcement, also one that says nothing new.

        One that was sent before it and arrives later is told by that.
        """
        self._heard[worker_id] = sequence
        known = self._ledger().workers
        if len(self._heard) > len(known) + MAX_ABSENT_HEARD:
            self._heard = {
                one: newest
                for one, newest in self._heard.items()
                if one in known
            }

    async def _put(self, worker: model.Worker, sequence: int) -> None:
        at_ms = self._clock.wall_ms()
        await self._commit(commands.PutWorker(worker, sequence, at_ms))
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

    def _check_pool(self, known: model.Worker, pool: str) -> None:
        """Checks that a worker is not moved out of reach of all jobs.

        An incarnation works for one pool, so of two announcements with its
        id one is of another writer: the one whose pool nobody configured.

        Raises:
            ContradictoryAnnouncementError: `pool` is such a one.
        """
        named = self._pools()
        if pool != known.pool and known.pool in named and pool not in named:
            raise ContradictoryAnnouncementError(
                f"{known.worker_id} works for {known.pool!r}, not {pool!r}"
            )

    async def _on_departure(self, departure: Departure) -> Taken:
        """Takes note that a worker has ended, where this VM leads."""
        name = departure.worker_id
        ledger = self._ledger()
        ended_ms = self._clock.wall_ms()
        for worker_id in _leaving(ledger, name):
            logs.event("worker-left", worker=worker_id)
            await self._commit(
                commands.RemoveWorker(worker_id, "it left", (), ended_ms)
            )
        return Taken(self._me)

    async def _commit(self, command: object) -> None:
        deadline = self._clock.monotonic() + PASS_ON_WITHIN_S
        await self._groups.propose(self._group, command, deadline)

    def _ledger(self) -> ledgers.BatchLedger:
        """Returns the ledger, if this VM leads.

        Raises:
            errors.NoQuorumError: It does not.
        """
        machine = self._groups.local(self._group)
        if machine is None or not self._groups.leads(self._group):
            raise errors.NoQuorumError(f"{self._me} does not lead")
        ledger: ledgers.BatchLedger = machine.component(
            ledgers.BatchLedger.name
        )
        return ledger


def _leaving(ledger: ledgers.BatchLedger, name: str) -> list[str]:
    """Returns the incarnations that a departure under a name may be of.

    Where a name lasts, a departure may arrive when its sender's successor is
    there; only one that drains has left. Another one is found to be gone when
    it does not answer.
    """
    lasting = [one for one in ledger.workers_named(name) if one.name]
    if not lasting and not ledger.has_ended(name):
        return [name]
    return [one.worker_id for one in lasting if one.draining]


def _without_growth(known: model.Worker, worker: model.Worker) -> model.Worker:
    """Returns what a worker says of itself, but no more room than is known.

    A leader that has not heard of it before cannot tell whether that is old
    news, sent before the worker shrank: it waits for the next heartbeat.
    """
    capacity = known.capacity.least(worker.capacity)
    return msgspec.structs.replace(worker, capacity=capacity)
