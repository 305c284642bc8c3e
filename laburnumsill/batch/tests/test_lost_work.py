"""The metric of work that runs lose."""

import pytest
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import lost_work
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_session

METRIC = "laburnumsill_accelerator_seconds_lost_total"


def lost(term):
    """Returns the accelerator-seconds by cause."""
    found = {}
    for line in term.metrics.render()[0].decode().splitlines():
        if line.startswith(METRIC):
            labels, value = line.rsplit(" ", 1)
            found[labels.partition('cause="')[2].partition('"')[0]] = value
    return {cause: float(value) for cause, value in found.items()}


def play(end, stop_for=None):
    """Ends a run of one accelerator after some 2 s; returns what was lost."""

    async def main(term):
        term.client.reports = [test_session.running()]
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        if stop_for is not None:
            term.client.reports = [test_session.running()]
            term.session.stop(test_session.RUN, "for a test", stop_for)
            await trio.sleep(0.1)
        term.ledger.runs[test_session.RUN].placed_ms = (
            term.clock.wall_ms() - 2_000
        )
        term.client.reports = [end]
        await trio.sleep(2.5)
        seen.update(lost(term))

    seen = {}
    test_session.run_script(main)
    return seen


@pytest.mark.parametrize(
    "kind, stop_for, cause",
    [
        (commands.EndKind.STOPPED, "u", "preempted"),
        (commands.EndKind.STOPPED, "", "stopped"),
        (commands.EndKind.STOPPED, None, "stopped"),
        (commands.EndKind.FAILED, None, "failed"),
        (commands.EndKind.MEMBER_ENDED, None, "member-ended"),
        (commands.EndKind.INCOMPLETE_GANG, None, "incomplete-gang"),
        (commands.EndKind.LEASE_ENDED, None, "lease-ended"),
    ],
)
def test_a_run_that_is_not_done_loses_its_time(kind, stop_for, cause):
    found = play(test_session.ended(kind), stop_for)
    assert found.keys() == {cause}
    assert 2.0 <= found[cause] <= 4.5


def test_a_done_run_loses_nothing():
    assert play(test_session.ended(commands.EndKind.DONE)) == {}


def test_a_run_whose_progress_is_saved_loses_nothing():
    saved = commands.EndedRun(
        1, test_session.RUN, commands.EndKind.STOPPED, "07"
    )
    report = worker_client.Report(1000, (), (saved,))
    assert play(report, "u") == {}


def test_runs_of_a_lost_worker_are_counted():
    async def main(term):
        term.client.reports = [test_session.running()]
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        gone = worker_client.IncarnationGoneError("gone")
        term.client.reports = [gone]
        await trio.sleep(2.5)
        seen.update(lost(term))

    seen = {}
    test_session.run_script(main)
    assert seen.keys() == {lost_work.Cause.WORKER_LOST.value}
