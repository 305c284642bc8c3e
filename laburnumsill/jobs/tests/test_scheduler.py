import pytest
import trio

from laburnumsill.core import errors
from laburnumsill.jobs.tests import fakes
from laburnumsill.state import jobs_messages

State = jobs_messages.JobState


def pool(count=4, rack="r1", prefix="w"):
    return [fakes.worker(f"{prefix}{n}", rack) for n in range(count)]


async def test_a_gang_runs_whole_and_succeeds():
    domain = fakes.Domain(pool())
    async with domain.running():
        view = await domain.submit(tasks=2, accelerators=8, run_s=0.2)
        assert view.job_id.startswith("north.")
        view = await domain.reaches(view.job_id, State.RUNNING)
        assert len(set(view.workers)) == 2
        await domain.reaches(view.job_id, State.SUCCEEDED)
    assert len(domain.started(view.job_id)) == 2
    assert domain.ledgers["north"].book.pool.free_accelerators == 32


async def test_leases_are_renewed_while_a_job_runs():
    domain = fakes.Domain(pool(1))
    async with domain.running():
        view = await domain.submit(accelerators=8, run_s=4.0)
        view = await domain.reaches(view.job_id, State.SUCCEEDED)
    assert view.epoch == 1


async def test_a_reused_key_returns_the_same_job():
    domain = fakes.Domain(pool(1))
    first = await domain.submit()
    assert (await domain.submit()).job_id == first.job_id
    with pytest.raises(errors.KeyReusedError):
        await domain.submit(tasks=2)
    domain.view.present.clear()
    assert (await domain.submit()).job_id == first.job_id


async def test_impossible_jobs_are_refused_with_the_reason():
    domain = fakes.Domain(pool(2))
    with pytest.raises(errors.JobImpossibleError, match="never holds 3"):
        await domain.submit(tasks=3, accelerators=8)
    with pytest.raises(errors.JobImpossibleError, match="9 accelerators"):
        await domain.submit(accelerators=9)
    with pytest.raises(errors.JobImpossibleError, match="no guarantee"):
        await domain.submit(guaranteed=True)
    with pytest.raises(errors.UnknownNameError):
        await domain.submit(account="nobody")
    domain.view.present.clear()
    with pytest.raises(errors.UnavailableError):
        await domain.submit()


async def test_a_cancelled_job_never_runs_again():
    domain = fakes.Domain(pool(1))
    async with domain.running():
        running = await domain.submit("a", accelerators=8)
        await domain.reaches(running.job_id, State.RUNNING)
        # The state RUNNING is committed before the start is sent.
        with trio.fail_after(30):
            while True:
                if domain.started(running.job_id):
                    break
                await trio.sleep(0.01)
        queued = await domain.submit("b", accelerators=8, run_s=0.1)
        view = await domain.service.cancel(queued.job_id)
        assert view.state == State.CANCELLED
        view = await domain.service.cancel(running.job_id)
        assert view.state == State.CANCELLED
        assert not domain.live_tasks(running.job_id)
        await trio.sleep(0.3)
    assert not domain.started(queued.job_id)
    assert len(domain.started(running.job_id)) == 1


async def test_a_refusing_member_stops_the_whole_gang():
    domain = fakes.Domain(pool(3))
    domain.client.refusing["w0"] = {"start"}
    async with domain.running():
        view = await domain.submit(tasks=3, accelerators=1, cores=100)
        view = await domain.reaches(view.job_id, State.FAILED)
        assert view.failed_tries == 3
        assert not domain.live_tasks(view.job_id)


async def test_a_gang_restarts_elsewhere_after_losing_a_worker():
    domain = fakes.Domain(pool(3))
    async with domain.running():
        view = await domain.submit(tasks=2, accelerators=8)
        view = await domain.reaches(view.job_id, State.RUNNING)
        lost = view.workers[0]
        domain.client.unreachable.add(lost)
        domain.view.present = [
            w for w in domain.view.present if w.worker_id != lost
        ]
        await domain.reaches(
            view.job_id, State.STOPPING, State.QUEUED, State.PREPARING
        )
        view = await domain.reaches(view.job_id, State.RUNNING)
        assert lost not in view.workers
        assert view.epoch == 2
        await domain.has_live(view.job_id, 2)
        epochs = {task.epoch for task in domain.live_tasks(view.job_id)}
        assert epochs == {2}


async def test_lost_answers_do_not_split_a_gang():
    domain = fakes.Domain(pool(2))
    domain.client.losing_answers["w0"] = {"prepare", "start"}

    async def restore_answers():
        await trio.sleep(0.5)
        domain.client.losing_answers["w0"] = set()

    async with domain.running() as nursery:
        nursery.start_soon(restore_answers)
        view = await domain.submit(tasks=2, accelerators=8, run_s=0.3)
        await domain.reaches(view.job_id, State.SUCCEEDED)


async def test_a_new_leader_goes_on_from_the_committed_state():
    domain = fakes.Domain(pool(2))
    async with domain.running():
        view = await domain.submit(tasks=2, accelerators=8, run_s=3.0)
        await domain.reaches(view.job_id, State.RUNNING)
    domain.schedulers = [domain.scheduler()]
    async with domain.running():
        view = await domain.reaches(view.job_id, State.SUCCEEDED)
    assert view.epoch == 1
    assert len(domain.started(view.job_id)) == 2


async def test_a_claim_takes_the_guarantee_back_from_borrowers():
    config = fakes.configuration(tana={"guarantee": {"north": {"workers": 2}}})
    domain = fakes.Domain(pool(2), config)
    async with domain.running():
        borrowers = [
            await domain.submit(f"b{n}", account="fingal", accelerators=4)
            for n in range(4)
        ]
        for view in borrowers:
            await domain.reaches(view.job_id, State.RUNNING)
        claim = await domain.submit(tasks=2, accelerators=8, guaranteed=True)
        await domain.reaches(claim.job_id, State.RUNNING, seconds=5)
        for view in borrowers:
            assert await domain.state(view.job_id) == State.QUEUED
        assert not any(domain.live_tasks(v.job_id) for v in borrowers)
        await domain.service.cancel(claim.job_id)
        for view in borrowers:
            await domain.reaches(view.job_id, State.RUNNING)
    assert not domain.ledgers["north"].book.cells.bound


async def test_a_worker_that_fails_everything_is_set_aside():
    domain = fakes.Domain(pool(3))
    domain.client.tables["w0"].crash_after_s = 0.01
    async with domain.running():
        views = [
            await domain.submit(f"j{n}", accelerators=2, run_s=0.3)
            for n in range(12)
        ]
        for view in views:
            await domain.reaches(view.job_id, State.SUCCEEDED, seconds=20)
    aside = domain.ledgers["north"].book.pool.workers["w0"]
    assert aside.aside_until > 0


async def test_jobs_are_spread_over_domains_with_free_capacity():
    workers = pool(1) + [
        fakes.worker("s0", "r1", "south"),
        fakes.worker("s1", "r1", "south"),
    ]
    domain = fakes.Domain(workers, fakes.configuration(("north", "south")))
    homes = [
        (await domain.submit(f"j{n}", accelerators=8)).domain for n in range(3)
    ]
    assert sorted(homes) == ["north", "south", "south"]
    domain.groups.unavailable.add("domain.north")
    listing = await domain.service.list_jobs()
    assert len(listing.jobs) == 2
    assert listing.unavailable == ("north",)


async def test_a_borrower_that_never_checkpoints_is_stopped_at_the_timeout():
    config = fakes.configuration(tana={"guarantee": {"north": {"racks": 1}}})
    domain = fakes.Domain(pool(2), config)
    for table in domain.client.tables.values():
        table.checkpoint_s = None
    async with domain.running():
        borrower = await domain.submit(
            "b", account="fingal", tasks=2, accelerators=8
        )
        await domain.reaches(borrower.job_id, State.RUNNING)
        began = domain.clock.wall()
        claim = await domain.submit(tasks=2, accelerators=8, guaranteed=True)
        view = await domain.reaches(claim.job_id, State.RUNNING)
        assert view.started_at - began >= 0.5
        assert not domain.live_tasks(borrower.job_id)


async def test_a_claim_completes_although_a_worker_fails():
    config = fakes.configuration(tana={"guarantee": {"north": {"workers": 1}}})
    domain = fakes.Domain(pool(2), config)
    async with domain.running():
        for number in range(2):
            view = await domain.submit(
                f"b{number}", account="fingal", accelerators=8
            )
            await domain.reaches(view.job_id, State.RUNNING)
        unreachable = (
            view.workers or (await domain.service.get(view.job_id)).workers
        )
        domain.client.unreachable.update(unreachable)
        claim = await domain.submit(accelerators=8, guaranteed=True)
        domain.view.present = [
            w for w in domain.view.present if w.worker_id not in unreachable
        ]
        view = await domain.reaches(claim.job_id, State.RUNNING, seconds=20)
        assert not set(view.workers) & set(unreachable)


async def test_a_new_leader_completes_pending_starts_and_stops():
    domain = fakes.Domain(pool(2))
    for address in domain.client.tables:
        domain.client.losing_answers[address] = {"start", "stop"}
    async with domain.running():
        first = await domain.submit("a", accelerators=8, run_s=20)
        await domain.reaches(first.job_id, State.RUNNING)
        second = await domain.submit("b", accelerators=8, run_s=1)
        await domain.reaches(second.job_id, State.RUNNING)
    domain.ledgers["north"].commands()[jobs_messages.CancelJob](
        jobs_messages.CancelJob(first.job_id, domain.clock.wall())
    )
    for address in domain.client.tables:
        domain.client.losing_answers[address] = set()
    domain.schedulers = [domain.scheduler()]
    async with domain.running():
        await domain.reaches(first.job_id, State.CANCELLED)
        await domain.reaches(second.job_id, State.SUCCEEDED)


async def test_over_use_is_throttled_then_stopped():
    domain = fakes.Domain(pool(1))
    async with domain.running():
        view = await domain.submit(accelerators=1, cores=4)
        await domain.reaches(view.job_id, State.RUNNING)
        (task,) = await domain.has_live(view.job_id, 1)
        use = {
            "task_id": task.task_id,
            "job_id": view.job_id,
            "epoch": 1,
            "cores": 40.0,
            "memory_gb": 1.0,
        }
        scheduler = domain.schedulers[0]
        scheduler.usage("w0", {"tasks": [use]})
        for _ in range(300):
            if task.share < 1.0:
                break
            await trio.sleep(0.01)
        assert task.share == pytest.approx(0.1)
        for _ in range(8):
            scheduler.usage("w0", {"tasks": [use]})
            await trio.sleep(1.05)
        view = await domain.service.get(view.job_id)
        assert view.failed_tries == 1


async def test_many_cancellations_lose_no_job():
    domain = fakes.Domain(pool(2))
    async with domain.running():
        views = [
            await domain.submit(f"j{n}", accelerators=1, run_s=0.05)
            for n in range(200)
        ]
        cancelled = {
            view.job_id
            for view in views[::2]
            if (await domain.service.cancel(view.job_id)).state
            == State.CANCELLED
        }
        marked = len(domain.client.history)
        for view in views:
            await domain.reaches(
                view.job_id, State.SUCCEEDED, State.CANCELLED, seconds=60
            )
    assert (
        not {
            entry[2]
            for entry in domain.client.history[marked:]
            if entry[1] in ("prepared", "running")
        }
        & cancelled
    )


async def test_a_placement_is_driven_on_after_a_lead_that_was_lost_briefly():
    # It kept its place among the driven ones, and the job prepared for ever.
    domain = fakes.Domain(pool(1))
    leads = domain.groups.leads
    losses = 0

    def leads_but_once(group):
        nonlocal losses
        if not losses and domain.client.calls["prepare"]:
            losses += 1
            return False
        return leads(group)

    domain.groups.leads = leads_but_once
    async with domain.running():
        view = await domain.submit(accelerators=8, run_s=0.2)
        await domain.reaches(view.job_id, State.SUCCEEDED)
    assert losses == 1
