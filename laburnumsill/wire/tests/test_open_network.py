"""Networks whose VMs are learnt of later."""

import dataclasses

import pytest
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import metrics
from laburnumsill.core import topology
from laburnumsill.testing import ports
from laburnumsill.wire import network

CLOCK = clocks.TimeLeftClock()


@codec.register("test.open.echo")
@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    text: str


def made(
    name: str, address: str, on_demand: bool = False
) -> network.PeerNetwork:
    me = topology.Vm(name, "d", "", address, False)
    found = network.PeerNetwork(
        me, {}, CLOCK, metrics.Metrics(), is_open=True, on_demand=on_demand
    )

    async def echo(request):
        return Echo(f"{name}:{request.text}")

    found.on_call(Echo, echo)
    return found


async def call(source, vm, within=3.0):
    deadline = CLOCK.monotonic() + within
    while True:
        try:
            answer = await source.call(vm, Echo("x"), deadline)
            return answer.text
        except errors.PeerUnreachableError:
            if CLOCK.monotonic() > deadline:
                raise
            await trio.sleep(0.05)


@pytest.mark.parametrize("knows", ["lower", "greater", "both"])
async def test_either_end_may_dial(nursery, knows):
    places = {"a": ports.free_address(), "b": ports.free_address()}
    vms = {name: made(name, places[name]) for name in places}
    for one in vms.values():
        await nursery.start(one.run)
    if knows in ("lower", "both"):
        vms["a"].add_peer("b", places["b"])
    if knows in ("greater", "both"):
        vms["b"].add_peer("a", places["a"])
    assert await call(vms["a"], "b") == "b:x"
    assert await call(vms["b"], "a") == "a:x"
    await trio.sleep(1.0)  # and it stays one connection
    before = vms["a"].traffic.sent_frames
    assert await call(vms["a"], "b") == "b:x"
    assert vms["a"].traffic.sent_frames > before


async def test_a_vm_without_an_address_only_dials(nursery):
    place = ports.free_address()
    core = made("core", place)
    entry = made("entry-1", "")
    await nursery.start(core.run)
    entry.add_peer("core", place)
    await nursery.start(entry.run)
    assert await call(entry, "core") == "core:x"
    assert "entry-1" in core.peers


async def test_who_was_never_added_is_forgotten_when_it_goes(nursery):
    place = ports.free_address()
    core = made("core", place)
    entry = made("entry-1", "")
    await nursery.start(core.run)
    entry.add_peer("core", place)
    scope = trio.CancelScope()

    async def run(task_status):
        with scope:
            await entry.run(task_status=task_status)

    await nursery.start(run)
    assert await call(entry, "core") == "core:x"
    scope.cancel()
    with trio.fail_after(5):
        while "entry-1" in core.peers:  # noqa: ASYNC110
            await trio.sleep(0.05)


async def test_on_demand_a_vm_is_connected_only_while_it_is_called(
    nursery, monkeypatch
):
    monkeypatch.setattr(network, "IDLE_S", 0.5)
    cores = [made(name, ports.free_address()) for name in ("a", "b", "c")]
    entry = made("entry-1", "", on_demand=True)
    for core in cores:
        await nursery.start(core.run)
        entry.add_peer(core._me.vm_id, core.listening_address)
    await nursery.start(entry.run)
    await trio.sleep(0.5)
    assert entry.reachable() == {"entry-1"}
    for _ in range(2):  # also after it was left
        assert await call(entry, "b") == "b:x"
        assert entry.reachable() == {"entry-1", "b"}
        await trio.sleep(1.2)
        assert entry.reachable() == {"entry-1"}


async def test_a_vm_that_is_down_is_dialed_on_demand_once_it_is_back(nursery):
    place = ports.free_address()
    entry = made("entry-1", "", on_demand=True)
    entry.add_peer("core", place)
    await nursery.start(entry.run)
    with pytest.raises(errors.PeerUnreachableError):
        await call(entry, "core", within=0.2)
    await nursery.start(made("core", place).run)
    assert await call(entry, "core", within=2.0) == "core:x"


async def test_a_forgotten_peer_is_not_reached(nursery):
    places = {"a": ports.free_address(), "b": ports.free_address()}
    vms = {name: made(name, places[name]) for name in places}
    for one in vms.values():
        await nursery.start(one.run)
    vms["a"].add_peer("b", places["b"])
    assert await call(vms["a"], "b") == "b:x"
    vms["a"].remove_peer("b")
    with pytest.raises(errors.PeerUnreachableError):
        await call(vms["a"], "b", within=0.3)


def test_a_deadline_leaves_as_the_time_left():
    now = CLOCK.monotonic()
    sent = CLOCK.wall_deadline(now + 2.0)
    assert 1.9 < sent <= 2.0
    assert CLOCK.monotonic_deadline(sent) - now < 2.1
