"""One failure domain in virtual time, under any placing policy.

Only accelerators, cores and memory are counted, in the production ledger;
a placement starts at once, a stopped borrower saves its work and frees its
slots after `CHECKPOINT_S`, or loses its work if the checkpoint fails.
"""

import abc
import dataclasses
import heapq
import random
import typing
from collections import abc as collections_abc

from bench import arrivals as arrivals_module
from laburnumsill.core import members
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.jobs import steps
from laburnumsill.state import jobs
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages

CHECKPOINT_S = 10.0
"""Time from the order to stop until the slots are free, in seconds."""

CHECKPOINT_FAILS = 0.1
"""Part of the checkpoints that fail, so that all work is lost."""

TICK_S = 30.0
"""Longest time between two passes while anything waits, in seconds."""

TYPICAL_GANG = (2, 8)
"""Tasks, and accelerators of each, of a typical large gang."""

LARGE = 16
"""Accelerators of the gangs whose waits are told: the largest that fit
beside all guarantees. Larger borrowers have no promise at all while these
are in use."""


class Placing(abc.ABC):
    """A policy: what to do now."""

    claims = True
    """Whether jobs claim guarantees; if not, all borrow."""

    @abc.abstractmethod
    def submitted(self, job_id: str) -> None:
        """Takes note of a job that waits now."""

    @abc.abstractmethod
    def steps(
        self, book: jobs_book.JobBook, now: float
    ) -> collections_abc.Iterator[steps.Command]:
        """Yields commands; each is applied before the next is asked for."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one job.

    Attributes:
        claimed_at: When a claim had borrowers stopped for it, or None.
    """

    arrival: arrivals_module.Arrival
    left_s: float
    started_at: float | None = None
    ended_at: float | None = None
    running_since: float = 0.0
    claimed_at: float | None = None


@dataclasses.dataclass(slots=True)
class Totals:
    """Sums over the time in which jobs arrive.

    Attributes:
        busy: Accelerators in use, times seconds.
        free: Accelerators not in use, times seconds.
        ratio: The part of the free accelerators that a typical large gang
            cannot use, times seconds.
        free_time: Seconds with free accelerators.
        together: Accelerators that such gangs could use if all free ones
            lay together, times seconds.
        apart: Those of them that they cannot use, times seconds.
        stranded: Free accelerators that such gangs cannot use.
        preemptions: Placements stopped.
        lost_work: Accelerator seconds lost by that.
        reclaim_s: Times from a claim to the start of its job.
        broken_guarantees: Steps after which less could be restored.
    """

    busy: float = 0.0
    free: float = 0.0
    ratio: float = 0.0
    free_time: float = 0.0
    together: float = 0.0
    apart: float = 0.0
    stranded: float = 0.0
    preemptions: int = 0
    lost_work: float = 0.0
    reclaim_s: list[float] = dataclasses.field(default_factory=list)
    broken_guarantees: int = 0


class VirtualDomain:
    """Runs recorded arrivals through a policy."""

    def __init__(
        self,
        site: arrivals_module.Site,
        arrivals: collections_abc.Sequence[arrivals_module.Arrival],
        placing: Placing,
    ) -> None:
        self.site = site
        self.totals = Totals()
        self.outcomes: dict[str, Outcome] = {}
        self.now = 0.0
        self._placing = placing
        self._ledger = jobs.JobLedger("d")
        self._handlers = self._ledger.commands()
        self._draw = random.Random(1)
        self._events: list[tuple[float, int, str, typing.Any]] = []
        self._number = 0
        for arrival in arrivals:
            self._at(arrival.at, "submit", arrival)
        self._last_arrival = arrivals[-1].at
        self._set_up()

    @property
    def book(self) -> jobs_book.JobBook:
        """The domain's state."""
        return self._ledger.book

    def run(self) -> None:
        """Runs until every job has ended."""
        self._at(0.0, "tick", None)
        while self._events:
            at, _, what, about = heapq.heappop(self._events)
            self._pass_time(at)
            getattr(self, f"_{what}")(about)
            while self._events and self._events[0][0] == at:
                _, _, what, about = heapq.heappop(self._events)
                getattr(self, f"_{what}")(about)
            for command in self._placing.steps(self.book, self.now):
                self._carry_out(command)

    def _set_up(self) -> None:
        site = self.site
        present = tuple(
            members.Worker(
                worker_id=f"w{n:02}",
                domain="d",
                rack=f"r{n // site.rack}",
                address="",
                incarnation="1",
                sequence=1,
                cores=site.cores,
                memory_gb=site.memory_gb,
                accelerators=8,
            )
            for n in range(site.workers)
        )
        self._apply(jobs_messages.PutWorkers(present, (), 0.0))
        if self._placing.claims:
            self._apply(jobs_messages.SetGuarantees(1, site.guarantees))

    def _apply(self, command: typing.Any) -> None:
        self._handlers[type(command)](command)

    def _at(self, at: float, what: str, about: typing.Any) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, what, about))

    def _submit(self, arrival: arrivals_module.Arrival) -> None:
        self.outcomes[arrival.job_id] = Outcome(arrival, arrival.run_s)
        spec = arrival.spec
        if not self._placing.claims:
            spec = dataclasses.replace(spec, guaranteed=False)
        self._apply(
            jobs_messages.SubmitJob(
                arrival.job_id, "", spec, 1_000_000, self.now
            )
        )
        self._placing.submitted(arrival.job_id)

    def _tick(self, _: None) -> None:
        """Keeps passes coming while anything waits."""
        if self.now < self._last_arrival or len(self.book.queue):
            self._at(self.now + TICK_S, "tick", None)

    def _finish(self, about: tuple[str, int]) -> None:
        job_id, epoch = about
        job = self.book.jobs[job_id]
        if job.placement is None or job.epoch != epoch:
            return
        if job.placement.stopping is not None:
            return
        self._apply(jobs_messages.JobSucceeded(job_id, epoch, self.now))
        self.outcomes[job_id].ended_at = self.now

    def _release(self, about: tuple[str, int]) -> None:
        job_id, epoch = about
        self._apply(
            jobs_messages.ReleasePlacement(job_id, epoch, True, self.now)
        )
        self._placing.submitted(job_id)

    def _carry_out(self, command: steps.Command) -> None:
        before = self.book.cells.shortfall()
        self._apply(command)
        if self.book.cells.shortfall() > before:
            self.totals.broken_guarantees += 1
        if isinstance(command, jobs_messages.PlaceJob):
            self._start(command)
        elif isinstance(command, jobs_messages.HoldSlots):
            self._stop(command)

    def _start(self, command: jobs_messages.PlaceJob) -> None:
        job_id, epoch = command.job_id, command.epoch
        self._apply(jobs_messages.JobStarted(job_id, epoch, self.now))
        outcome = self.outcomes[job_id]
        outcome.running_since = self.now
        if outcome.started_at is None:
            outcome.started_at = self.now
        if outcome.claimed_at is not None:
            self.totals.reclaim_s.append(self.now - outcome.claimed_at)
            outcome.claimed_at = None
        self._at(self.now + outcome.left_s, "finish", (job_id, epoch))

    def _stop(self, command: jobs_messages.HoldSlots) -> None:
        if command.reason == jobs_messages.StopReason.RECLAIMED:
            self.outcomes[command.job_id].claimed_at = self.now
        for job_id in command.victims:
            outcome = self.outcomes[job_id]
            job = self.book.jobs[job_id]
            ran = self.now - outcome.running_since
            lost = CHECKPOINT_S
            if self._draw.random() < CHECKPOINT_FAILS:
                lost += ran
            else:
                outcome.left_s = max(1.0, outcome.left_s - ran)
            self.totals.preemptions += 1
            self.totals.lost_work += lost * job.spec.total_accelerators
            self._at(self.now + CHECKPOINT_S, "release", (job_id, job.epoch))

    def _pass_time(self, at: float) -> None:
        """Adds up what was free and in use since the last event."""
        span = at - self.now
        self.now = at
        if span <= 0.0 or at > self._last_arrival:
            return
        free = self.book.pool.free_accelerators
        total = self.totals
        total.busy += span * (self.site.accelerators - free)
        if not free:
            return
        usable = self._usable()
        unusable = free - usable
        gang = TYPICAL_GANG[0] * TYPICAL_GANG[1]
        total.together += span * (free // gang * gang)
        total.apart += span * (free // gang * gang - usable)
        total.free += span * free
        total.stranded += span * unusable
        total.ratio += span * unusable / free
        total.free_time += span

    def _usable(self) -> int:
        """Returns the free accelerators on which large gangs fit."""
        tasks, accelerators = TYPICAL_GANG
        usable = 0
        for rack in self.book.pool.racks.values():
            whole = sum(
                worker.free_mask.bit_count() >= accelerators
                for worker in rack.workers.values()
            )
            usable += whole // tasks * tasks * accelerators
        return usable


class Production(Placing):
    """The production planner, whole or without some of its mechanisms."""

    def __init__(
        self,
        site: arrivals_module.Site,
        weights: tuple[float, float],
        drains: bool = True,
        claims: bool = True,
    ) -> None:
        self.claims = claims
        self._policy = policies.Policy(
            completion_weight=weights[0],
            fragmentation_weight=weights[1],
            gang_wait_bound_s=site.bound_s,
            checkpoint_timeout_s=30.0,
            account_weights=site.weights,
        )
        self._planner = planner.Planner() if drains else _WithoutDrains()

    def submitted(self, job_id: str) -> None:
        """Does nothing: the ledger has the queue."""

    def steps(
        self, book: jobs_book.JobBook, now: float
    ) -> collections_abc.Iterator[steps.Command]:
        """Yields the planner's commands."""
        for step in self._planner.steps(book, self._policy, now):
            yield step.command


class _WithoutDrains(planner.Planner):
    def _gangs(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> collections_abc.Iterator[steps.Step]:
        yield from ()
