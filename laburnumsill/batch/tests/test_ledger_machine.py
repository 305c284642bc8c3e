"""State machine test of the ledger: random commands, also invalid ones."""

import collections

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import evacuations
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import queue_pools
from laburnumsill.batch import records

WORKERS = ["w0", "w1", "w2"]
DOMAINS = {"w0": "north", "w1": "north", "w2": "south"}
JOBS = ["j0", "j1", "j2", "j3"]
CAPACITY = model.Resources(8000, 8000, 8)
KINDS = list(commands.EndKind)
POOLS = ["pool", "other"]
FEWEST_CRASHES = 3
MOST_CRASHES = 5

steps = st.builds(
    model.Step,
    tasks=st.integers(1, 3),
    needs=st.builds(
        model.Resources,
        st.sampled_from([1000, 4000]),
        st.just(1000),
        st.sampled_from([1, 4, 8]),
    ),
    gang=st.booleans(),
    max_per_worker=st.sampled_from([0, 1]),
    long_running=st.booleans(),
)
SEMANTICS = st.integers(0, commands.SEMANTICS)


class LedgerMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.ledger = ledgers.BatchLedger()
        self.now = 0
        self.ended_states = {}
        self.done = set()
        self.noted_as_before = set()
        self.incarnations = dict.fromkeys(WORKERS, 0)
        self.crashes = collections.Counter()
        self.evacuated = set()
        self.withdrawn = set()
        self.departed = set()
        self.moved = {}

    def present_id(self, address):
        """Returns the worker id of the present incarnation at an address."""
        return f"{address}-{self.incarnations[address]}"

    def tick(self):
        self.now += 1
        return self.now

    @stateful.rule(
        job_id=st.sampled_from(JOBS),
        spec=st.lists(steps, min_size=1, max_size=2),
    )
    def submit(self, job_id, spec):
        chained = tuple(
            model.Step(
                one.tasks,
                one.needs,
                gang=one.gang,
                max_per_worker=one.max_per_worker,
                long_running=one.long_running,
                depends_on=tuple(range(number)),
            )
            for number, one in enumerate(spec)
        )
        terms = model.QueueTerms("pool", 1, 2)
        job = model.Job(job_id, "q", "a", "", chained, terms)
        known = job_id in self.ledger.jobs
        try:
            self.ledger.submit(caller_commands.SubmitJob(job, self.tick()))
        except caller_commands.JobWithdrawnError:
            assert job_id in self.withdrawn
            assert job_id not in self.ledger.jobs
        else:
            assert known or job_id not in self.withdrawn

    @stateful.rule(job_id=st.sampled_from(JOBS))
    def cancel(self, job_id):
        if job_id not in self.ledger.jobs:
            self.withdrawn.add(job_id)
        self.ledger.cancel(caller_commands.CancelJob(job_id, self.tick(), "a"))

    @stateful.rule(worker_id=st.sampled_from(WORKERS), draining=st.booleans())
    def put_worker(self, worker_id, draining):
        address = worker_id
        worker_id = self.present_id(worker_id)
        worker = model.Worker(
            worker_id,
            POOLS[worker_id.startswith("w2")],
            address,
            DOMAINS[address],
            CAPACITY,
            draining=draining,
        )
        self.ledger.put_worker(commands.PutWorker(worker, at_ms=self.tick()))

    @stateful.rule(worker_id=st.sampled_from(WORKERS))
    def remove_worker(self, worker_id):
        worker_id = self.present_id(worker_id)
        self.ledger.remove_worker(commands.RemoveWorker(worker_id, "gone"))

    @stateful.rule(worker_id=st.sampled_from(WORKERS))
    def depart(self, worker_id):
        worker_id = self.present_id(worker_id)
        runs = set(self.ledger.runs_on(worker_id))
        self.ledger.note_departure(
            commands.NoteDeparture(worker_id, self.tick())
        )
        assert set(self.ledger.runs_on(worker_id)) == runs
        self.departed.add(worker_id)

    @stateful.rule(worker_id=st.sampled_from(WORKERS), crashed=st.booleans())
    def end_worker(self, worker_id, crashed):
        present_id = self.present_id(worker_id)
        for run in self.ledger.runs_on(present_id):
            self.crashes[run.task] += crashed
        self.ledger.remove_worker(
            commands.RemoveWorker(
                present_id, "ended", ended_ms=self.tick(), crashed=crashed
            )
        )
        self.incarnations[worker_id] += 1

    @stateful.rule(
        data=st.data(), job_id=st.sampled_from(JOBS), semantics=SEMANTICS
    )
    def place(self, data, job_id, semantics):
        """Places tasks of a step on random workers, allowed or not."""
        record = self.ledger.jobs.get(job_id)
        if record is None:
            return
        number = data.draw(st.integers(0, len(record.job.steps) - 1))
        step = record.job.steps[number]
        count = data.draw(st.integers(1, step.tasks))
        group = []
        last = max(t.last_run for t in record.steps[0][number].tasks)
        for index in range(count):
            run = model.RunId(model.TaskId(job_id, 0, number, index), last + 1)
            worker_id = self.present_id(data.draw(st.sampled_from(WORKERS)))
            group.append(commands.Placement(run, worker_id))
        placed = self.ledger.place(
            commands.PlaceRuns(
                (tuple(group),), self.tick(), semantics=semantics
            )
        )
        restarts = semantics >= commands.RESTARTS_LONG_RUNNING
        if not placed.refusals[0]:
            for placement in group:
                may_restart = restarts and step.long_running
                assert may_restart or placement.run.task not in self.done
                assert self.ledger.jobs[job_id].active
                worker = self.ledger.workers[placement.worker_id]
                assert worker.domain not in self.evacuated
                assert worker.worker_id not in self.departed
                _, pool = self.moved.get("q", (0, "pool"))
                assert worker.pool == pool

    @stateful.rule(version=st.integers(1, 20), pool=st.sampled_from(POOLS))
    def move_queue(self, version, pool):
        live = set(self.ledger.runs)
        self.ledger.move_queues(queue_pools.MoveQueues(version, {"q": pool}))
        assert set(self.ledger.runs) == live
        if version >= self.moved.get("q", (0, ""))[0]:
            self.moved["q"] = (version, pool)

    @stateful.rule(
        data=st.data(), kind=st.sampled_from(KINDS), semantics=SEMANTICS
    )
    def end(self, data, kind, semantics):
        runs = list(self.ledger.runs.values())
        if not runs:
            return
        record = data.draw(st.sampled_from(runs))
        number = self.ledger.last_end(record.worker_id) + 1
        end = commands.EndedRun(number, record.run, kind, "s")
        note = commands.NoteEnds(
            record.worker_id, (end,), self.tick(), semantics
        )
        if semantics < commands.RESTARTS_LONG_RUNNING:
            self.noted_as_before.add(record.run.task.job_id)
        for _ in range(data.draw(st.integers(1, 2))):
            self.ledger.note_ends(note)  # a repeated command is ignored

    @stateful.rule(data=st.data())
    def release(self, data):
        runs = list(self.ledger.runs.values())
        if runs:
            record = data.draw(st.sampled_from(runs))
            one = commands.Release(record.run, record.worker_id, "why")
            self.ledger.release(commands.ReleaseRuns((one,), self.tick()))

    @stateful.rule(
        domain=st.sampled_from(sorted(set(DOMAINS.values()))),
        evacuated=st.booleans(),
        outdated=st.booleans(),
    )
    def order_evacuation(self, domain, evacuated, outdated):
        """Gives an order, possibly one that another one has overtaken."""
        query = evacuations.DomainQuery(domain)
        version = self.ledger.domain_status(query).state.version
        if outdated and not version:
            return
        order = evacuations.SetEvacuation(
            domain,
            evacuated,
            version - outdated,
            self.tick(),
            counts_always=True,
        )
        holds = (domain in self.evacuated) == evacuated
        try:
            state = self.ledger.set_evacuation(order)
        except evacuations.EvacuationConflictError:
            assert outdated and not holds
            return
        assert holds or not outdated
        assert state.evacuated == evacuated
        change = self.evacuated.add if evacuated else self.evacuated.discard
        change(domain)

    @stateful.invariant()
    def evacuations_are_kept(self):
        assert self.ledger.evacuated_domains == self.evacuated
        left = sum(
            worker.domain not in self.evacuated
            for worker in self.ledger.workers.values()
        )
        slots = (self.ledger.slots_in(pool, CAPACITY) for pool in POOLS)
        assert sum(slots) == left

    @stateful.rule()
    def reload(self):
        raw = self.ledger.dump()
        self.ledger = ledgers.BatchLedger()
        self.ledger.load(raw)
        assert self.ledger.dump() == raw

    @stateful.invariant()
    def a_task_has_one_live_run(self):
        tasks = [run.task for run in self.ledger.runs]
        assert len(tasks) == len(set(tasks))
        for task in tasks:
            assert self.ledger.live_run(task) in self.ledger.runs

    @stateful.invariant()
    def indices_match_a_recount_of_the_live_runs(self):
        for worker_id, worker in self.ledger.workers.items():
            free = worker.capacity
            for run, record in self.ledger.runs.items():
                if record.worker_id == worker_id:
                    assert run in self.ledger.runs_on(worker_id)
                    free -= self.ledger.needs_of(run)
            assert self.ledger.free_on(worker_id) == free
        by_step = {}
        for run in self.ledger.runs:
            by_step.setdefault(run.task.step_key, set()).add(run)
        assert by_step == {
            key: set(runs) for key, runs in self.ledger.runs_by_step.items()
        }

    @stateful.invariant()
    def waiting_tasks_are_neither_done_nor_live(self):
        for job_id, record in self.ledger.active_jobs.items():
            for number, step in enumerate(record.steps[0]):
                waiting = [
                    task_id
                    for index, task in enumerate(step.tasks)
                    if (
                        record.job.steps[number].long_running
                        or not task.done_run
                    )
                    and self.ledger.live_run(
                        task_id := model.TaskId(job_id, 0, number, index)
                    )
                    is None
                ]
                key = (job_id, 0, number)
                assert list(self.ledger.waiting_tasks(key)) == waiting

    @stateful.invariant()
    def no_worker_is_over_its_capacity(self):
        for worker_id in self.ledger.workers:
            free = self.ledger.free_on(worker_id)
            assert model.Resources().fits_in(free), free

    @stateful.invariant()
    def ends_of_jobs_and_tasks_are_final(self):
        for job_id, record in self.ledger.jobs.items():
            before = self.ended_states.get(job_id)
            assert before is None or record.state == before
            if not record.active:
                self.ended_states[job_id] = record.state
            for occurrence in record.steps:
                for number, step in enumerate(occurrence):
                    for index, task in enumerate(step.tasks):
                        task_id = model.TaskId(job_id, 0, number, index)
                        assert task.done_run or task_id not in self.done
                        if task.done_run:
                            self.done.add(task_id)
                            lasts = record.job.steps[number].long_running
                            assert not lasts or job_id in self.noted_as_before

    @stateful.invariant()
    def job_states_match_the_ends_of_tasks(self):
        for job_id, record in self.ledger.jobs.items():
            if record.state is caller_commands.JobState.COMPLETED:
                assert record.done
                assert not record.job.lasts or job_id in self.noted_as_before
            if record.state is caller_commands.JobState.FAILED:
                failed = any(
                    task.failures >= record.job.terms.max_attempts
                    for number, step in enumerate(record.steps[0])
                    if not record.job.steps[number].long_running
                    for task in step.tasks
                )
                assert failed or self.may_exceed_blame_limit(record.job.job_id)

    def may_exceed_blame_limit(self, job_id):
        return any(
            count >= FEWEST_CRASHES and task.job_id == job_id
            for task, count in self.crashes.items()
        )

    @stateful.invariant()
    def a_task_that_crashed_many_workers_fails_its_job(self):
        for task, count in self.crashes.items():
            if count >= MOST_CRASHES:
                assert task.job_id not in self.ledger.active_jobs

    @stateful.invariant()
    def a_step_has_run_only_after_its_dependencies(self):
        for record in self.ledger.jobs.values():
            for number, step in enumerate(record.steps[0]):
                if any(task.last_run for task in step.tasks):
                    assert record.ready(0, number)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def ledger_with(tasks, attempts=2):
    """Returns a ledger with a worker and a job; several tasks are a gang."""
    ledger = ledgers.BatchLedger()
    worker = model.Worker("w0", "pool", "", "d", CAPACITY)
    ledger.put_worker(commands.PutWorker(worker))
    needs = model.Resources(1000, 1000, 4)
    step = model.Step(tasks, needs, gang=tasks > 1)
    terms = model.QueueTerms("pool", 1, attempts)
    job = model.Job("j", "q", "a", "", (step,), terms)
    ledger.submit(caller_commands.SubmitJob(job, 0))
    return ledger


def runs_of(tasks, number=1):
    return [
        model.RunId(model.TaskId("j", 0, 0, index), number)
        for index in range(tasks)
    ]


def place(ledger, runs):
    """Places runs as one group; returns the refusal, "" if placed."""
    group = tuple(commands.Placement(run, "w0") for run in runs)
    return ledger.place(commands.PlaceRuns((group,), 0)).refusals[0]


def record_ends(ledger, *ends):
    ledger.note_ends(commands.NoteEnds("w0", ends, 5))


def state_of(ledger):
    return ledger.job_state(caller_commands.JobQuery("j")).state


def test_a_gang_is_placed_whole_or_not_at_all():
    ledger = ledger_with(2)
    runs = runs_of(2)
    assert place(ledger, runs[:1]) == "1 of a gang of 2"
    assert not ledger.runs
    assert place(ledger, runs) == ""


def test_success_of_one_member_completes_its_gang():
    ledger = ledger_with(2)
    runs = runs_of(2)
    place(ledger, runs)
    record_ends(ledger, commands.EndedRun(1, runs[0], commands.EndKind.DONE))
    assert state_of(ledger) == caller_commands.JobState.COMPLETED
    assert list(ledger.runs) == [runs[1]]  # live until its own end is recorded


def test_a_failed_run_of_a_gang_counts_as_one_attempt():
    ledger = ledger_with(2)
    for number in (1, 2):
        runs = runs_of(2, number)
        place(ledger, runs)
        ends = [
            commands.EndedRun(2 * number + i, run, commands.EndKind.FAILED)
            for i, run in enumerate(runs)
        ]
        record = ledger.jobs["j"]
        assert records.failed_attempts(record, runs[0].task) == number - 1
        record_ends(ledger, *ends)
    assert state_of(ledger) == caller_commands.JobState.FAILED


def test_a_failure_that_is_read_late_counts_as_an_attempt():
    ledger = ledger_with(1, attempts=1)
    (run,) = runs_of(1)
    place(ledger, [run])
    lost = commands.Release(run, "w0", "its lease has ended")
    ledger.release(commands.ReleaseRuns((lost,), 1))
    record_ends(ledger, commands.EndedRun(1, run, commands.EndKind.FAILED))
    assert state_of(ledger) == caller_commands.JobState.FAILED


def test_late_progress_of_an_earlier_gang_run_replaces_no_newer_one():
    """A released run's end is read after the next run saved progress."""
    ledger = ledger_with(2)
    first, second = runs_of(2, 1), runs_of(2, 2)
    place(ledger, first)
    lost = [commands.Release(run, "w0", "its lease has ended") for run in first]
    ledger.release(commands.ReleaseRuns(tuple(lost), 1))
    place(ledger, second)
    seen = (commands.SeenRun(second[0], "newer"),)
    ledger.note_running(commands.NoteRunning(seen))
    record_ends(
        ledger, commands.EndedRun(1, first[1], commands.EndKind.STOPPED, "old")
    )
    (step,) = ledger.jobs["j"].steps[0]
    assert {task.saved for task in step.tasks} == {"newer"}
