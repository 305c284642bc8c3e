"""Stateful test of the planner and the ledger under random commands."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.jobs import claims
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.state import cells
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages as messages
from laburnumsill.state import placements
from laburnumsill.state.tests import ledger_checks

ACCOUNTS = ("tana", "fingal")
RACKS = ("r1", "r2", "r3")
NAMES = [f"{rack}w{n}" for rack in RACKS for n in range(2)]
POLICY = policies.Policy(gang_wait_bound_s=50, checkpoint_timeout_s=5)
LEASE_S = 10.0
numbers = strategies.integers(0, 10**6)


def guarantees(number, pairs, whole, racks):
    return strategies.tuples(
        strategies.integers(0, number),
        strategies.integers(0, pairs),
        strategies.integers(0, whole),
        strategies.integers(0, racks),
    )


class PlannerMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.ledger = jobs.JobLedger("north")
        self.planner = planner.Planner()
        self.now = 1000.0
        self.jobs = {}
        self.cancelled = set()
        self.version = 0
        self.was_restorable = True
        self.capacity_lost = True

    @property
    def book(self):
        return self.ledger.book

    def apply(self, command):
        """Applies a command after encoding and decoding it, as a group does."""
        command = codec.decode(codec.encode(command))
        return self.ledger.commands()[type(command)](command)

    def choose(self, items, number):
        items = sorted(items)
        return items[number % len(items)] if items else None

    @stateful.initialize(
        tana=guarantees(2, 2, 1, 1), fingal=guarantees(3, 1, 1, 0)
    )
    def begin(self, tana, fingal):
        present = [ledger_checks.worker(name, name[:2]) for name in NAMES]
        self.apply(messages.PutWorkers(tuple(present), (), self.now))
        self.guarantee(tana, fingal)
        self.wait(1.0)

    @stateful.rule(tana=guarantees(2, 2, 1, 1), fingal=guarantees(3, 1, 1, 0))
    def guarantee(self, tana, fingal):
        self.version += 1
        self.apply(
            messages.SetGuarantees(
                self.version, {"tana": tana, "fingal": fingal}
            )
        )
        self.capacity_lost = True

    @stateful.rule(
        account=strategies.sampled_from(ACCOUNTS),
        tasks=strategies.sampled_from((1, 1, 1, 2, 2, 4)),
        accelerators=strategies.sampled_from((0, 1, 1, 2, 3, 4, 4)),
        cores=strategies.sampled_from((1, 4, 8, 16)),
        adjacency=strategies.sampled_from(("rack", "any")),
        guaranteed=strategies.booleans(),
        urgent=strategies.booleans(),
    )
    def submit(self, **fields):
        if fields["guaranteed"] and not fields["accelerators"]:
            return
        spec = messages.JobSpec(memory_gb=1, **fields)
        job_id = f"north.{len(self.jobs)}"
        command = messages.SubmitJob(job_id, "d", spec, 1000, self.now)
        first = self.apply(command)
        assert self.apply(command) == first
        self.jobs[job_id] = spec

    @stateful.rule(steps=strategies.integers(1, 8))
    def plan(self, steps):
        found = self.planner.steps(self.book, POLICY, self.now)
        for _, step in zip(range(steps), found, strict=False):
            self.apply(step.command)
            ledger_checks.check(self.ledger)

    @stateful.rule(
        number=numbers, place=numbers, mask=strategies.integers(0, 15)
    )
    def place_anywhere(self, number, place, mask):
        """A placement is refused unless its slots are available to the job."""
        waiting = [
            name
            for name, job in self.book.jobs.items()
            if job.state == messages.JobState.QUEUED and job.spec.tasks == 1
        ]
        job_id = self.choose(waiting, number)
        name = self.choose(self.book.pool.workers, place)
        if job_id is None or name is None:
            return
        job = self.book.jobs[job_id]
        worker = self.book.pool.workers[name]
        taken = worker.used_mask | worker.held_mask & ~worker.holds.get(
            job_id, 0
        )
        usable = worker.usable
        slots = (messages.Slot(name, mask),)
        try:
            self.apply(
                messages.PlaceJob(job_id, job.epoch + 1, slots, self.now)
            )
        except errors.ConflictError:
            return
        assert usable
        assert not mask & taken or job.spec.guaranteed

    @stateful.rule(number=numbers)
    def start(self, number):
        job_id = self.choose(self.preparing(), number)
        if job_id:
            job = self.book.jobs[job_id]
            self.apply(messages.JobStarted(job_id, job.epoch, self.now))

    def preparing(self):
        return [
            name
            for name, job in self.book.unsettled.items()
            if job.state == messages.JobState.PREPARING
        ]

    @stateful.rule(number=numbers)
    def start_stopping_job(self, number):
        job_id = self.choose(self.stopping(), number)
        if job_id is None:
            return
        job = self.book.jobs[job_id]
        try:
            self.apply(messages.JobStarted(job_id, job.epoch, self.now))
        except errors.ConflictError:
            return
        raise AssertionError(f"{job} was started while it is stopping")

    @stateful.rule(number=numbers)
    def succeed(self, number):
        running = [
            name
            for name, job in self.book.live.items()
            if job.state == messages.JobState.RUNNING
        ]
        job_id = self.choose(running, number)
        if job_id:
            epoch = self.book.jobs[job_id].epoch
            self.apply(messages.JobSucceeded(job_id, epoch, self.now))

    @stateful.rule(
        number=numbers, reason=strategies.sampled_from(messages.StopReason)
    )
    def stop(self, number, reason):
        job_id = self.choose(self.book.live, number)
        if job_id is None or reason == messages.StopReason.CANCELLED:
            return
        job = self.book.jobs[job_id]
        blamed = ""
        if reason in messages.FAULTS or reason.startswith("worker-unr"):
            blamed = job.slots[0].worker_id
            self.capacity_lost = True
        self.apply(
            messages.StopPlacement(
                job_id, job.epoch, reason, self.now, blamed=blamed
            )
        )

    @stateful.rule(number=numbers, confirmed=strategies.booleans())
    def release(self, number, confirmed):
        job_id = self.choose(self.stopping(), number)
        if job_id is None:
            return
        job = self.book.jobs[job_id]
        safe = self.now >= job.placement.safe_at
        command = messages.ReleasePlacement(
            job_id, job.epoch, confirmed, self.now
        )
        try:
            self.apply(command)
        except errors.ConflictError:
            assert not confirmed and not safe
        else:
            assert confirmed or safe

    def stopping(self):
        return [
            name
            for name, job in self.book.live.items()
            if job.placement.stopping is not None
        ]

    @stateful.rule(number=numbers)
    def cancel(self, number):
        job_id = self.choose(self.jobs, number)
        if job_id is None:
            return
        view = self.apply(messages.CancelJob(job_id, self.now))
        if view.state == messages.JobState.CANCELLED:
            self.cancelled.add(job_id)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lose_worker(self, name):
        self.apply(messages.PutWorkers((), (name,), self.now))
        self.capacity_lost = True

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        incarnation=strategies.sampled_from("12"),
        leaving=strategies.booleans(),
    )
    def announce(self, name, incarnation, leaving):
        worker = ledger_checks.worker(name, name[:2], 4, incarnation, leaving)
        self.apply(messages.PutWorkers((worker,), (), self.now))
        self.capacity_lost = True

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def return_worker(self, name):
        self.apply(messages.ReturnWorker(name, self.now))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 60.0)))
    def wait(self, seconds):
        self.now += seconds
        command = messages.ExtendLeases(1, self.now + LEASE_S, self.now)
        assert self.apply(command).until >= self.now + LEASE_S

    @stateful.rule()
    def restart_from_a_snapshot(self):
        raw = self.ledger.dump()
        self.ledger = jobs.JobLedger("north")
        self.ledger.load(raw)
        assert self.ledger.dump() == raw
        self.planner = planner.Planner()

    @stateful.rule(
        account=strategies.sampled_from(ACCOUNTS),
        level=strategies.sampled_from(cells.Level),
    )
    def claim_a_cell(self, account, level):
        """An unbound cell of a restorable guarantee can always be claimed."""
        if not self.book.cells.unbound(account)[level]:
            return
        if not ledger_checks.restorable(self.book):
            return
        sizes = {0: (1, 1), 1: (1, 2), 2: (1, 4), 3: (2, 4)}
        tasks, accelerators = sizes[int(level)]
        if level == cells.Level.RACK and not self.racks_are_complete():
            return
        spec = messages.JobSpec(
            account, tasks, accelerators, 1, 1, guaranteed=True
        )
        probe = placements.Job("probe", "", spec, 0, self.now, self.now)
        self.book.jobs["probe"] = probe
        claim = claims.find_claim(self.book, probe, self.now)
        del self.book.jobs["probe"]
        assert claim is not None
        for victim in claim.plan.victims:
            assert not self.book.jobs[victim].spec.guaranteed

    def racks_are_complete(self):
        """Returns whether both workers of every rack are present."""
        return all(len(r.workers) == 2 for r in self.book.pool.racks.values())

    @stateful.invariant()
    def ledger_is_consistent(self):
        ledger_checks.check(self.ledger)
        is_restorable = ledger_checks.restorable(self.book)
        assert is_restorable == (self.book.cells.shortfall() == 0)
        if self.was_restorable and not self.capacity_lost:
            assert is_restorable, "a guarantee cannot be restored any more"
        self.was_restorable = is_restorable
        self.capacity_lost = False

    @stateful.invariant()
    def no_job_is_lost(self):
        assert set(self.book.jobs) == set(self.jobs)
        for job_id in self.cancelled:
            assert self.book.jobs[job_id].state == "cancelled"


TestPlannerMachine = PlannerMachine.TestCase
TestPlannerMachine.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def test_a_claim_binds_the_smallest_cells_that_suffice():
    machine = PlannerMachine()
    machine.begin((1, 1, 1, 1), (0, 0, 0, 0))
    spec = messages.JobSpec("tana", 1, 2, 1, 1, guaranteed=True)
    machine.apply(messages.SubmitJob("north.0", "d", spec, 10, 0.0))
    machine.plan(1)
    (cell,) = machine.book.cells.bound["tana"]
    assert cell.level == cells.Level.PAIR
    bigger = dataclasses.replace(spec, tasks=2, accelerators=4)
    machine.apply(messages.SubmitJob("north.1", "d", bigger, 10, 0.0))
    machine.plan(1)
    assert machine.book.cells.bound["tana"][1].level == cells.Level.RACK
