"""What gangs that wait long keep, and what they leave to others."""

import dataclasses

from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site

LATE_MS = planner.FENCE_AFTER_MS


def gang(job_id, tasks, priority=1, **step):
    """Returns a gang whose tasks need a whole worker each."""
    return planned_site.job(job_id, tasks, 8, priority, gang=True, **step)


def small(job_id, tasks):
    """Returns tasks that fit into what other runs leave of a worker."""
    return planned_site.job(job_id, tasks, 1, priority=2)


def occupied_site(racks, per_rack, accelerators=1):
    """Returns a site on whose workers something runs."""
    ledger = planned_site.site(racks, per_rack)
    for worker_id in sorted(ledger.workers):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", accelerators)
    return ledger


def late_plan(ledger, **changes):
    """Returns a plan made when gangs have waited long enough to keep room."""
    view = planned_site.view(ledger, now_ms=LATE_MS)
    return planner.plan(dataclasses.replace(view, **changes))


def test_nothing_is_kept_for_a_gang_that_the_workers_left_do_not_hold():
    """It kept a rack from small tasks until the lost workers came back."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 6), small("many", 48))
    planned_site.lose(ledger, "w00")
    made = late_plan(ledger)
    assert planned_site.taken(made) == set(ledger.workers)


def test_another_rack_is_kept_when_the_kept_one_lost_a_worker():
    """The rack that could not hold the gang any more was kept for ever."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("g", 3, same_rack=True))
    made = late_plan(ledger)
    (rack,) = made.kept_racks.values()
    gone = min(w for w in ledger.workers if ledger.workers[w].rack == rack)
    planned_site.lose(ledger, gone)
    again = late_plan(ledger, kept_racks=made.kept_racks)
    (other,) = again.kept_racks.values()
    assert other != rack
