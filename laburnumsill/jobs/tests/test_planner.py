import dataclasses

import pytest

from laburnumsill.core import errors
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages as messages
from laburnumsill.state.tests import ledger_checks

POLICY = policies.Policy(gang_wait_bound_s=100.0, checkpoint_timeout_s=5.0)
ONE = messages.JobSpec("tana", accelerators=1)
GANG = messages.JobSpec("fingal", tasks=2, accelerators=8)


class Domain:
    """A planner and a ledger; each worker has eight accelerators."""

    def __init__(self, racks=1, workers=2):
        self.ledger = jobs.JobLedger("north")
        self.planner = planner.Planner()
        self.now = 1000.0
        self.apply(
            messages.PutWorkers(
                tuple(
                    ledger_checks.worker(f"r{r}w{w}", f"r{r}", 8)
                    for r in range(racks)
                    for w in range(workers)
                ),
                (),
                self.now,
            )
        )

    @property
    def book(self):
        return self.ledger.book

    def apply(self, command):
        return self.ledger.commands()[type(command)](command)

    def submit(self, job_id, spec):
        self.apply(messages.SubmitJob(job_id, "", spec, 999, self.now))

    def plan(self):
        """Runs one pass and returns the reason of each step."""
        taken = []
        for step in self.planner.steps(self.book, POLICY, self.now):
            self.apply(step.command)
            taken.append(step.why)
            if isinstance(step.command, messages.PlaceJob):
                self.apply(
                    messages.JobStarted(
                        step.command.job_id, step.command.epoch, self.now
                    )
                )
        return taken

    def end(self, job_id):
        epoch = self.book.jobs[job_id].epoch
        self.apply(messages.JobSucceeded(job_id, epoch, self.now))

    def release(self):
        for job in list(self.book.unsettled.values()):
            self.apply(
                messages.ReleasePlacement(job.job_id, job.epoch, True, self.now)
            )

    def workers_of(self, job_id):
        return {slot.worker_id for slot in self.book.jobs[job_id].slots}


def test_small_jobs_fill_partly_used_workers_first():
    domain = Domain(racks=2)
    for number in range(8):
        domain.submit(f"s{number}", ONE)
    domain.plan()
    assert len({w for n in range(8) for w in domain.workers_of(f"s{n}")}) == 1
    domain.submit("g", GANG)
    assert domain.plan() == ["best-fit"]
    (rack,) = {name[:2] for name in domain.workers_of("g")}
    assert rack != next(iter(domain.workers_of("s0")))[:2]


def test_accounts_share_borrowed_capacity_equally():
    domain = Domain(workers=1)
    for number in range(8):
        domain.submit(f"t{number}", ONE)
        domain.submit(f"f{number}", dataclasses.replace(ONE, account="fingal"))
    domain.plan()
    running = sorted(domain.book.live)
    assert running == [f"{a}{n}" for a in "ft" for n in range(4)]


def test_small_borrowers_are_preempted_to_defragment_for_a_gang():
    domain = Domain(workers=3)
    for number in range(24):
        domain.submit(f"s{number}", ONE)
    domain.plan()
    for number in range(24):
        if number % 3:
            domain.end(f"s{number}")
    domain.submit("g", GANG)
    assert domain.plan() == []
    domain.now += 0.6 * POLICY.gang_wait_bound_s
    assert domain.plan() == ["move-borrowers-together"]
    domain.release()
    assert domain.plan()[0] == "held-slots-free"
    assert len(domain.book.live) == 9


def test_slots_are_reserved_for_a_gang_that_does_not_fit():
    domain = Domain()
    for number in range(16):
        domain.submit(f"s{number}", ONE)
    domain.plan()
    domain.submit("g", GANG)
    for number in range(20):
        domain.submit(f"more{number}", ONE)
    domain.now += 1.1 * POLICY.gang_wait_bound_s
    assert domain.plan() == ["gang-waited-past-bound"]
    domain.end("s0")
    assert domain.plan() == []
    domain.now += POLICY.gang_wait_bound_s
    assert domain.plan() == ["drain-took-too-long"]
    domain.release()
    assert domain.plan()[0] == "held-slots-free"
    domain.end("g")
    assert set(domain.plan()) == {"best-fit"}


def test_a_refused_step_does_not_block_other_shapes():
    domain = Domain(workers=1)
    domain.submit("a", ONE)
    step = next(domain.planner.steps(domain.book, POLICY, domain.now))
    stale = dataclasses.replace(step.command, epoch=7)
    with pytest.raises(errors.ConflictError):
        domain.apply(stale)
    domain.planner.record_refusal(domain.book, stale, domain.now)
    assert domain.plan() == []
    domain.submit("b", dataclasses.replace(ONE, cores=2))
    assert domain.plan() == ["best-fit"]
    domain.end("b")
    assert domain.plan() == ["best-fit"]


@pytest.mark.parametrize("guaranteed", [False, True])
def test_a_job_cancelled_before_its_placement_holds_up_no_other(guaranteed):
    """A cancellation before the placement in the log blocks no other job.

    With no job running, no capacity can become free. If the refusal were
    recorded for the shape, queued jobs of the same shape would starve.
    """
    domain = Domain(workers=1)
    spec = dataclasses.replace(ONE, guaranteed=guaranteed)
    if guaranteed:
        domain.apply(messages.SetGuarantees(1, {"tana": (2, 0, 0, 0)}))
    domain.submit("a", spec)
    domain.submit("b", spec)
    step = next(domain.planner.steps(domain.book, POLICY, domain.now))
    assert step.command.job_id == "a"
    domain.apply(messages.CancelJob("a", domain.now))
    with pytest.raises(errors.ConflictError):
        domain.apply(step.command)
    domain.planner.record_refusal(domain.book, step.command, domain.now)
    assert len(domain.plan()) == 1
    assert domain.workers_of("b")


def test_a_refused_step_is_retried_after_a_delay():
    domain = Domain(workers=1)
    domain.submit("a", ONE)
    step = next(domain.planner.steps(domain.book, POLICY, domain.now))
    domain.planner.record_refusal(domain.book, step.command, domain.now)
    assert domain.plan() == []
    domain.now += planner.REFUSAL_RETRY_S
    assert domain.plan() == ["best-fit"]


@pytest.mark.parametrize("spec", [GANG, ONE], ids=["gang", "single"])
def test_a_job_is_placed_once_its_workers_no_longer_leave(spec):
    # A leader that was frozen takes silent workers for leaving ones at first,
    # and a job that was planned meanwhile waited for ever.
    domain = Domain()
    announced = [one.announced for one in domain.book.pool.workers.values()]

    def announce(leaving):
        workers = (
            dataclasses.replace(worker, leaving=leaving) for worker in announced
        )
        domain.apply(messages.PutWorkers(tuple(workers), (), domain.now))

    announce(leaving=True)
    domain.submit("a", spec)
    assert domain.plan() == []
    announce(leaving=False)
    assert domain.plan() == ["best-fit"]
