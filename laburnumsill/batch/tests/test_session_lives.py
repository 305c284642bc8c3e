"""Tests of the session with a worker that restarts under the same name."""

import msgspec
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_session


def replacement_error(term):
    """Announces a successor; returns the error of a call it answered."""
    following = msgspec.structs.replace(
        test_session.WORKER, worker_id="w@9", name="w"
    )
    term.ledger.put_worker(commands.PutWorker(following))
    return worker_client.IncarnationReplacedError("w@9 has answered for w")


def test_runs_of_a_restarted_worker_go_to_its_successor():
    async def script(term):
        term.client.reports = [test_session.running(), replacement_error(term)]
        term.session.start(test_session.RUN)
        await trio.sleep(0.5)
        (removal,) = term.committed
        assert (removal.worker_id, removal.successor) == ("w", "w@9")
        assert term.ledger.runs[test_session.RUN].is_stray

    test_session.run_script(script)


def test_runs_are_kept_until_the_successor_has_announced_itself():
    """The unknown successor may have received the orders for the runs."""

    async def script(term):
        gone = worker_client.IncarnationReplacedError("w@9 has answered")
        term.client.reports = [test_session.running(), *[gone] * 100]
        term.session.start(test_session.RUN)
        await trio.sleep(14.0)
        assert not term.committed
        assert test_session.RUN in term.ledger.runs
        assert term.session.unreachable_since is not None
        assert len(term.client.given("report")) < 35

    test_session.run_script(script)


def test_a_run_of_an_earlier_incarnation_is_stopped_before_its_release():
    async def script(term):
        term.ledger.runs[test_session.RUN].is_stray = True
        await trio.sleep(1.0)
        assert term.client.given("start") == []
        assert term.client.given("stop") == [test_session.RUN]
        assert [one.run for one in term.released()] == [test_session.RUN]

    test_session.run_script(script)


def test_only_a_report_requested_after_the_contest_verifies_the_worker():
    """A report in progress may be answered before a successor starts."""

    async def script(term):
        term.client.reports = [test_session.running()]
        term.session.start(test_session.RUN)
        await trio.sleep(0.1)
        term.session.verify()
        await trio.sleep(1.0)
        assert (
            not term.verified_workers
        )  # the earlier report request still waits
        await trio.sleep(1.5)
        assert term.verified_workers == ["w"]

    test_session.run_script(script)
