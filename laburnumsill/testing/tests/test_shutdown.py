"""Calls on kept connections around the shutdown of one VM.

The callers send the next call a moment after each answer. They open no
connection once the balancer has taken the VM out.
"""

import dataclasses
import json
import math

import pytest
import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import kept_connections
from laburnumsill.testing import scenario

SITE = cluster.Layout(servers=1, workers=1)
CALLERS = 40
HEADERS = {"host": "vm"}
MANY_CALLERS = 200
TAKEN_OUT_S = 0.4
"""Time after the signal by which the balancer directs no more connections."""


def readiness(number: int) -> kept_connections.Call:
    """Returns a call for the readiness."""
    return kept_connections.Call("GET", "/readyz")


def configuration(number: int) -> kept_connections.Call:
    """Returns a call that reads the configuration."""
    return kept_connections.Call("GET", "/v1/config")


def offer(number: int) -> kept_connections.Call:
    """Returns a call to a service that may be repeated."""
    return _service("offer")


def confirmation(number: int) -> kept_connections.Call:
    """Returns a call to a service that may run once."""
    return _service("confirm", key=f"kept-{number}")


def job(number: int) -> kept_connections.Call:
    """Returns a call that submits a job of its own."""
    document = {"account": scenario.ACCOUNT, "run_s": 0.1}
    return kept_connections.Call(
        "POST",
        "/v1/jobs",
        (json.dumps(document).encode(),),
        headers={"idempotency-key": f"kept-{number}"},
    )


def in_pieces(
    call: kept_connections.Call, pause_s: float
) -> kept_connections.Call:
    """Returns the call with the last byte of its body late."""
    body = b"".join(call.pieces)
    pieces = (body[:-1], body[-1:])
    return dataclasses.replace(call, pieces=pieces, pause_s=pause_s)


def _service(request_class: str, key: str = "") -> kept_connections.Call:
    headers = {
        "laburnumsill-class": request_class,
        "laburnumsill-account": scenario.ACCOUNT,
    }
    if key:
        headers["idempotency-key"] = key
    path = f"{scenario.SERVICE_PATH}/run"
    return kept_connections.Call("POST", path, (b"{}",), headers=headers)


def late_offer(number: int) -> kept_connections.Call:
    return in_pieces(offer(number), 0.3)


async def shut_down(
    site: cluster.Cluster,
    vm_id: str,
    crowd: kept_connections.Crowd,
    callers: int = CALLERS,
    taken_out_s: float = TAKEN_OUT_S,
) -> None:
    """Shuts one VM down while the crowd calls it.

    Args:
        site: The site.
        vm_id: The VM.
        crowd: Calls the VM.
        callers: Number of callers.
        taken_out_s: Time after the signal at which they stop to connect.
    """
    process = site.process(vm_id)

    async def all_called() -> bool:
        return sum(crowd.statuses.values()) >= 2 * callers

    async with trio.open_nursery() as nursery:
        nursery.start_soon(crowd.run, callers)
        await site.until(all_called, "the callers are answered")
        process.terminate()
        if taken_out_s < math.inf:
            await trio.sleep(taken_out_s)
            crowd.connects = False
        assert await trio.to_thread.run_sync(process.wait) == 0
        crowd.connects = False


@pytest.mark.parametrize(
    "calls",
    [
        readiness,
        configuration,
        offer,
        confirmation,
        job,
        late_offer,
    ],
)
async def test_a_shutdown_ends_no_kept_connection_under_a_call(tmp_path, calls):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        crowd = kept_connections.Crowd(site.address("vm1"), calls, HEADERS)
        await shut_down(site, "vm1", crowd)
        assert crowd.lost == []


async def test_a_shutdown_resets_no_connection_that_waits_to_be_accepted(
    tmp_path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        address = site.address("vm1")
        crowd = kept_connections.Crowd(address, readiness, HEADERS)
        await shut_down(site, "vm1", crowd, callers=MANY_CALLERS)
        assert crowd.lost == []


@pytest.mark.parametrize("calls", [readiness, configuration, job])
async def test_a_shutdown_cuts_no_caller_that_connects_until_refused(
    tmp_path, calls
):
    """Guards against connections that are reset with the listening socket."""
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        crowd = kept_connections.Crowd(site.address("vm1"), calls, HEADERS)
        await shut_down(site, "vm1", crowd, taken_out_s=math.inf)
        assert crowd.lost == []
