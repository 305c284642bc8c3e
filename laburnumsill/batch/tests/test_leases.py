import hypothesis
import msgspec
import trio
from hypothesis import strategies

from laburnumsill.batch import leases
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_session


def test_expiry_is_delayed_while_the_clock_of_a_worker_stands_still():
    """The worker's machine was suspended for five seconds, then answered."""
    tracker = leases.LeaseTracker(10_000, now=100.0)
    tracker.observe_clock(5_000, received_at=100.0)
    tracker.record_grant(14_700)
    tracker.observe_clock(6_000, received_at=106.0)
    left_s = (14_700 - 6_000) / 1000
    assert tracker.expires_at >= 106.0 + left_s
    assert (
        tracker.expires_at <= 106.0 + left_s / (1 - leases.CLOCK_DRIFT) + 0.001
    )


@hypothesis.given(
    rate=strategies.floats(1 - leases.CLOCK_DRIFT, 1.0),
    delay_s=strategies.floats(0.0, 20.0),
    received_at=strategies.floats(100.0, 130.0),
    confirmed_at=strategies.floats(100.0, 130.0),
    late_s=strategies.floats(0.0, 20.0),
)
def test_a_lease_ends_before_the_next_leader_counts_on_it(
    rate, delay_s, received_at, confirmed_at, late_s
):
    """Guards against leases that a deposed leader grants too long.

    The next term may begin at `confirmed_at`; its leader counts all earlier
    leases as expired one longest lease later. The reading of the worker's clock
    may be delayed, and the grant computed at any later time.
    """
    tracker = leases.LeaseTracker(LONGEST_MS, now=90.0)
    tracker.observe_clock(50_000, received_at)
    now = max(received_at, confirmed_at) + late_s
    lease_ms = tracker.next_lease_ms(now, confirmed_at)
    read_at = received_at - delay_s
    ends_at = read_at + (lease_ms - 50_000) / 1000 / rate
    assumed = leases.LeaseTracker(LONGEST_MS, now=confirmed_at).expires_at
    assert ends_at <= assumed + 1e-6


def test_a_leader_without_a_confirmed_lead_grants_no_lease():
    tracker = leases.LeaseTracker(LONGEST_MS, now=100.0)
    tracker.observe_clock(5_000, received_at=100.0)
    assert tracker.next_lease_ms(100.0, None) is None


def test_reports_of_a_leader_that_stood_still_do_not_prolong_leases():
    """Guards against renewals by a leader that does not know its successor."""

    async def script(term):
        term.client = RunningClient()
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        term.lead_age_s = 5.0
        await trio.sleep(4.0)
        last = reports(term)[-1]
        clock_ms = 1000 + 1000 * trio.current_time()
        assert last.lease_ms <= clock_ms - 5_000 + LONGEST_MS

    test_session.run_script(script)


def test_a_lease_that_ends_soon_is_renewed_soon():
    """Guards against runs whose lease ends within the wait for a report."""

    async def script(term):
        term.client = RunningClient()
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        term.lead_age_s = 8.5
        await trio.sleep(3.0)
        assert reports(term)[-1].wait_ms < 500
        term.lead_age_s = 0.0
        await trio.sleep(1.0)
        assert reports(term)[-1].wait_ms == 2_000

    test_session.run_script(script)


def test_a_start_waits_until_the_lead_is_confirmed_again():
    """Guards against runs that are started under a lease that is over."""

    async def script(term):
        term.lead_age_s = 9.5
        term.session.start(test_session.RUN)
        await trio.sleep(0.5)
        assert not term.client.given("start")
        term.lead_age_s = 0.0
        await trio.sleep(0.3)
        assert len(term.client.given("start")) == 1

    test_session.run_script(script)


LONGEST_MS = 10_000
EXPIRY_MARGIN_S = 0.5
"""Clock drift, and a report that was on its way."""


class RunningClient(test_session.ScriptedClient):
    """Reports a run for ever, on a clock that runs."""

    async def report(self, worker, order, deadline):
        self.orders.append(("report", order))
        await trio.sleep(order.wait_ms / 1000 or 0.01)
        clock_ms = 1000 + int(1000 * trio.current_time())
        return worker_client.Report(
            clock_ms, test_session.running().running, ()
        )


def reports(term):
    return term.client.given("report")


def test_a_report_to_a_worker_that_does_not_answer_renews_no_lease():
    """Its tasks can run elsewhere once its leases have expired.

    Reports may arrive although they are not answered, so each of them would
    delay that time.
    """

    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        term.client.reports = [test_session.running(), *[lost] * 20]
        term.session.start(test_session.RUN)
        await trio.sleep(0.3)
        assert term.session.unreachable_since is not None
        expires_at = term.session.leases_expire_at
        await trio.sleep(1.5)
        first, *rest = reports(term)[1:]
        assert first.lease_ms is not None
        assert len(rest) > 5
        assert {order.lease_ms for order in rest} == {None}
        assert term.session.leases_expire_at == expires_at
        term.client.reports = [test_session.running()] * 3
        await trio.sleep(0.5)
        assert term.session.unreachable_since is None
        assert reports(term)[-1].lease_ms is not None
        assert term.session.leases_expire_at > expires_at

    test_session.run_script(script)


def test_a_draining_worker_gets_short_leases():
    """It may end at short notice, without a sign."""

    async def script(term):
        term.client = RunningClient()
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        drained = msgspec.structs.replace(test_session.WORKER, draining=True)
        before = term.session.leases_expire_at
        term.session.update(drained)
        await trio.sleep(LONGEST_MS / 1000)
        assert term.session.leases_expire_at >= before
        left_s = term.session.leases_expire_at - trio.current_time()
        longest_s = leases.DRAINING_LEASE_MS / 1000 + EXPIRY_MARGIN_S
        assert 0.5 < left_s <= longest_s

    test_session.run_script(script)


def test_leases_that_were_granted_before_a_drain_are_waited_for():
    """A worker does not shorten a lease that it was granted."""

    async def script(term):
        term.client.reports = [test_session.running()]
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        before = term.session.leases_expire_at
        drained = msgspec.structs.replace(test_session.WORKER, draining=True)
        term.session.update(drained)
        gone = worker_client.NoAnswerError("gone")
        term.client.reports = [gone] * 200
        await trio.sleep(before - trio.current_time() - 0.2)
        assert test_session.RUN in term.ledger.runs
        await trio.sleep(2.5)
        assert [one.run for one in term.released()] == [test_session.RUN]

    test_session.run_script(script)


def test_stop_orders_end_with_the_leases_of_a_worker_that_is_gone():
    """Guards against stop orders that are repeated for ever."""

    async def script(term):
        lost = worker_client.NoAnswerError("lost")
        term.client.reports = [test_session.running(), *[lost] * 500]
        term.client.stop_answers = [lost] * 500
        term.session.start(test_session.RUN)
        await trio.sleep(0.3)
        term.session.stop(test_session.RUN, "for a test")
        await trio.sleep(15.0)
        assert [one.run for one in term.released()] == [test_session.RUN]
        stops = len(term.client.given("stop"))
        await trio.sleep(10.0)
        assert len(term.client.given("stop")) == stops

    test_session.run_script(script)
