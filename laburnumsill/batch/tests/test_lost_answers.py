"""Tests of the time until a session makes up for a lost answer."""

import itertools

import msgspec
import pytest
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import leases
from laburnumsill.batch import orders
from laburnumsill.batch import session as sessions
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_state
from laburnumsill.batch.tests import test_session
from laburnumsill.core import trio_clock

RUN = test_session.RUN

STANDING_LIMIT_S = 3.0
"""Time for which a job may have nothing running although there is room."""

ANSWER_S = 0.01
"""Answer time of calls; the order timeout is then the shortest."""


class LosingClient(test_session.ScriptedClient):
    """Client of a worker that answers long polls when its run has ended.

    Attributes:
        lost_reports: Numbers of the reports without an answer, from 0.
        ends_at: Monotonic time at which the run ends.
        acknowledged_at: Monotonic time of the first report that acknowledges
            the end, or None.
    """

    def __init__(self, ends_at, lost_reports=()):
        super().__init__()
        self.ends_at = ends_at
        self.lost_reports = set(lost_reports)
        self.acknowledged_at = None

    async def report(self, worker, order, deadline):
        number = len(self.given("report"))
        self.orders.append(("report", order))
        if order.last_end and self.acknowledged_at is None:
            self.acknowledged_at = trio.current_time()
        if number in self.lost_reports:
            await trio.sleep(deadline - trio.current_time())
            raise worker_client.NoAnswerError("lost")
        left_s = max(0.0, self.ends_at - trio.current_time())
        await trio.sleep(min(left_s, order.wait_ms / 1000) + ANSWER_S)
        if trio.current_time() < self.ends_at:
            return test_session.running()
        if order.last_end:
            return worker_client.Report(1000, (), ())
        return test_session.ended(commands.EndKind.DONE)


def _use(term, client):
    """Gives a client to a term whose calls were answered quickly so far."""
    term.client = client
    for _ in range(20):
        term.order_timeout.record(term.clock.monotonic(), ANSWER_S)


def _running(percent):
    return worker_client.Report(
        1000, (worker_client.RunningRun(RUN, "", percent),), ()
    )


@pytest.mark.parametrize("lost", [{1}, {1, 2}])
def test_an_end_is_heard_of_in_time_after_its_answers_were_lost(lost):
    """The run ends just after the first of the lost answers was asked for."""

    async def script(term):
        client = LosingClient(trio.current_time() + 2.05, lost)
        _use(term, client)
        term.session.start(RUN)
        await trio.sleep(10.0)
        assert client.acknowledged_at - client.ends_at < STANDING_LIMIT_S

    test_session.run_script(script)


def test_a_long_poll_may_take_its_wait_on_the_slowest_clock():
    """A worker that is asked to wait for 2 s may do so for 2.04 s."""

    async def script(term):
        client = LosingClient(trio.current_time() + 60)
        timeouts = []
        _use(term, client)
        answer = client.report

        async def report(worker, order, deadline):
            if order.wait_ms == sessions.REPORT_WAIT_MS:
                timeouts.append(deadline - trio.current_time())
            return await answer(worker, order, deadline)

        client.report = report
        term.session.start(RUN)
        await trio.sleep(10.0)
        longest_wait_s = sessions.REPORT_WAIT_MS / 1000
        longest_wait_s /= 1 - leases.CLOCK_DRIFT
        shortest_s = longest_wait_s + orders.MIN_ORDER_TIMEOUT_S
        assert min(timeouts) >= shortest_s - 1e-6
        assert max(timeouts) <= sessions.RENEWAL_INTERVAL_MS / 1000 + 1e-6

    test_session.run_script(script)


def test_a_lost_answer_does_not_bar_a_worker_until_its_long_poll_ends():
    """A gang is placed again only when all its workers are reachable."""

    async def script(term):
        _use(term, LosingClient(trio.current_time() + 60, {1}))
        term.session.start(RUN)
        await trio.sleep(0.5)  # a long poll is in progress
        assert not await term.session.probe()
        assert term.session.unreachable_since is not None
        await trio.sleep(orders.RETRY_PAUSE_S)
        assert term.session.unreachable_since is None

    test_session.run_script(script)


def test_a_start_that_is_refused_after_a_lost_answer_is_given_up_at_once():
    """The refusal shows that the run is not there, a stop that it stays so."""

    async def script(term):
        _use(term, test_session.ScriptedClient())
        term.client.start_answers = [
            worker_client.NoAnswerError("lost"),
            *[worker_client.OrderRefusedError("room")] * 40,
        ]
        term.session.start(RUN)
        await trio.sleep(1.0)
        assert len(term.client.given("start")) == 2
        assert term.client.given("stop") == [RUN]
        assert [one.run for one in term.released()] == [RUN]

    test_session.run_script(script)


@pytest.mark.parametrize(
    "retry", [worker_client.NothingDoneError, worker_client.NoAnswerError]
)
def test_a_run_that_reports_list_is_not_stopped_for_want_of_an_answer(retry):

    async def script(term):
        term.client.start_answers = [
            worker_client.NoAnswerError("lost"),
            *[retry("no answer, or 503")] * 40,
        ]
        term.client.reports = [_running(count % 100) for count in range(500)]
        term.session.start(RUN)
        await trio.sleep(orders.START_TIMEOUT_S + 1.0)
        assert term.client.given("stop") == []
        assert not term.committed

    test_session.run_script(script)


def test_a_run_whose_start_met_a_busy_worker_is_not_stopped():
    """The answer to its start was lost, the retry met a worker with 503."""

    async def script(term):
        term.client.start_answers = [
            worker_client.NoAnswerError("lost"),
            worker_client.NothingDoneError("503"),
        ]
        term.client.reports = [test_session.running()] * 50
        term.session.start(RUN)
        await trio.sleep(1.5)
        assert term.client.given("stop") == []

    test_session.run_script(script)


async def _backoff_after_start(term, number, answers):
    """Returns how long a worker gets no new runs once a start is over, in s."""
    run = msgspec.structs.replace(RUN, number=number)
    placement = commands.Placement(run, test_session.WORKER.worker_id)
    term.ledger.place(commands.PlaceRuns(((placement,),), 0))
    term.client.start_answers = answers
    term.session.observe_heartbeat(1000)
    term.session.update(test_session.WORKER)
    term.session.start(run)
    await trio.sleep(orders.START_TIMEOUT_S + 0.5)
    backoff_s = term.session.start_backoff_until - trio.current_time()
    await term.session._state.commit_releases(
        [term.session._state.release(run, "test")]
    )
    await trio.sleep(orders.MAX_START_BACKOFF_S)
    return backoff_s


def test_a_worker_gets_no_new_runs_for_longer_the_more_starts_are_given_up():
    """The planner would choose it again, since its reports are answered."""

    async def script(term):
        _use(term, test_session.ScriptedClient())
        test_session.release_run(term)
        lost = [worker_client.NoAnswerError("lost")] * 100
        found = [
            await _backoff_after_start(term, number, list(lost))
            for number in range(2, 14)
        ]
        assert found[0] > 0.5
        assert all(one < two for one, two in itertools.pairwise(found[:8]))
        assert max(found) <= orders.MAX_START_BACKOFF_S
        assert await _backoff_after_start(term, 14, []) <= 0
        again_s = await _backoff_after_start(term, 15, list(lost))
        assert again_s == pytest.approx(found[0], abs=0.2)

    test_session.run_script(script)


def test_a_run_that_became_obsolete_keeps_no_other_run_off_its_worker():
    async def script(term):
        _use(term, test_session.ScriptedClient())
        term.client.start_answers = [worker_client.NoAnswerError("lost")] * 100
        term.session.start(RUN)
        await trio.sleep(0.5)
        term.session.stop(RUN, "test")
        await trio.sleep(5.0)
        assert term.session.start_backoff_until < trio.current_time() - 3.0

    test_session.run_script(script)


def test_a_started_run_that_no_report_lists_is_released_in_time():
    async def script(term):
        _use(term, test_session.ScriptedClient())
        term.session.start(RUN)
        await trio.sleep(STANDING_LIMIT_S)
        assert term.client.given("stop") == [RUN]
        assert [one.run for one in term.released()] == [RUN]

    test_session.run_script(script)


def test_a_run_that_never_began_is_released_as_its_stop_is_acknowledged():
    """Its start was given up; the long poll in progress cannot show this."""

    async def script(term):
        _use(term, test_session.ScriptedClient())
        await trio.sleep(0.5)  # a long poll is in progress
        term.session.stop(RUN, "test")
        await trio.sleep(0.5)
        assert [one.run for one in term.released()] == [RUN]

    test_session.run_script(script)


@pytest.mark.parametrize("origin_s", [0, 1000])
def test_the_end_of_a_stopped_run_is_heard_of_in_time_after_a_lost_answer(
    monkeypatch, origin_s
):
    """An urgent job waits for the run's room and may wait for 1.5 s in all.

    The origin of a VM's monotonic clock differs from that of the loop's.
    """
    monkeypatch.setattr(
        trio_clock.TrioClock,
        "monotonic",
        lambda _: trio.current_time() + origin_s,
    )

    async def script(term):
        client = LosingClient(trio.current_time() + 2.5, {1})
        _use(term, client)
        term.session.start(RUN)
        await trio.sleep(2.2)  # the second long poll is in progress
        stopped_at = trio.current_time()
        term.session.stop(RUN, "test")
        await trio.sleep(5.0)
        slack_s = 1.5
        assert client.acknowledged_at - stopped_at < slack_s

    test_session.run_script(script)


def test_the_end_of_a_stopped_run_is_heard_of_in_time_after_two_lost_answers():
    """The second is that to the report in place of the first long poll."""

    async def script(term):
        client = LosingClient(trio.current_time() + 2.5, {1, 2})
        _use(term, client)
        term.session.start(RUN)
        await trio.sleep(2.2)  # the second long poll is in progress
        term.session.stop(RUN, "test")
        await trio.sleep(5.0)
        assert client.acknowledged_at - client.ends_at < STANDING_LIMIT_S - 1

    test_session.run_script(script)


def test_each_of_two_lost_answers_bars_a_worker_no_longer_than_one():
    async def script(term):
        client = LosingClient(trio.current_time() + 60)
        _use(term, client)
        term.session.start(RUN)
        for _ in range(2):
            await trio.sleep(worker_state.CUT_INTERVAL_S + 0.5)
            client.lost_reports = {len(client.given("report"))}
            assert not await term.session.probe()
            assert term.session.unreachable_since is not None
            await trio.sleep(orders.RETRY_PAUSE_S)
            assert term.session.unreachable_since is None

    test_session.run_script(script)


class NoStopsClient(LosingClient):
    """Client of a worker that answers reports but no stop orders."""

    async def stop(self, worker, run, fence, deadline):
        self.orders.append(("stop", run))
        await trio.sleep(deadline - trio.current_time())
        raise worker_client.NoAnswerError("lost")


def test_a_worker_that_answers_no_stop_is_not_asked_after_each_retry():
    """The backoff of the stop orders is 0.8 s, a long poll takes 2 s."""

    async def script(term):
        client = NoStopsClient(trio.current_time() + 60)
        _use(term, client)
        term.session.start(RUN)
        await trio.sleep(1.0)
        client.orders.clear()
        term.session.stop(RUN, "test")
        await trio.sleep(30.0)
        counts = len(client.given("report")), len(client.given("stop"))
        assert counts[0] <= 90, counts

    test_session.run_script(script)
