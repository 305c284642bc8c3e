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


class Ledger:
    """A ledger with some workers and the queued gang job `j`."""

    def __init__(self, workers=2, limit=10):
        self.ledger = jobs.JobLedger("north")
        self.now = 100.0
        self.limit = limit
        present = [ledger_checks.worker(f"w{n}", "r1") for n in range(workers)]
        self.do(messages.PutWorkers, tuple(present), ())
        self.do(messages.ExtendLeases, 3, self.now + 10)
        self.submit("j")

    def do(self, kind, *fields, **named):
        command = kind(*fields, now=self.now, **named)
        return self.ledger.commands()[kind](command)

    def submit(self, job_id, spec=SPEC, digest="d"):
        return self.do(messages.SubmitJob, job_id, digest, spec, self.limit)

    def job(self, job_id="j"):
        return self.ledger.book.jobs[job_id]

    def run(self, job_id="j", slots=SLOTS):
        epoch = self.job(job_id).epoch + 1
        self.do(messages.PlaceJob, job_id, epoch, slots)
        self.do(messages.JobStarted, job_id, epoch)

    def fail(self, job_id="j", worker="w0", **limits):
        epoch = self.job(job_id).epoch
        self.do(
            messages.StopPlacement,
            job_id,
            epoch,
            Reason.TASK_FAILED,
            blamed=worker,
            **limits,
        )
        self.do(messages.ReleasePlacement, job_id, epoch, True)


def test_commands_are_idempotent():
    one = Ledger()
    assert one.submit("j") == one.submit("j")
    with pytest.raises(errors.KeyReusedError):
        one.submit("j", digest="other")
    for _ in range(2):
        one.do(messages.PlaceJob, "j", 1, SLOTS)
    for _ in range(2):
        one.do(messages.JobStarted, "j", 1)
    for _ in range(2):
        one.do(messages.JobSucceeded, "j", 1)
    assert one.job().state == State.SUCCEEDED
    assert one.do(messages.CancelJob, "j").state == State.SUCCEEDED


def test_the_first_recorded_home_of_a_key_stays():
    one = Ledger()
    assert one.do(messages.RecordHome, "k", "d", "north").domain == "north"
    assert one.do(messages.RecordHome, "k", "d", "south").domain == "north"
    with pytest.raises(errors.KeyReusedError):
        one.do(messages.RecordHome, "k", "e", "south")
    one.now += jobs.KEY_RETENTION_S + 1
    assert one.do(messages.RecordHome, "k", "e", "south").domain == "south"


def test_a_placement_under_another_epoch_than_the_next_is_refused():
    one = Ledger()
    one.run()
    one.fail()
    assert (one.job().state, one.job().epoch) == (State.QUEUED, 1)
    for epoch in (0, 1, 3):
        with pytest.raises(jobs_checks.PlacementRefusedError):
            one.do(messages.PlaceJob, "j", epoch, SLOTS)
    for kind in (messages.JobStarted, messages.JobSucceeded):
        with pytest.raises(errors.ConflictError):
            one.do(kind, "j", 1)
    one.run()
    assert one.job().epoch == 2


def test_a_start_after_the_cancellation_is_refused():
    one = Ledger()
    one.do(messages.PlaceJob, "j", 1, SLOTS)
    assert one.do(messages.CancelJob, "j").state == State.CANCELLING
    with pytest.raises(jobs_checks.PlacementRefusedError):
        one.do(messages.JobStarted, "j", 1)
    one.do(messages.ReleasePlacement, "j", 1, True)
    assert one.job().state == State.CANCELLED
    with pytest.raises(jobs_checks.PlacementRefusedError):
        one.do(messages.PlaceJob, "j", 2, SLOTS)


def test_slots_are_freed_after_confirmation_or_lease_expiry():
    one = Ledger()
    one.run()
    one.do(messages.StopPlacement, "j", 1, Reason.WORKER_LOST)
    one.do(messages.ExtendLeases, 3, one.now + 50)
    release = (messages.ReleasePlacement, "j", 1, False)
    one.now += 10.2
    with pytest.raises(jobs_checks.PlacementRefusedError):
        one.do(*release)
    one.now += 0.1
    one.do(*release)
    assert one.job().state == State.QUEUED
    assert one.job().interruptions == 1


def test_a_checkpoint_extends_the_lease_bound():
    one = Ledger()
    one.run()
    one.do(
        messages.StopPlacement,
        "j",
        1,
        Reason.RECLAIMED,
        checkpoint_until=one.now + 30,
    )
    assert one.job().placement.lease_bound == one.now + 30


def test_a_deposed_leader_extends_no_lease():
    one = Ledger()
    one.do(messages.ExtendLeases, 4, one.now + 20)
    with pytest.raises(jobs.StaleLeaderError):
        one.do(messages.ExtendLeases, 3, one.now + 90)
    one.run()
    one.do(messages.StopPlacement, "j", 1, Reason.WORKER_LOST)
    leases = one.do(messages.ExtendLeases, 4, one.now + 5)
    assert leases.until == one.now + 20
    assert leases.stopping == ("j",)


def test_the_restart_of_a_worker_stops_its_placements():
    one = Ledger()
    one.run()
    restarted = ledger_checks.worker("w0", "r1", incarnation="2")
    one.do(messages.PutWorkers, (restarted,), ())
    assert one.job().state == State.STOPPING
    one.do(messages.ReleasePlacement, "j", 1, True)
    assert "w0" not in one.ledger.book.pool.workers
    one.do(messages.PutWorkers, (restarted,), ())
    one.run()


def test_faulty_workers_and_faulty_jobs_are_distinguished():
    one = Ledger(workers=4)
    single = dataclasses.replace(SPEC, tasks=1)
    for number in range(3):
        one.submit(f"s{number}", single)
        one.run(f"s{number}", (messages.Slot("w3", 15),))
        one.fail(f"s{number}", "w3")
    worker = one.ledger.book.pool.workers["w3"]
    assert worker.aside_until > one.now
    one.submit("bad", single)
    for name in ("w0", "w1", "w2"):
        one.run("bad", (messages.Slot(name, 15),))
        one.fail("bad", name, bad_worker_jobs=2)
    assert one.job("bad").state == State.FAILED
    assert "failed 3 times" in one.job("bad").reason
    records = one.ledger.book.pool.workers
    assert not any(records[w].aside_until for w in ("w0", "w1", "w2"))
    one.now = worker.aside_until
    one.do(messages.ReturnWorker, "w3")
    assert worker.usable
    one.run("s0", (messages.Slot("w3", 15),))
    one.do(messages.JobSucceeded, "s0", one.job("s0").epoch)
    assert worker.asides == 0


def test_failures_on_a_faulty_worker_do_not_end_a_job():
    one = Ledger()
    for _ in range(3):
        one.run()
        one.fail(bad_worker_jobs=1)
        worker = one.ledger.book.pool.workers["w0"]
        one.now = worker.aside_until
        one.do(messages.ReturnWorker, "w0")
    assert one.job().state == State.QUEUED


def test_queue_limit_and_retention_of_ended_jobs():
    one = Ledger(limit=1)
    with pytest.raises(errors.OverloadedError):
        one.submit("k")
    one.do(messages.CancelJob, "j")
    one.submit("k")
    assert "j" in one.ledger.book.jobs
    one.now += jobs.JOB_RETENTION_S + 1
    one.do(messages.CancelJob, "k")
    one.submit("l")
    assert "j" not in one.ledger.book.jobs


def test_reserved_slots_are_refused_to_other_jobs():
    one = Ledger()
    one.submit("k", dataclasses.replace(SPEC, tasks=1))
    hold = (SLOTS, (), (), Reason.DRAINED, 0.0)
    one.do(messages.HoldSlots, "j", 0, *hold)
    with pytest.raises(jobs_checks.PlacementRefusedError, match="not free"):
        one.do(messages.PlaceJob, "k", 1, SLOTS[:1])
    one.do(messages.DropHold, "j")
    one.do(messages.PlaceJob, "k", 1, SLOTS[:1])
    one.do(messages.HoldSlots, "j", 0, SLOTS, (), ("k",), *hold[3:])
    assert one.job("k").state == State.STOPPING
    with pytest.raises(jobs_checks.PlacementRefusedError, match="not free"):
        one.do(messages.PlaceJob, "j", 1, SLOTS)
    one.do(messages.ReleasePlacement, "k", 1, True)
    one.run()
    assert not one.job().hold
