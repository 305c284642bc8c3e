"""Detection of faulty workers beside jobs that fail by themselves."""

import random

from laburnumsill.batch import failure_evidence

WORKERS = [f"w{number}" for number in range(270)]
RELIABLE = "urgent"
UNRELIABLE = "batch"
QUEUE_FAILURE_RATES = {RELIABLE: 0.005, UNRELIABLE: 0.05}


def trained_evidence(source, runs=4_000):
    """Returns evidence from runs on healthy workers at the queues' rates."""
    evidence = failure_evidence.FailureEvidence()
    for number in range(runs):
        queue = source.choice((RELIABLE, UNRELIABLE))
        worker = source.choice(WORKERS)
        job = f"calm-{number // 5}"
        if source.random() < QUEUE_FAILURE_RATES[queue]:
            evidence.record_failure(worker, queue, job, 0.0)
        else:
            evidence.record_success(worker, queue, job)
    return evidence


def test_one_failure_of_a_reliable_queue_reveals_a_faulty_worker():
    """Gangs run on several workers that fail all their runs."""
    evidence = trained_evidence(random.Random(1))
    quarantined = [
        evidence.record_failure(worker, RELIABLE, f"gang-{number}", 10.0)
        for number, worker in enumerate(WORKERS[:20])
    ]
    assert all(quarantined)


def test_two_failures_of_an_unreliable_queue_reveal_a_faulty_worker():
    evidence = trained_evidence(random.Random(2))
    assert not evidence.record_failure("w7", UNRELIABLE, "a", 10.0)
    assert evidence.record_failure("w7", UNRELIABLE, "b", 11.0)


def test_recently_confirmed_faulty_workers_raise_the_odds_for_others():
    evidence = trained_evidence(random.Random(3))
    for number, worker in enumerate(WORKERS[:20]):
        evidence.record_failure(worker, UNRELIABLE, f"a-{number}", 10.0)
        evidence.record_failure(worker, UNRELIABLE, f"b-{number}", 10.0)
    assert evidence.record_failure("w200", UNRELIABLE, "c", 11.0)
    later = 11.0 + 2 * failure_evidence.CONFIRMED_WINDOW_S
    assert not evidence.record_failure("w201", UNRELIABLE, "d", later)


def test_a_job_that_fails_everywhere_quarantines_few_workers():
    """Each of the 40 tasks of one job fails on any worker."""
    evidence = trained_evidence(random.Random(4))
    quarantined = [
        worker
        for worker in WORKERS[:40]
        if evidence.record_failure(worker, RELIABLE, "poisoned", 10.0)
    ]
    assert len(quarantined) <= 2


def test_failures_of_one_job_on_a_worker_count_once():
    evidence = failure_evidence.FailureEvidence()
    assert not any(
        evidence.record_failure("w", "q", "a", 0.1 * n) for n in range(9)
    )


def test_healthy_workers_are_seldom_quarantined():
    """Many jobs fail by themselves, at the rates of their queues."""
    source = random.Random(5)
    evidence = trained_evidence(source)
    quarantines = 0
    for number in range(10_000):
        queue = source.choice((RELIABLE, UNRELIABLE))
        worker = source.choice(WORKERS)
        job = f"job-{number // 5}"
        now = 10.0 + number / 80
        if source.random() >= QUEUE_FAILURE_RATES[queue]:
            evidence.record_success(worker, queue, job)
        else:
            quarantines += evidence.record_failure(worker, queue, job, now)
    # A quarantine lasts 4 s of 125 s, so the bound is 1 % of the workers.
    assert quarantines < len(WORKERS) / 100 * 125 / 4


def test_a_successful_run_clears_a_worker():
    evidence = failure_evidence.FailureEvidence()
    assert not evidence.record_failure("w", "q", "a", 0.0)
    evidence.record_success("w", "q", "b")
    assert not evidence.record_failure("w", "q", "c", 1.0)


def test_counts_of_ended_jobs_are_deleted():
    evidence = failure_evidence.FailureEvidence()
    for number in range(50):
        evidence.record_success("w", "q", f"j{number}")
    evidence.keep_jobs({"j49"})
    assert set(evidence._jobs) == {"j49"}
