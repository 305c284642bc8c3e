"""Jobs that are cancelled before a submission of theirs is applied."""

import msgspec
import pytest

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import gateway
from laburnumsill.batch import leading
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import withdrawn_jobs
from laburnumsill.core import codec
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.testing import local_groups

STEP = model.Step(1, model.Resources(1000, 64, 1))


def submission(job_id, at_ms=0):
    terms = model.QueueTerms("pool", 0, 3)
    job = model.Job(job_id, "q", "a", "", (STEP,), terms)
    return caller_commands.SubmitJob(job, at_ms)


def cancellation(job_id, at_ms=0, account="a"):
    return caller_commands.CancelJob(job_id, at_ms, account)


def state_of(ledger, job_id):
    return ledger.job_state(caller_commands.JobQuery(job_id)).state


def restored(ledger):
    """Returns the ledger after a snapshot was installed."""
    other = ledgers.BatchLedger()
    other.load(ledger.dump())
    return other


@pytest.mark.parametrize("copy", [lambda ledger: ledger, restored])
def test_a_job_that_was_cancelled_first_is_not_accepted(copy):
    """Guards against a submission that is applied after its cancellation."""
    ledger = ledgers.BatchLedger()
    assert not ledger.cancel(cancellation("j")).state
    ledger = copy(ledger)
    with pytest.raises(caller_commands.JobWithdrawnError):
        ledger.submit(submission("j"))
    assert not state_of(ledger, "j")
    assert not ledger.active_jobs
    ledger.submit(submission("other"))
    assert state_of(ledger, "other") == "queued"


def test_a_snapshot_of_an_earlier_version_has_no_withdrawn_jobs():
    """Guards against a replica that cannot read what it had stored."""
    ledger = ledgers.BatchLedger()
    ledger.cancel(cancellation("j"))
    name, fields = msgspec.msgpack.decode(ledger.dump())
    assert fields.pop("withdrawn")
    ledger.load(msgspec.msgpack.encode([name, fields]))
    ledger.submit(submission("j"))


def test_a_cancellation_in_the_log_of_an_earlier_version_withdraws_nothing():
    """Guards against an upgrade that loses a job that was accepted."""
    ledger = ledgers.BatchLedger()
    raw = msgspec.msgpack.encode(["batch.cancel", {"job_id": "j", "at_ms": 1}])
    assert not ledger.cancel(codec.decode(raw)).state
    ledger.submit(submission("j"))
    assert state_of(ledger, "j") == "queued"


def test_a_resent_submission_of_a_cancelled_job_is_answered_as_before():
    """Guards against a refusal of a job that was accepted."""
    ledger = ledgers.BatchLedger()
    ledger.submit(submission("j"))
    assert ledger.cancel(cancellation("j")).state == "cancelled"
    ledger.submit(submission("j"))
    assert state_of(ledger, "j") == "cancelled"


def test_a_withdrawal_lasts_as_long_as_the_record_of_an_ended_job():
    """Guards against records that expire early, or never."""
    ledger = ledgers.BatchLedger()
    ledger.cancel(cancellation("j", at_ms=1_000))
    ledger.cancel(cancellation("j", at_ms=5_000))
    assert not ledger.has_expired_records(5_000)
    ledger.forget(commands.ForgetJobs(5_000))
    with pytest.raises(caller_commands.JobWithdrawnError):
        ledger.submit(submission("j"))
    assert ledger.has_expired_records(5_001)
    ledger.forget(commands.ForgetJobs(5_001))
    assert not ledger.withdrawn
    ledger.submit(submission("j"))


def test_cancelling_unknown_ids_does_not_grow_the_ledger_without_limit():
    """Guards against a flood that fills the memory, or evicts records."""
    ledger = ledgers.BatchLedger()
    limit = withdrawn_jobs.MAX_RECORDS_OF_ACCOUNT
    for number in range(limit):
        ledger.cancel(cancellation(f"j{number}", at_ms=number))
    before = ledger.dump()
    with pytest.raises(caller_commands.TooManyWithdrawnError):
        ledger.cancel(cancellation("one-more"))
    assert ledger.dump() == before
    ledger.cancel(cancellation("j0"))
    with pytest.raises(caller_commands.JobWithdrawnError):
        ledger.submit(submission("j0"))
    ledger.cancel(cancellation("one-more", account="b"))
    ledger.forget(commands.ForgetJobs(limit))
    ledger.cancel(cancellation("another"))


def test_all_accounts_together_have_a_limit(monkeypatch):
    """Guards against a flood through many accounts."""
    monkeypatch.setattr(withdrawn_jobs, "MAX_RECORDS", 3)
    ledger = ledgers.BatchLedger()
    for account in "abc":
        ledger.cancel(cancellation(account, account=account))
    with pytest.raises(caller_commands.TooManyWithdrawnError):
        ledger.cancel(cancellation("d", account="d"))


async def test_callers_learn_that_a_withdrawn_job_was_not_accepted():
    """Guards against a refusal that arrives as another kind of error."""
    machine = replication.StateMachine(ledgers.BatchLedger())
    groups = local_groups.LocalGroups({"site": machine})
    clock = trio_clock.TrioClock()
    jobs = gateway.JobGateway("site", groups, clock)
    deadline = clock.monotonic() + 1.0
    with pytest.raises(gateway.UnknownJobError):
        await jobs.cancel("j", "a", deadline)
    with pytest.raises(caller_commands.JobWithdrawnError) as refusal:
        await jobs.submit(submission("j").job, deadline)
    record = refusal.value.to_record()
    assert record.retry_after_s is None


class RecordingGroups(local_groups.LocalGroups):
    """Groups that record the deadline of the last proposal."""

    deadline = 0.0

    async def propose(self, group, command, deadline):
        self.deadline = deadline
        return await super().propose(group, command, deadline)


async def test_a_submission_waits_for_less_than_its_withdrawal_lasts():
    """Guards against a submission that outlasts the record against it."""
    machine = replication.StateMachine(ledgers.BatchLedger())
    groups = RecordingGroups({"site": machine})
    clock = trio_clock.TrioClock()
    jobs = gateway.JobGateway("site", groups, clock)
    now = clock.monotonic()
    await jobs.submit(submission("j").job, now + 10_000.0)
    waits_s = groups.deadline - now
    assert waits_s <= gateway.MAX_SUBMISSION_S + 1.0
    assert gateway.MAX_SUBMISSION_S < leading.ENDED_JOB_RETENTION_S / 2
