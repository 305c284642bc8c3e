"""Reports of workers that have more ends than one report lists."""

import pytest
import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_session

TASKS = 7
NEEDS = model.Resources(100, 100, 0)


def run_of(index):
    return model.RunId(model.TaskId("k", 0, 0, index), 1)


class PagingClient(test_session.ScriptedClient):
    """A worker whose report lists the first unacknowledged ends only.

    Attributes:
        listed_ends: Most ends in a report.
        running: The runs that it lists as running.
        unreadable: Number of an end whose row cannot be read, 0 for none.
    """

    def __init__(self, listed_ends):
        super().__init__()
        self.listed_ends = listed_ends
        self.running = []
        self.unreadable = 0
        self._ends = []

    def end_all(self):
        self._ends = [
            commands.EndedRun(number, run, commands.EndKind.DONE)
            for number, run in enumerate(self.running, 1)
        ]
        self.running = []

    async def start(self, worker, order, deadline):
        self.orders.append(("start", order))
        await trio.sleep(0.001)
        if order.run in self.running:
            return worker_client.Answer(self.clock_ms)
        raise worker_client.RunOverError("old", clock_ms=self.clock_ms)

    async def report(self, worker, order, deadline):
        self.orders.append(("report", order))
        running = tuple(
            worker_client.RunningRun(run, "", 1) for run in self.running
        )
        unread = [end for end in self._ends if end.number > order.last_end]
        listed = tuple(unread[: self.listed_ends])
        if listed:
            await trio.sleep(0.01)
        else:
            await trio.sleep(order.wait_ms / 1000 or 0.01)
        readable = tuple(end for end in listed if end.number != self.unreadable)
        return worker_client.Report(
            1000 + int(1000 * trio.current_time()),
            running,
            readable,
            malformed_ended=len(listed) - len(readable),
        )


def add_runs(term, count):
    step = model.Step(count, NEEDS)
    terms = model.QueueTerms("pool", 1, 3)
    job = model.Job("k", "q", "a", "", (step,), terms)
    term.ledger.submit(caller_commands.SubmitJob(job, 0))
    groups = tuple(
        (commands.Placement(run_of(index), "w"),) for index in range(count)
    )
    assert not any(term.ledger.place(commands.PlaceRuns(groups, 0)).refusals)
    test_session.release_run(term)


def with_worker(term, listed_ends):
    """Gives a term a worker that runs all tasks."""
    term.client = PagingClient(listed_ends)
    add_runs(term, TASKS)
    term.client.running = [run_of(index) for index in range(TASKS)]


def state_of(term):
    return term.ledger.jobs["k"].state


@pytest.mark.parametrize("listed_ends", [1, 2, TASKS])
def test_runs_with_unread_ends_are_not_released_by_a_new_leader(listed_ends):
    """Guards against tasks that run again after an end that is noted."""

    async def script(term):
        with_worker(term, listed_ends)
        term.client.end_all()
        await trio.sleep(2.0)
        assert not term.released()
        assert state_of(term) is caller_commands.JobState.COMPLETED
        assert not term.client.given("start")
        assert not term.client.given("stop")

    test_session.run_script(script)


@pytest.mark.parametrize("listed_ends", [1, 2, TASKS])
def test_runs_with_unread_ends_do_not_count_as_missing(listed_ends):
    """Guards against stops of runs that have ended, without a new leader."""

    async def script(term):
        with_worker(term, listed_ends)
        for index in range(TASKS):
            term.session.start(run_of(index))
        await trio.sleep(3.0)
        term.client.end_all()
        await trio.sleep(4.0)
        assert not term.released()
        assert state_of(term) is caller_commands.JobState.COMPLETED
        assert not term.client.given("stop")

    test_session.run_script(script)


def test_further_ends_are_requested_at_once():
    """Guards against tasks that wait while the session waits for an end."""

    async def script(term):
        with_worker(term, 1)
        term.client.end_all()
        await trio.sleep(TASKS * 0.05)
        assert state_of(term) is caller_commands.JobState.COMPLETED

    test_session.run_script(script)


def test_a_run_that_never_began_is_started_after_the_last_end_is_read():
    """Guards against a run of an earlier leader that nobody starts."""

    async def script(term):
        term.client = PagingClient(2)
        add_runs(term, TASKS)
        term.client.running = [run_of(index) for index in range(TASKS - 1)]
        term.client.end_all()
        await trio.sleep(0.5)
        starts = {order.run for order in term.client.given("start")}
        assert starts == {run_of(TASKS - 1)}

    test_session.run_script(script)


def test_a_full_report_without_new_ends_shows_no_absence():
    """Guards against workers that list acknowledged ends again."""

    async def script(term):
        report = worker_client.Report(1000, (), (), omits_ends=True)
        term.client.reports = [test_session.running(), *[report] * 400]
        term.session.start(test_session.RUN)
        await trio.sleep(2.0)
        assert not term.client.given("stop")
        assert not term.released()

    test_session.run_script(script)


def test_an_end_that_cannot_be_read_is_not_acknowledged():
    """Guards against a run that is released though it may be done.

    The worker would forget the end, and no later report would list its run.
    """

    async def script(term):
        with_worker(term, TASKS)
        for index in range(TASKS):
            term.session.start(run_of(index))
        await trio.sleep(0.5)
        expires_at = term.session.leases_expire_at
        term.client.unreadable = 3
        term.client.end_all()
        await trio.sleep(expires_at - trio.current_time() - 0.5)
        assert term.ledger.last_end("w") == 2
        assert not term.released()
        assert term.session.has_unread_ends
        await trio.sleep(3.0)
        released = {one.run for one in term.released()}
        assert released == {run_of(index) for index in range(2, TASKS)}
        assert all(one.is_lost for one in term.released())
        cursors = {order.last_end for order in term.client.given("report")}
        assert max(cursors) == 2

    test_session.run_script(script)


def test_a_worker_whose_ends_can_be_read_again_is_used_again():
    async def script(term):
        with_worker(term, TASKS)
        term.client.unreadable = 3
        term.client.end_all()
        await trio.sleep(2.0)
        assert term.session.has_unread_ends
        term.client.unreadable = 0
        await trio.sleep(2.0)
        assert not term.session.has_unread_ends
        assert state_of(term) is caller_commands.JobState.COMPLETED

    test_session.run_script(script)
