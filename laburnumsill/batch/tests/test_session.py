"""Tests of worker sessions against a client with scripted answers."""

import msgspec
import pytest
import trio
import trio.lowlevel
import trio.testing

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import crashes
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import lost_work
from laburnumsill.batch import model
from laburnumsill.batch import order_slots
from laburnumsill.batch import orders
from laburnumsill.batch import restarts
from laburnumsill.batch import session as sessions
from laburnumsill.batch import term as terms
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import adaptive_timeout
from laburnumsill.core import errors
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import trio_clock

RUN = model.RunId(model.TaskId("j", 0, 0, 0), 1)
WORKER = model.Worker(
    "w", "pool", "w", "d", model.Resources(8000, 8000, 8), ("a", "r"), "r"
)


class ScriptedClient(worker_client.WorkerClient):
    """Client that records orders and returns or raises scripted answers."""

    def __init__(self):
        self.orders = []
        self.start_answers = []
        self.stop_answers = []
        self.reports = []
        self.clock_ms = 1000

    async def start(self, worker, order, deadline):
        self.orders.append(("start", order))
        return await self._answer(self.start_answers, deadline)

    async def stop(self, worker, run, fence, deadline):
        self.orders.append(("stop", run))
        return await self._answer(self.stop_answers, deadline)

    async def report(self, worker, order, deadline):
        self.orders.append(("report", order))
        if not self.reports:
            await trio.sleep(order.wait_ms / 1000 or 0.01)
            return worker_client.Report(self.clock_ms, (), ())
        found = self.reports.pop(0)
        if isinstance(found, Exception):
            raise found
        await trio.sleep(0.01)
        return found

    async def _answer(self, answers, deadline):
        await trio.sleep(0.001)
        found = answers.pop(0) if answers else worker_client.Answer(1000)
        if isinstance(found, worker_client.NoAnswerError):
            await trio.sleep(deadline - trio.current_time())
        if isinstance(found, Exception):
            raise found
        return found

    def given(self, kind):
        return [order for name, order in self.orders if name == kind]


class FakeTerm(terms.Term):
    def __init__(self, nursery):
        self.ledger = ledgers.BatchLedger()
        self.client = ScriptedClient()
        self.clock = trio_clock.TrioClock()
        self.fence = 7
        self.repeats_fence = False
        self.health = worker_health.WorkerHealth()
        self.longest_lease_ms = 10_000
        self.lead_age_s = 0.0
        self.order_timeout = adaptive_timeout.AdaptiveTimeout(0.1, 0.5, 4)
        self.order_slots = order_slots.OrderSlots()
        self.metrics = metrics_module.Metrics()
        self.lost_work = lost_work.LostWork(self.ledger, self.metrics)
        self.restarts = restarts.Restarts(self.metrics)
        self.probed_domains = []
        self.verified_workers = []
        self.committed = []
        step = model.Step(1, model.Resources(1000, 1000, 1))
        terms = model.QueueTerms("pool", 1, 3)
        job = model.Job("j", "q", "a", "", (step,), terms)
        self.ledger.put_worker(commands.PutWorker(WORKER))
        self.ledger.submit(caller_commands.SubmitJob(job, 0))
        self.ledger.place(
            commands.PlaceRuns(((commands.Placement(RUN, "w"),),), 0)
        )
        self.session = sessions.WorkerSession(
            WORKER, self, nursery, self.clock.monotonic()
        )
        self.session.observe_heartbeat(1000)

    @property
    def lead_confirmed_at(self):
        return self.clock.monotonic() - self.lead_age_s

    async def commit(self, command):
        await trio.sleep(0.005)
        self.committed.append(command)
        self.ledger.commands()[type(command)](command)

    async def end_other_incarnations(self, worker):
        self.verified_workers.append(worker.worker_id)

    def is_served(self, pool):
        return pool == WORKER.pool

    def request_plan(self):
        pass

    def record_seen(self, run):
        pass

    def probe_domain_of(self, worker):
        self.probed_domains.append(worker.domain)

    def step_down(self, worker_id):
        self.committed.append("fenced off")

    def released(self):
        return [
            one
            for command in self.committed
            if isinstance(command, commands.ReleaseRuns)
            for one in command.releases
        ]


def run_script(script):
    async def main():
        async with trio.open_nursery() as nursery:
            term = FakeTerm(nursery)
            nursery.start_soon(term.session.run)
            await script(term)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def running():
    return worker_client.Report(
        1000, (worker_client.RunningRun(RUN, "", 10),), ()
    )


def ended(kind, number=1):
    return worker_client.Report(
        1000, (), (commands.EndedRun(number, RUN, kind),)
    )


def test_an_end_is_committed_before_it_is_acknowledged():
    async def script(term):
        term.client.reports = [running(), ended(commands.EndKind.DONE)]
        term.session.start(RUN)
        await trio.sleep(1.0)
        (note,) = term.committed
        assert note.ends[0].kind is commands.EndKind.DONE
        acknowledged = [order.last_end for order in term.client.given("report")]
        assert acknowledged == [0, 0, 1]  # the last report acknowledges the end

    run_script(script)


def test_an_unanswered_start_order_is_retried():
    async def script(term):
        term.client.start_answers = [worker_client.NoAnswerError("lost")]
        term.client.reports = [running()] * 3
        term.session.start(RUN)
        await trio.sleep(1.5)
        starts = term.client.given("start")
        assert [order.run for order in starts] == [RUN, RUN]
        assert starts[1].lease_ms > starts[0].lease_ms
        assert not term.committed

    run_script(script)


@pytest.mark.parametrize("kind", ["start", "stop"])
def test_an_unanswered_order_makes_the_worker_unreachable(kind):
    """Reports wait for two seconds, too long to detect the failure by them."""

    async def script(term):
        lost = [worker_client.NoAnswerError("lost")]
        term.client.start_answers = list(lost)
        term.client.stop_answers = list(lost)
        term.client.reports = [running()]
        await trio.sleep(0.1)
        order = getattr(term.session, kind)
        order(*(RUN, "test")[: 2 if kind == "stop" else 1])
        await trio.sleep(orders.MAX_ORDER_TIMEOUT_S + 0.005)
        assert term.session.unreachable_since is not None
        await trio.sleep(orders.RETRY_PAUSE_S + 0.02)
        assert term.session.unreachable_since is None  # a call was answered

    run_script(script)


def test_a_run_whose_start_timed_out_is_released_after_an_acknowledged_stop():
    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        term.client.start_answers = [lost] * 10
        term.client.stop_answers = [lost, lost]
        term.session.start(RUN)
        await trio.sleep(
            orders.START_TIMEOUT_S + 2 * orders.MAX_ORDER_TIMEOUT_S
        )
        assert term.client.given("stop")
        assert not term.released()  # no stop has been acknowledged
        await trio.sleep(5.0)
        assert [one.run for one in term.released()] == [RUN]

    run_script(script)


def test_a_report_requested_before_the_stop_was_acknowledged_releases_no_run():
    async def script(term):
        session = term.session
        session.stop(RUN, "test")
        await trio.lowlevel.checkpoint()
        await session._reconcile(set(), trio.current_time())
        assert not term.released()
        await trio.sleep(0.01)  # the stop is acknowledged now
        await session._reconcile(set(), trio.current_time() - 0.05)
        assert not term.released()
        await session._reconcile(set(), trio.current_time())
        assert [one.run for one in term.released()] == [RUN]

    run_script(script)


def test_a_run_that_has_ended_is_not_released_before_its_end_is_reported():
    async def script(term):
        term.client.start_answers = [worker_client.RunOverError("old")]
        term.client.reports = [ended(commands.EndKind.DONE)]
        term.session.start(RUN)
        await trio.sleep(1.0)
        assert not term.released()
        assert term.ledger.jobs["j"].state is caller_commands.JobState.COMPLETED

    run_script(script)


def test_a_refused_first_start_order_releases_the_run_at_once():
    async def script(term):
        term.client.start_answers = [worker_client.NothingDoneError("busy")]
        term.session.start(RUN)
        await trio.sleep(0.1)
        assert [one.run for one in term.released()] == [RUN]
        assert term.session.start_backoff_until > trio.current_time()

    run_script(script)


def test_a_refusal_under_a_repeated_fence_releases_no_run():
    """Guards against an order of the former term that is executed late.

    The worker does not refuse it, since its fence is the same.
    """

    async def script(term):
        term.repeats_fence = True
        term.client.reports = [worker_client.Report(1000, (), ())]
        term.client.start_answers = [
            worker_client.NothingDoneError("busy")
        ] * 40
        term.client.stop_answers = [worker_client.NoAnswerError("lost")] * 3
        await trio.sleep(1.0)
        assert term.client.given("start")
        assert not term.released()
        await trio.sleep(6.0)
        assert term.client.given("stop")
        assert [one.run for one in term.released()] == [RUN]

    run_script(script)


def test_a_run_that_is_committed_late_is_started():
    """Guards against a placement of the former term that nobody carries out."""

    async def script(term):
        release_run(term)
        await trio.sleep(3.0)  # the session waits
        assert not term.client.given("start")
        late = msgspec.structs.replace(RUN, number=2)
        term.ledger.place(
            commands.PlaceRuns(((commands.Placement(late, "w"),),), 0)
        )
        term.session.observe_heartbeat(1000)
        term.session.update(WORKER)
        await trio.sleep(3.0)
        assert {order.run for order in term.client.given("start")} == {late}

    run_script(script)


def test_a_refusal_after_an_unanswered_order_releases_no_run():
    async def script(term):
        term.client.start_answers = [
            worker_client.NoAnswerError("lost"),
            *[worker_client.NothingDoneError("busy")] * 20,
        ]
        term.client.stop_answers = [worker_client.NoAnswerError("lost")] * 9
        term.session.start(RUN)
        await trio.sleep(3.0)
        assert not term.released()
        assert term.client.given("stop")

    run_script(script)


def test_runs_of_a_silent_worker_are_released_when_the_leases_have_expired():
    async def script(term):
        term.client.reports = [running()]
        term.session.start(RUN)
        await trio.sleep(0.1)
        lost = worker_client.NoAnswerError("lost")
        term.client.reports = [lost] * 1000
        await trio.sleep(9.5)
        assert not term.released()
        await trio.sleep(4.0)
        assert [one.run for one in term.released()] == [RUN]

    run_script(script)


def test_another_incarnation_at_the_address_removes_the_worker():
    async def script(term):
        gone = worker_client.IncarnationGoneError("421")
        term.client.reports = [running(), gone]
        term.session.start(RUN)
        await trio.sleep(0.5)
        assert "w" not in term.ledger.workers
        assert not term.ledger.runs

    run_script(script)


def test_a_worker_that_accepted_a_later_term_ends_the_term():
    async def script(term):
        term.client.reports = [worker_client.FencedOffError("9")]
        term.session.start(RUN)
        await trio.sleep(0.05)
        assert "fenced off" in term.committed

    run_script(script)


def test_a_listed_run_that_is_not_in_the_ledger_is_stopped():
    async def script(term):
        other = msgspec.structs.replace(RUN, number=2)
        stray = worker_client.RunningRun(other, "", 1)
        report = worker_client.Report(
            1000, (stray, worker_client.RunningRun(RUN, "", 1)), ()
        )
        term.client.reports = [report]
        term.session.start(RUN)
        await trio.sleep(0.1)
        assert term.client.given("stop") == [other]

    run_script(script)


def test_a_listed_run_of_an_unknown_step_is_stopped():
    """No content of a report may end the session."""

    async def script(term):
        task = model.TaskId("j", 0, 99, 0)
        stray = model.RunId(task, 1)
        listed = worker_client.RunningRun(stray, "", 1)
        ends = (commands.EndedRun(1, stray, commands.EndKind.DONE),)
        term.client.reports = [
            worker_client.Report(1000, (listed,), ()),
            worker_client.Report(1000, (), ends),
        ]
        term.session.start(RUN)
        await trio.sleep(1.0)
        assert term.client.given("stop")[0] == stray
        assert term.ledger.last_end("w") == 1

    run_script(script)


def test_a_report_with_a_malformed_row_releases_no_run():
    async def script(term):
        unread = worker_client.Report(1000, (), (), malformed_running=1)
        term.client.reports = [running(), *[unread] * 8, running()]
        term.session.start(RUN)
        await trio.sleep(3.0)
        term.session.stop(RUN, "test")
        await trio.sleep(1.0)
        assert term.client.given("stop") == [RUN]
        assert not term.released()
        assert (
            len(term.client.given("report")) < 12
        )  # the session pauses in between

    run_script(script)


def test_the_valid_rows_of_a_report_with_a_malformed_row_count():
    seen = []

    async def script(term):
        term.record_seen = seen.append
        part = worker_client.Report(
            1000, running().running, (), malformed_running=1
        )
        term.client.reports = [part]
        term.session.start(RUN)
        await trio.sleep(0.2)

    run_script(script)
    assert seen == [RUN]


def test_a_run_missing_in_reports_is_stopped_and_released():
    async def script(term):
        term.client.reports = [running()]
        term.session.start(RUN)
        await trio.sleep(10.0)
        assert term.client.given("stop") == [RUN]
        assert [one.run for one in term.released()] == [RUN]

    run_script(script)


def test_a_failed_commit_raises_its_error():
    async def script(term):
        async def fail(command):
            raise errors.NoQuorumError("no lead")

        term.commit = fail
        report = ended(commands.EndKind.DONE)
        with pytest.raises(errors.NoQuorumError):
            await term.session._process_report(report, trio.current_time())

    run_script(script)


STRAY = model.RunId(model.TaskId("cancelled", 0, 0, 0), 1)


def release_run(term):
    """Releases the only run, so that the ledger has none on the worker."""
    release = commands.Release(RUN, "w", "test")
    term.ledger.release(commands.ReleaseRuns((release,), 0))


def test_each_leader_requests_a_report_of_an_idle_worker():
    """Orders of an earlier leader may have been delayed or carried out.

    The report request carries the new fence, after which the worker rejects
    delayed orders.
    """

    async def script(term):
        release_run(term)
        lost = worker_client.NoAnswerError("lost")
        listed = worker_client.RunningRun(STRAY, "", 1)
        still_there = worker_client.Report(1000, (listed,), ())
        stopped = commands.EndedRun(1, STRAY, commands.EndKind.STOPPED)
        term.client.reports = [
            lost,
            still_there,
            still_there,
            worker_client.Report(1000, (), (stopped,)),
        ]
        await trio.sleep(3.0)
        assert term.client.given("stop") == [STRAY]
        reports = term.client.given("report")
        assert [one.last_end for one in reports] == [0, 0, 0, 0, 1]
        assert {one.fence for one in reports} == {term.fence}

    run_script(script)


def test_a_run_that_outlives_its_stop_gets_another_stop_order():
    async def script(term):
        release_run(term)
        listed = worker_client.RunningRun(STRAY, "", 1)
        report = worker_client.Report(1000, (listed,), ())
        term.client.reports = [report] * 1000
        await trio.sleep(5.0)
        stops = term.client.given("stop")
        assert 2 <= len(stops) <= 4 and set(stops) == {STRAY}

    run_script(script)


def test_stop_orders_to_a_cut_off_worker_back_off_until_it_is_reachable():
    """A failure domain is cut off for 10 s while urgent jobs arrive.

    Without backoff each stop order is sent every 0.2 s, 332 times in one such
    scenario, with a new connection and a log line each.
    """

    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        cut_s = 10.0
        term.client.reports = [running()]
        await trio.sleep(0.1)
        term.client.stop_answers = [lost] * 100
        term.client.reports = [lost] * 200
        term.session.stop(RUN, "test")
        await trio.sleep(cut_s)
        assert len(term.client.given("stop")) <= 16
        before = len(term.client.given("stop"))
        term.client.stop_answers = []
        term.client.reports = [running()]
        # An order in progress has to time out first.
        await trio.sleep(
            orders.MAX_ORDER_TIMEOUT_S + orders.RETRY_PAUSE_S + 0.05
        )
        assert len(term.client.given("stop")) == before + 1

    run_script(script)


def test_the_removal_of_a_worker_lists_runs_without_a_start_order():
    """The worker crashes before the start order of a run is sent.

    That run certainly has not started; another one of the worker may have.
    """

    async def script(term):
        other = model.Step(2, model.Resources(1000, 1000, 1))
        terms = model.QueueTerms("pool", 1, 3)
        job = model.Job("k", "q", "a", "", (other,), terms)
        term.ledger.submit(caller_commands.SubmitJob(job, 0))
        late = model.RunId(model.TaskId("k", 0, 0, 0), 1)
        group = (commands.Placement(late, "w"),)
        term.ledger.place(commands.PlaceRuns((group,), 0))
        term.client.reports = [worker_client.IncarnationGoneError("421")]
        await trio.sleep(0.5)
        (removal,) = term.committed
        assert removal.crashed
        assert removal.never_began == (late,)

    run_script(script)


@pytest.mark.parametrize("answered", [False, True])
def test_the_removal_of_a_worker_lists_runs_that_may_not_have_begun(answered):
    """The worker starts again after it was ordered to start a run."""

    async def script(term):
        lost = worker_client.NoAnswerError("500")
        term.client.start_answers = [] if answered else [lost] * 100
        term.session.start(RUN)
        await trio.sleep(0.05)
        term.client.reports = [worker_client.IncarnationGoneError("421")]
        await trio.sleep(sessions.REPORT_WAIT_MS / 1000 + 0.5)
        (removal,) = term.committed
        assert removal.crashed
        assert removal.never_began == ()
        assert removal.unconfirmed == (() if answered else (RUN,))

    run_script(script)


@pytest.mark.parametrize("answered", [False, True])
def test_a_release_tells_whether_a_lost_run_may_not_have_begun(answered):
    """The worker is cut off after it was ordered to start a run."""

    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        term.client.start_answers = [] if answered else [lost] * 100
        term.client.stop_answers = [lost] * 100
        term.session.start(RUN)
        await trio.sleep(0.05)
        term.client.reports = [lost] * 1000
        await trio.sleep(20.0)
        (release,) = term.released()
        assert release.is_lost
        assert release.is_unconfirmed != answered

    run_script(script)


@pytest.mark.parametrize("returns", [False, True])
def test_a_worker_that_answers_again_has_not_crashed_under_its_lost_runs(
    returns,
):
    """It crashes later, when it runs nothing."""

    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        term.client.start_answers = [lost] * 100
        term.client.stop_answers = [lost] * 100
        term.session.start(RUN)
        await trio.sleep(0.05)
        term.client.reports = [lost] * 1000
        await trio.sleep(20.0)
        assert term.released()
        gone = worker_client.IncarnationGoneError("421")
        answer = worker_client.Report(1000, (), ())
        term.client.reports = [answer] * returns + [gone]
        await trio.sleep(1.0)
        term.session.verify()
        await trio.sleep(5.0)
        blame = term.ledger.crashes.blame_of(RUN.task)
        assert (blame == crashes.NO_BLAME) == returns

    run_script(script)
