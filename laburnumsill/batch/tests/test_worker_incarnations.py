"""Stale announcements, and runs that pass to a worker's next incarnation."""

import msgspec
import pytest
import trio
import trio.testing

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import intake as intakes
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.core import errors
from laburnumsill.emulator import site as sites

ENDED_MS = 5_000


def worker(draining=False):
    return model.Worker(
        "w", "pool", "a:1", "d", model.Resources(8, 8, 8), draining=draining
    )


def test_a_stale_announcement_does_not_undo_a_drain():
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(), 3))
    ledger.put_worker(commands.PutWorker(worker(draining=True), 9))
    ledger.put_worker(commands.PutWorker(worker(), 8))
    assert ledger.workers["w"].draining
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    restored.put_worker(commands.PutWorker(worker(), 8))
    assert restored.workers["w"].draining


def test_announcements_of_an_ended_incarnation_are_ignored():
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(), 3))
    gone = commands.RemoveWorker("w", "it left", (), ENDED_MS)
    ledger.remove_worker(gone)
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    for one in (ledger, restored):
        one.put_worker(commands.PutWorker(worker(), 4))
        assert "w" not in one.workers
        assert one.has_expired_records(ENDED_MS + 1)
        one.forget(commands.ForgetJobs(ENDED_MS + 1))
        assert not one.has_ended("w")


def test_a_worker_that_was_removed_as_unreachable_may_return():
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(), 3))
    ledger.remove_worker(commands.RemoveWorker("w", "silent"))
    ledger.put_worker(commands.PutWorker(worker(), 4))
    assert "w" in ledger.workers


def play(script):
    """Runs a script on an emulated site; fails if its oracle sees a fault."""

    async def main():
        site = sites.EmulatedSite(1, racks=1, per_rack=1)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await script(site)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def gang(job_id, tasks):
    step = model.Step(tasks, model.Resources(1000, 64, 4), 1000, gang=True)
    terms = model.QueueTerms("pool", 0, 3, 1.5, 250)
    return model.Job(job_id, "q", "a", "", (step,), terms)


def test_a_late_announcement_of_a_crashed_worker_takes_no_work():
    """The leader probes the address; the successor of the worker answers."""

    async def script(site):
        await trio.sleep(1.0)
        old = site.pool.workers["w0-0"].worker
        site.pool.workers["w0-0"].vanish()
        site.add_worker("reborn", 0, old.address)
        await trio.sleep(0.5)
        assert set(site.ledger.workers) == {"reborn"}
        # Models a leader that does not know that the old worker has ended.
        site.ledger._registry.ended.clear()
        site.announce(old, 100)
        await site.submit(gang("j", 2), [1.0])
        await trio.sleep(1.5)
        assert set(site.ledger.workers) == {"reborn"}
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_jobs_wait_while_two_workers_claim_an_unreachable_address():
    async def script(site):
        await trio.sleep(1.0)
        old = site.pool.workers["w0-0"].worker
        site.pool.workers["w0-0"].vanish()
        site.client.cut = {"w0-0", "reborn"}
        site.add_worker("reborn", 0, old.address)
        await site.submit(gang("j", 1), [1.0])
        await trio.sleep(2.0)
        assert not site.ledger.runs
        site.client.cut = set()
        await trio.sleep(3.0)
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_an_unnamed_pool_takes_no_worker_out_of_a_named_one():
    """A worker of a pool that is not configured may use the id of another."""

    async def script(site):
        known = site.pool.workers["w0-0"].worker
        foreign = msgspec.structs.replace(known, pool="nobody's")
        with pytest.raises(errors.ConflictError):
            await site.intakes["vm2"].announce(
                intakes.Announcement(foreign, 9, None)
            )
        assert site.ledger.workers["w0-0"] == known
        await site.submit(gang("j", 2), [1.0])
        await trio.sleep(1.5)
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_a_worker_of_an_unnamed_pool_blocks_no_address():
    """A worker of a pool that is not configured may claim any address."""

    async def script(site):
        known = site.pool.workers["w0-0"].worker
        foreign = msgspec.structs.replace(
            known, pool="nobody's", worker_id="stray"
        )
        site.client.cut = {"stray"}
        await site.intakes["vm2"].announce(
            intakes.Announcement(foreign, 9, None)
        )
        assert "stray" in site.ledger.workers
        await site.submit(gang("j", 2), [1.0])
        await trio.sleep(1.5)
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_a_worker_that_was_silent_does_not_come_back_as_it_was_before():
    """A heartbeat from before the drain may arrive late, after a partition."""
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(draining=True), 9))
    ledger.remove_worker(commands.RemoveWorker("w", "silent"))
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    for one in (ledger, restored):
        one.put_worker(commands.PutWorker(worker(), 8))
        assert "w" not in one.workers
        one.put_worker(commands.PutWorker(worker(draining=True), 10))
        assert one.workers["w"].draining


def new_leader(site):
    site.groups.lead("vm2" if site.groups.leader == "vm1" else "vm1")


def snapshot_restart(site):
    """Restarts all VMs from a snapshot."""
    site.ledger.load(site.ledger.dump())
    new_leader(site)


def forget_ended(site):
    """Deletes the records of all ended jobs and workers."""
    site.groups.machine.apply(commands.ForgetJobs(10**15))


def no_event(site):
    pass


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("vm", ["vm1", "vm2"])
@pytest.mark.parametrize("order", ["event first", "announcement first"])
@pytest.mark.parametrize(
    "event", [no_event, new_leader, snapshot_restart, forget_ended]
)
def test_a_late_announcement_of_an_ended_worker_is_ignored_after_any_event(
    event, order, vm, draining
):
    """The sender has crashed, and its successor has its address."""

    async def script(site):
        await trio.sleep(1.0)
        old = site.pool.workers["w0-0"].worker
        if draining:
            old = msgspec.structs.replace(old, draining=True)
            site.announce(old, 90)
        site.pool.workers["w0-0"].vanish()
        reborn = site.add_worker("reborn", 0, old.address)
        await trio.sleep(0.5)
        assert set(site.ledger.workers) == {"reborn"}
        steps = [lambda: event(site), lambda: None]
        if order == "announcement first":
            steps.reverse()
        steps[0]()
        await trio.sleep(0.2)
        late = intakes.Announcement(old, 100, 1000)
        await site.intakes[vm].announce(late)
        steps[1]()
        await site.submit(gang("j", 2), [1.0])
        await trio.sleep(2.5)
        assert site.ledger.workers == {"reborn": reborn.worker}
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_a_failure_that_is_listed_again_after_a_long_cut_counts_once():
    """The worker was not told that the ledger had recorded the end."""
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(), 3))
    step = model.Step(1, model.Resources(1, 1, 1))
    terms = model.QueueTerms("pool", 0, 2)
    job = model.Job("j", "q", "a", "", (step,), terms)
    ledger.submit(caller_commands.SubmitJob(job, 0))
    run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
    group = (commands.Placement(run, "w"),)
    ledger.place(commands.PlaceRuns((group,), 0))
    failed = commands.EndedRun(1, run, commands.EndKind.FAILED)
    ledger.note_ends(commands.NoteEnds("w", (failed,), 0))
    ledger.remove_worker(commands.RemoveWorker("w", "silent"))
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    for one in (ledger, restored):
        one.put_worker(commands.PutWorker(worker(), 4))
        one.note_ends(commands.NoteEnds("w", (failed,), 0))
        assert one.jobs["j"].state is not caller_commands.JobState.FAILED


def test_a_worker_of_an_unconfigured_pool_is_not_called():
    """The address of such a worker may belong to anything else."""
    called = set()

    async def script(site):
        report = site.client.report

        async def recorded_report(worker, order, deadline):
            called.add(worker.worker_id)
            return await report(worker, order, deadline)

        site.client.report = recorded_report
        known = site.pool.workers["w0-0"].worker
        foreign = msgspec.structs.replace(
            known, pool="nobody's", worker_id="stray", address="elsewhere"
        )
        site.add_worker("w0-1", 0)
        await site.intakes["vm2"].announce(
            intakes.Announcement(foreign, 1, None)
        )
        await trio.sleep(1.0)
        new_leader(site)
        await trio.sleep(2.0)
        assert "stray" in site.ledger.workers

    play(script)
    assert called == {"w0-0", "w0-1"}


SUCCESSOR = msgspec.structs.replace(worker(), worker_id="w@9", name="w")
RUN = model.RunId(model.TaskId("j", 0, 0, 0), 1)


def restarted_ledger():
    """Returns a ledger in which a worker with a live run has restarted."""
    ledger = ledgers.BatchLedger()
    ledger.put_worker(commands.PutWorker(worker(), 30))
    step = model.Step(1, model.Resources(1, 1, 1))
    terms = model.QueueTerms("pool", 0, 2)
    job = model.Job("j", "q", "a", "", (step,), terms)
    ledger.submit(caller_commands.SubmitJob(job, 0))
    group = (commands.Placement(RUN, "w"),)
    ledger.place(commands.PlaceRuns((group,), 0))
    earlier = commands.EndedRun(6, RUN, commands.EndKind.STOPPED)
    ledger.note_ends(commands.NoteEnds("w", (earlier,), 0))
    run = model.RunId(RUN.task, 2)
    ledger.place(commands.PlaceRuns(((commands.Placement(run, "w"),),), 0))
    ledger.put_worker(commands.PutWorker(SUCCESSOR, 1))
    ledger.remove_worker(
        commands.RemoveWorker("w", "421", (), 5, True, successor="w@9")
    )
    return ledger, run


@pytest.mark.parametrize("restarts", [False, True])
def test_a_run_of_an_earlier_incarnation_passes_to_the_successor(restarts):
    """The successor may receive orders that were sent to its predecessor."""
    ledger, run = restarted_ledger()
    if restarts:
        restored = ledgers.BatchLedger()
        restored.load(ledger.dump())
        ledger = restored
    assert list(ledger.workers) == ["w@9"]
    record = ledger.runs[run]
    assert (record.worker_id, record.is_stray) == ("w@9", True)
    assert list(ledger.runs_on("w@9")) == [run]
    assert ledger.last_end("w@9") == ledger.last_sequence("w") == 0
    done = commands.EndedRun(1, run, commands.EndKind.DONE)
    ledger.note_ends(commands.NoteEnds("w@9", (done,), 6))
    assert ledger.jobs["j"].done


def test_a_run_that_passed_to_a_successor_is_blamed_for_one_crash():
    ledger, run = restarted_ledger()
    blame = ledger.crashes.blame_of(run.task)
    assert blame.points == 2
    ledger.remove_worker(commands.RemoveWorker("w@9", "421", (), 7, True))
    assert ledger.crashes.blame_of(run.task) == blame
    assert not ledger.runs


def test_records_without_worker_names_and_stray_flags_are_read():
    ledger, run = restarted_ledger()
    name, body = msgspec.msgpack.decode(ledger.dump())
    for one in body["workers"]:
        del one["name"]
    for one in body["runs"]:
        del one["is_stray"]
    restored = ledgers.BatchLedger()
    restored.load(msgspec.msgpack.encode((name, body)))
    assert restored.workers["w@9"].call_name == "w@9"
    assert not restored.runs[run].is_stray


@pytest.mark.parametrize("vm", ["vm1", "vm2"])
def test_an_announcement_without_the_start_time_is_from_another_sender(vm):
    """It would be taken for a second worker at the same address."""

    async def script(site):
        await trio.sleep(1.0)
        known = site.pool.workers["w0-0"].worker
        named = msgspec.structs.replace(known, worker_id="i-7@9", name="i-7")
        first = intakes.Announcement(named, 3, 1000)
        await site.intakes[vm].announce(first)
        foreign = msgspec.structs.replace(known, worker_id="i-7")
        with pytest.raises(intakes.ContradictoryAnnouncementError):
            await site.intakes[vm].announce(
                intakes.Announcement(foreign, 4, 1000)
            )
        assert "i-7" not in site.ledger.workers
        assert site.ledger.workers["i-7@9"] == named

    play(script)
