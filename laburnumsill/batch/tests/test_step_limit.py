"""Jobs that are refused since all jobs together would be too large."""

import msgspec
import pytest

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import gateway
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch.tests import test_withdrawn_jobs
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.testing import local_groups

LIMIT = 10


def job(job_id, steps, occurrences=0):
    one = test_withdrawn_jobs.submission(job_id).job
    return msgspec.structs.replace(
        one, steps=one.steps * steps, repeat_count=occurrences
    )


def submission(job_id, steps, occurrences=0, limit=LIMIT):
    return caller_commands.SubmitJob(job(job_id, steps, occurrences), 1, limit)


@pytest.mark.parametrize(
    "copy", [lambda ledger: ledger, test_withdrawn_jobs.restored]
)
def test_a_job_beyond_the_limit_is_refused_and_not_stored(copy):
    """Guards against accepted jobs that exhaust the memory of all replicas."""
    ledger = ledgers.BatchLedger()
    ledger.submit(submission("a", 6))
    ledger = copy(ledger)
    with pytest.raises(caller_commands.TooManyStepsError) as refused:
        ledger.submit(submission("b", 5))
    assert refused.value.status == 503
    assert list(ledger.jobs) == ["a"]
    ledger.submit(submission("c", 4))
    assert list(ledger.jobs) == ["a", "c"]


def test_each_occurrence_counts_with_its_steps():
    ledger = ledgers.BatchLedger()
    with pytest.raises(caller_commands.TooManyStepsError):
        ledger.submit(submission("a", 2, occurrences=6))
    ledger.submit(submission("a", 2, occurrences=5))


def test_a_job_that_is_resent_is_accepted_at_the_limit():
    ledger = ledgers.BatchLedger()
    ledger.submit(submission("a", LIMIT))
    ledger.submit(submission("a", LIMIT))
    assert list(ledger.jobs) == ["a"]


def test_a_job_whose_record_has_expired_makes_room():
    ledger = ledgers.BatchLedger()
    ledger.submit(submission("a", LIMIT))
    ledger.cancel(test_withdrawn_jobs.cancellation("a", at_ms=2))
    with pytest.raises(caller_commands.TooManyStepsError):
        ledger.submit(submission("b", 1))
    ledger.forget(commands.ForgetJobs(3))
    ledger.submit(submission("b", LIMIT))


def test_submissions_in_the_log_of_an_earlier_version_have_no_limit():
    """Guards against an accepted job that is lost when the log is replayed."""
    ledger = ledgers.BatchLedger()
    ledger.submit(submission("a", LIMIT))
    ledger.submit(submission("b", LIMIT, limit=0))
    assert list(ledger.jobs) == ["a", "b"]


async def test_callers_learn_that_a_job_beyond_the_limit_was_not_accepted():
    machine = replication.StateMachine(ledgers.BatchLedger())
    clock = trio_clock.TrioClock()
    groups = local_groups.LocalGroups({"site": machine})
    jobs = gateway.JobGateway("site", groups, clock)
    deadline = clock.monotonic() + 1
    await jobs.submit(job("a", gateway.MAX_STEPS), deadline)
    with pytest.raises(caller_commands.TooManyStepsError):
        await jobs.submit(job("b", 1), deadline)
    with pytest.raises(gateway.UnknownJobError):
        await jobs.job_state("b", deadline)


def large_job(job_id, occurrences=0, payload="", **changes):
    """Returns a job of one step with other tasks or dependencies."""
    one = test_withdrawn_jobs.submission(job_id).job
    step = msgspec.structs.replace(one.steps[0], **changes)
    return msgspec.structs.replace(
        one, steps=(step,), repeat_count=occurrences, payload=payload
    )


@pytest.mark.parametrize(
    "one",
    [
        pytest.param(large_job("a", tasks=1000), id="tasks"),
        pytest.param(large_job("a", 1000, tasks=1), id="occurrences"),
        pytest.param(large_job("a", depends_on=(0,) * 20_000), id="dependent"),
        pytest.param(large_job("a", payload="x" * 250_000), id="payload"),
    ],
)
@pytest.mark.parametrize(
    "copy", [lambda ledger: ledger, test_withdrawn_jobs.restored]
)
def test_jobs_beyond_the_limit_of_memory_are_refused(copy, one):
    """Guards against jobs of few steps that exhaust all replicas."""
    limit = 2 * one.content_bytes - 1

    def submit(job_id):
        changed = msgspec.structs.replace(one, job_id=job_id)
        ledger.submit(
            caller_commands.SubmitJob(changed, 1, max_content_bytes=limit)
        )

    ledger = ledgers.BatchLedger()
    submit("a")
    ledger = copy(ledger)
    submit("a")
    with pytest.raises(caller_commands.JobsTooLargeError) as refused:
        submit("b")
    assert refused.value.status == 503
    assert list(ledger.jobs) == ["a"]
    ledger.cancel(test_withdrawn_jobs.cancellation("a", at_ms=2))
    ledger.forget(commands.ForgetJobs(3))
    submit("b")


async def test_callers_learn_that_a_job_was_too_large_beside_the_others():
    machine = replication.StateMachine(ledgers.BatchLedger())
    clock = trio_clock.TrioClock()
    groups = local_groups.LocalGroups({"site": machine})
    jobs = gateway.JobGateway("site", groups, clock)
    deadline = clock.monotonic() + 10
    size = large_job("a", tasks=20_000).content_bytes
    for number in range(gateway.MAX_CONTENT_BYTES // size):
        await jobs.submit(large_job(f"j{number}", tasks=20_000), deadline)
    with pytest.raises(caller_commands.JobsTooLargeError):
        await jobs.submit(large_job("b", tasks=20_000), deadline)
    with pytest.raises(gateway.UnknownJobError):
        await jobs.job_state("b", deadline)
