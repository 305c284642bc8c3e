"""Workers whose capacity shrinks while they run, or that have not said so."""

import msgspec

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site


def test_nothing_is_planned_where_more_is_in_use_than_there_is():
    """The ledger would refuse it, again and again."""
    ledger = planned_site.site(1, 1)
    planned_site.occupy(ledger, "w00", "o", 8)
    worker = msgspec.structs.replace(
        ledger.workers["w00"], capacity=model.Resources(64_000, 65_536, 4)
    )
    ledger.put_worker(commands.PutWorker(worker))
    step = model.Step(1, model.Resources(1000, 64, 0), 1000)
    terms = model.QueueTerms("pool", 1, 3)
    planned_site.submit(ledger, model.Job("j", "q", "a", "", (step,), terms))
    assert not planner.plan(planned_site.view(ledger)).groups
