"""Evacuations of failure domains through the operators' interface."""

import pytest
import trio

from laburnumsill.platform.tests import test_border

PATH = "/-/evacuate/north"
ELSEWHERE = "/-/evacuate/nowhere"


def order(border, method, path=PATH):
    """Returns the status of the answer to an order."""
    return border.call(border.control, method, path)[0]


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_orders_and_their_repeats_are_acknowledged(method):
    border = test_border.Border()
    assert [order(border, method) for _ in range(3)] == [200, 200, 200]


def test_an_order_for_an_unknown_domain_is_refused():
    border = test_border.Border()
    for path in (ELSEWHERE, "/-/evacuate/", "/-/evacuate/north/x"):
        assert order(border, "POST", path) == 404
        assert order(border, "DELETE", path) == 404
    assert order(border, "PUT") == 405


def is_running(site, name):
    """Returns whether a worker runs anything."""
    return bool(site.apps[name].worker.running)


async def test_nothing_starts_in_an_evacuated_domain(site):
    await site.start_worker("n0", domain="north")
    await site.operator.until(200, "POST", PATH)
    site.oracle.record_evacuation("north", trio.current_time() - 60)
    site.work_s = 1.0
    path = await site.submit("batch", 70, count=3, gpu=8)
    for _ in range(10):
        assert not is_running(site, "n0")
        await trio.sleep(0.1)
    await site.callers.until_state(path, "completed")
    site.oracle.record_restore("north")
    await site.operator.until(200, "DELETE", PATH)
    site.work_s = 3.0
    await site.submit("batch", 71, count=3, gpu=8)
    with trio.fail_after(2):
        while not is_running(site, "n0"):  # noqa: ASYNC110
            await trio.sleep(0.05)


async def test_an_evacuation_outlives_its_leader_and_all_power(site):
    await site.start_worker("n0", domain="north")
    await site.operator.until(200, "POST", PATH)
    site.oracle.record_evacuation("north", trio.current_time() - 60)
    site.work_s = 2.0
    paths = [await site.submit("batch", 80, count=2, gpu=8)]
    lost = await site.until_leader()
    await site.kill(lost)
    paths.append(await site.submit("batch", 81, count=3, gpu=8))
    await site.callers.until_state(paths[0], "completed")
    await site.start_core(lost)
    for vm in site.seeds:
        await site.kill(vm)
    for vm in site.seeds:
        await site.start_core(vm)
    paths.append(await site.submit("batch", 82, count=3, gpu=8))
    for path in paths:
        await site.callers.until_state(path, "completed", within=30)
