import dataclasses

import pytest

from laburnumsill.core import errors
from laburnumsill.state import jobs
from laburnumsill.state import jobs_checks
from laburnumsill.state import jobs_messages as messages
from laburnumsill.state.tests import ledger_checks

State, Reason = messages.JobState, messages.StopReason
SPEC = messages.JobSpec("tana", tasks=2, accelerators=4)
SLOTS = (messages.Slot("w0", 15), messages.Slot("w1", 15))


class LedgerDriver:
    """A ledger with some workers and the queued gang job `j`."""

    def __init__(self, workers=2, limit=10):
        self.ledger = jobs.JobLedger("north")
        self.now = 100.0
        self.limit = limit
        present = [ledger_checks.worker(f"w{n}", "r1") for n in range(workers)]
        self.apply(messages.PutWorkers, tuple(present), ())
        self.apply(messages.ExtendLeases, 3, self.now + 10)
        self.submit("j")

    def apply(self, kind, *fields, **named):
        command = kind(*fields, now=self.now, **named)
        return self.ledger.commands()[kind](command)

    def submit(self, job_id, spec=SPEC, digest="d"):
        return self.apply(messages.SubmitJob, job_id, digest, spec, self.limit)

    def job(self, job_id="j"):
        return self.ledger.book.jobs[job_id]

    def run(self, job_id="j", slots=SLOTS):
        epoch = self.job(job_id).epoch + 1
        self.apply(messages.PlaceJob, job_id, epoch, slots)
        self.apply(messages.JobStarted, job_id, epoch)

    def fail(self, job_id="j", worker="w0", **limits):
        epoch = self.job(job_id).epoch
        self.apply(
            messages.StopPlacement,
            job_id,
            epoch,
            Reason.TASK_FAILED,
            blamed=worker,
            **limits,
        )
        self.apply(messages.ReleasePlacement, job_id, epoch, True)


def test_commands_are_idempotent():
    driver = LedgerDriver()
    assert driver.submit("j") == driver.submit("j")
    with pytest.raises(errors.KeyReusedError):
        driver.submit("j", digest="other")
    for _ in range(2):
        driver.apply(messages.PlaceJob, "j", 1, SLOTS)
    for _ in range(2):
        driver.apply(messages.JobStarted, "j", 1)
    for _ in range(2):
        driver.apply(messages.JobSucceeded, "j", 1)
    assert driver.job().state == State.SUCCEEDED
    assert driver.apply(messages.CancelJob, "j").state == State.SUCCEEDED


def test_the_first_recorded_home_of_a_key_stays():
    driver = LedgerDriver()
    assert (
        driver.apply(messages.RecordHome, "k", "d", "north").domain == "north"
    )
    assert (
        driver.apply(messages.RecordHome, "k", "d", "south").domain == "north"
    )
    with pytest.raises(errors.KeyReusedError):
        driver.apply(messages.RecordHome, "k", "e", "south")
    driver.now += jobs.KEY_RETENTION_S + 1
    assert (
        driver.apply(messages.RecordHome, "k", "e", "south").domain == "south"
    )


def test_a_placement_under_another_epoch_than_the_next_is_refused():
    driver = LedgerDriver()
    driver.run()
    driver.fail()
    assert (driver.job().state, driver.job().epoch) == (State.QUEUED, 1)
    for epoch in (0, 1, 3):
        with pytest.raises(jobs_checks.PlacementRefusedError):
            driver.apply(messages.PlaceJob, "j", epoch, SLOTS)
    for kind in (messages.JobStarted, messages.JobSucceeded):
        with pytest.raises(errors.ConflictError):
            driver.apply(kind, "j", 1)
    driver.run()
    assert driver.job().epoch == 2


def test_a_start_after_the_cancellation_is_refused():
    driver = LedgerDriver()
    driver.apply(messages.PlaceJob, "j", 1, SLOTS)
    assert driver.apply(messages.CancelJob, "j").state == State.CANCELLING
    with pytest.raises(jobs_checks.PlacementRefusedError):
        driver.apply(messages.JobStarted, "j", 1)
    driver.apply(messages.ReleasePlacement, "j", 1, True)
    assert driver.job().state == State.CANCELLED
    with pytest.raises(jobs_checks.PlacementRefusedError):
        driver.apply(messages.PlaceJob, "j", 2, SLOTS)


def test_slots_are_freed_after_confirmation_or_lease_expiry():
    driver = LedgerDriver()
    driver.run()
    driver.apply(messages.StopPlacement, "j", 1, Reason.WORKER_LOST)
    driver.apply(messages.ExtendLeases, 3, driver.now + 50)
    release = (messages.ReleasePlacement, "j", 1, False)
    driver.now += 10.2
    with pytest.raises(jobs_checks.PlacementRefusedError):
        driver.apply(*release)
    driver.now += 0.1
    driver.apply(*release)
    assert driver.job().state == State.QUEUED
    assert driver.job().interruptions == 1


def test_a_checkpoint_extends_the_lease_bound():
    driver = LedgerDriver()
    driver.run()
    driver.apply(
        messages.StopPlacement,
        "j",
        1,
        Reason.RECLAIMED,
        checkpoint_until=driver.now + 30,
    )
    assert driver.job().placement.lease_bound == driver.now + 30


def test_a_deposed_leader_extends_no_lease():
    driver = LedgerDriver()
    driver.apply(messages.ExtendLeases, 4, driver.now + 20)
    with pytest.raises(jobs.StaleLeaderError):
        driver.apply(messages.ExtendLeases, 3, driver.now + 90)
    driver.run()
    driver.apply(messages.StopPlacement, "j", 1, Reason.WORKER_LOST)
    leases = driver.apply(messages.ExtendLeases, 4, driver.now + 5)
    assert leases.until == driver.now + 20
    assert leases.stopping == ("j",)


def test_the_restart_of_a_worker_stops_its_placements():
    driver = LedgerDriver()
    driver.run()
    restarted = ledger_checks.worker("w0", "r1", incarnation="2")
    driver.apply(messages.PutWorkers, (restarted,), ())
    assert driver.job().state == State.STOPPING
    driver.apply(messages.ReleasePlacement, "j", 1, True)
    assert "w0" not in driver.ledger.book.pool.workers
    driver.apply(messages.PutWorkers, (restarted,), ())
    driver.run()


def test_faulty_workers_and_faulty_jobs_are_distinguished():
    driver = LedgerDriver(workers=4)
    single = dataclasses.replace(SPEC, tasks=1)
    for number in range(3):
        driver.submit(f"s{number}", single)
        driver.run(f"s{number}", (messages.Slot("w3", 15),))
        driver.fail(f"s{number}", "w3")
    worker = driver.ledger.book.pool.workers["w3"]
    assert worker.aside_until > driver.now
    driver.submit("bad", single)
    for name in ("w0", "w1", "w2"):
        driver.run("bad", (messages.Slot(name, 15),))
        driver.fail("bad", name, bad_worker_jobs=2)
    assert driver.job("bad").state == State.FAILED
    assert "failed 3 times" in driver.job("bad").reason
    records = driver.ledger.book.pool.workers
    assert not any(records[w].aside_until for w in ("w0", "w1", "w2"))
    driver.now = worker.aside_until
    driver.apply(messages.ReturnWorker, "w3")
    assert worker.usable
    driver.run("s0", (messages.Slot("w3", 15),))
    driver.apply(messages.JobSucceeded, "s0", driver.job("s0").epoch)
    assert worker.asides == 0


def test_failures_on_a_faulty_worker_do_not_end_a_job():
    driver = LedgerDriver()
    for _ in range(3):
        driver.run()
        driver.fail(bad_worker_jobs=1)
        worker = driver.ledger.book.pool.workers["w0"]
        driver.now = worker.aside_until
        driver.apply(messages.ReturnWorker, "w0")
    assert driver.job().state == State.QUEUED


def test_queue_limit_and_retention_of_ended_jobs():
    driver = LedgerDriver(limit=1)
    with pytest.raises(errors.OverloadedError):
        driver.submit("k")
    driver.apply(messages.CancelJob, "j")
    driver.submit("k")
    assert "j" in driver.ledger.book.jobs
    driver.now += jobs.JOB_RETENTION_S + 1
    driver.apply(messages.CancelJob, "k")
    driver.submit("l")
    assert "j" not in driver.ledger.book.jobs


def test_reserved_slots_are_refused_to_other_jobs():
    driver = LedgerDriver()
    driver.submit("k", dataclasses.replace(SPEC, tasks=1))
    hold = (SLOTS, (), (), Reason.DRAINED, 0.0)
    driver.apply(messages.HoldSlots, "j", 0, *hold)
    with pytest.raises(jobs_checks.PlacementRefusedError, match="not free"):
        driver.apply(messages.PlaceJob, "k", 1, SLOTS[:1])
    driver.apply(messages.DropHold, "j")
    driver.apply(messages.PlaceJob, "k", 1, SLOTS[:1])
    driver.apply(messages.HoldSlots, "j", 0, SLOTS, (), ("k",), *hold[3:])
    assert driver.job("k").state == State.STOPPING
    with pytest.raises(jobs_checks.PlacementRefusedError, match="not free"):
        driver.apply(messages.PlaceJob, "j", 1, SLOTS)
    driver.apply(messages.ReleasePlacement, "k", 1, True)
    driver.run()
    assert not driver.job().hold
