"""Departures: announcements of workers that they are about to end."""

import msgspec
import pytest
import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_leases
from laburnumsill.batch.tests import test_session
from laburnumsill.core import codec

RUN = test_session.RUN
AT_MS = 5_000
MAX_DRIFT_S = 0.1
"""Most by which new readings of a worker's clock move an expiry."""


def ledger_with_run():
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(test_session.WORKER, 3))
    step = model.Step(2, model.Resources(1000, 1000, 1))
    terms = model.QueueTerms("pool", 1, 3)
    job = model.Job("j", "q", "a", "", (step,), terms)
    ledger.submit(caller_commands.SubmitJob(job, 0))
    assert place(ledger, RUN) == ""
    return ledger


def place(ledger, run):
    group = (commands.Placement(run, "w"),)
    return ledger.place(commands.PlaceRuns((group,), 0)).refusals[0]


def restored(ledger):
    copy = ledgers.BatchLedger()
    copy.load(ledger.dump())
    return copy


def test_runs_of_a_departing_worker_stay_live():
    """Guards against a second run beside one that has not ended yet."""
    ledger = ledger_with_run()
    ledger.note_departure(commands.NoteDeparture("w", AT_MS))
    other = model.RunId(msgspec.structs.replace(RUN.task, index=1), 1)
    for one in (ledger, restored(ledger)):
        assert one.is_departing("w") and RUN in one.runs_on("w")
        assert "live run" in place(one, RUN)
        assert "draining" in place(one, other)


def test_announcements_of_a_departing_worker_are_ignored():
    """Guards against new runs on a worker that is about to end."""
    ledger = ledger_with_run()
    ledger.note_departure(commands.NoteDeparture("w", AT_MS))
    for one in (ledger, restored(ledger)):
        one.put_worker(commands.PutWorker(test_session.WORKER, 9))
        assert one.is_departing("w") and one.workers["w"].draining


def test_a_worker_that_departs_while_it_is_absent_is_not_added_again():
    ledger = ledger_with_run()
    ledger.remove_worker(commands.RemoveWorker("w", "silent"))
    ledger.note_departure(commands.NoteDeparture("w", AT_MS))
    ledger.put_worker(commands.PutWorker(test_session.WORKER, 9))
    assert "w" not in ledger.workers


def test_a_departure_in_the_log_of_an_earlier_version_removes_the_worker():
    """Guards against replicas that differ after an upgrade."""
    ledger = ledger_with_run()
    fields = {"worker_id": "w", "reason": "it left", "ended_ms": AT_MS}
    raw = msgspec.msgpack.encode(["batch.remove-worker", fields])
    ledger.remove_worker(codec.decode(raw))
    assert "w" not in ledger.workers and not ledger.runs


def test_a_worker_in_a_snapshot_of_an_earlier_version_is_not_departing():
    fields = msgspec.to_builtins(test_session.WORKER)
    del fields["departing"]
    raw = msgspec.msgpack.encode(["batch.worker", fields])
    assert codec.decode(raw) == test_session.WORKER


def depart(term):
    """Records the departure and passes it to the session, as a plan does."""
    term.ledger.note_departure(commands.NoteDeparture("w", AT_MS))
    term.session.update(term.ledger.workers["w"])


def test_no_report_renews_the_leases_of_a_departing_worker():
    """Guards against leases that never expire while the worker answers."""

    async def script(term):
        term.client = test_leases.RunningClient()
        term.client.stop_answers = [worker_client.NothingDoneError("")] * 20
        term.session.start(RUN)
        await trio.sleep(0.1)
        expires_at = term.session.leases_expire_at
        before = len(term.client.given("report"))
        depart(term)
        await trio.sleep(3.0)
        reports = term.client.given("report")[before:]
        assert reports and {order.lease_ms for order in reports} == {None}
        assert term.session.leases_expire_at < expires_at + MAX_DRIFT_S
        assert RUN in term.ledger.runs

    test_session.run_script(script)


def test_no_start_is_ordered_from_a_departing_worker():
    async def script(term):
        depart(term)
        term.session.start(RUN)
        await trio.sleep(1.0)
        assert not term.client.given("start")

    test_session.run_script(script)


def test_runs_of_a_departing_worker_end_when_it_lists_their_ends():
    """Guards against a wait for the leases of a worker that still answers."""

    async def script(term):
        term.client.reports = [
            *[test_session.running()] * 20,
            test_session.ended(commands.EndKind.STOPPED),
        ]
        term.session.start(RUN)
        await trio.sleep(0.1)
        depart(term)
        await trio.sleep(0.5)
        assert term.client.given("stop") == [RUN]
        (note, removal) = term.committed
        assert note.ends[0].run == RUN
        assert removal.worker_id == "w" and not removal.crashed

    test_session.run_script(script)


@pytest.mark.parametrize("error", ["reset", "refused"])
def test_runs_of_a_departing_worker_without_answers_end_with_its_leases(error):
    """Guards against a closed connection that is taken for an end."""

    async def script(term):
        term.client.reports = [test_session.running()]
        term.session.start(RUN)
        await trio.sleep(0.1)
        lost = worker_client.NoAnswerError(error)
        term.client.reports = [lost] * 1000
        term.client.stop_answers = [lost] * 1000
        depart(term)
        expires_at = term.session.leases_expire_at
        await trio.sleep(expires_at - trio.current_time() - 0.1)
        assert not term.committed
        await trio.sleep(3.0)
        assert [one.run for one in term.released()] == [RUN]
        assert term.released()[0].is_lost
        assert "w" not in term.ledger.workers

    test_session.run_script(script)


def test_progress_of_a_run_that_outlasts_a_departure_is_kept():
    """Guards against work that is done again after its worker has left."""

    async def script(term):
        listed = worker_client.RunningRun(RUN, "half", 50)
        report = worker_client.Report(1000, (listed,), ())
        term.client.reports = [report] * 20
        term.session.start(RUN)
        await trio.sleep(0.1)
        term.client.reports = [worker_client.NoAnswerError("lost")] * 1000
        term.client.stop_answers = [worker_client.NoAnswerError("lost")] * 1000
        depart(term)
        await trio.sleep(14.0)
        assert term.ledger.jobs["j"].task(RUN.task).saved == "half"

    test_session.run_script(script)


def test_a_departing_worker_with_an_unknown_run_is_removed_with_its_leases():
    """Guards against one that is only removed as silent, and may return."""

    async def script(term):
        listed = worker_client.RunningRun(test_session.STRAY, "", 1)
        report = worker_client.Report(1000, (listed,), ())
        term.client.reports = [report] * 20
        test_session.release_run(term)
        await trio.sleep(0.1)
        lost = worker_client.NoAnswerError("lost")
        term.client.reports = [lost] * 1000
        term.client.stop_answers = [lost] * 1000
        depart(term)
        expires_at = term.session.leases_expire_at
        await trio.sleep(expires_at - trio.current_time() - 0.1)
        assert "w" in term.ledger.workers
        await trio.sleep(1.0)
        assert term.ledger.has_ended("w")

    test_session.run_script(script)


def test_a_departing_worker_without_runs_is_removed_at_once():
    async def script(term):
        test_session.release_run(term)
        await trio.sleep(0.1)
        depart(term)
        await trio.sleep(0.1)
        assert "w" not in term.ledger.workers and term.ledger.has_ended("w")

    test_session.run_script(script)
