"""Tests of open networks, whose VMs are added while they run."""

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


def make_network(
    name: str, address: str, on_demand: bool = False
) -> network.PeerNetwork:
    local_vm = topology.Vm(name, "d", "", address, False)
    peer_network = network.PeerNetwork(
        local_vm,
        {},
        CLOCK,
        metrics.Metrics(),
        is_open=True,
        on_demand=on_demand,
    )

    async def echo(request):
        return Echo(f"{name}:{request.text}")

    peer_network.on_call(Echo, echo)
    return peer_network


async def call(source, vm, timeout_s=3.0):
    deadline = CLOCK.monotonic() + timeout_s
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
    addresses = {"a": ports.free_address(), "b": ports.free_address()}
    vms = {name: make_network(name, addresses[name]) for name in addresses}
    for one in vms.values():
        await nursery.start(one.run)
    if knows in ("lower", "both"):
        vms["a"].add_peer("b", addresses["b"])
    if knows in ("greater", "both"):
        vms["b"].add_peer("a", addresses["a"])
    assert await call(vms["a"], "b") == "b:x"
    assert await call(vms["b"], "a") == "a:x"
    await trio.sleep(1.0)  # the pair keeps a single connection
    before = vms["a"].traffic.sent_frames
    assert await call(vms["a"], "b") == "b:x"
    assert vms["a"].traffic.sent_frames > before


async def test_a_vm_without_an_address_only_dials(nursery):
    address = ports.free_address()
    core = make_network("core", address)
    entry = make_network("entry-1", "")
    await nursery.start(core.run)
    entry.add_peer("core", address)
    await nursery.start(entry.run)
    assert await call(entry, "core") == "core:x"
    assert "entry-1" in core.peers


async def test_a_dialer_that_was_never_added_is_removed_when_it_disconnects(
    nursery,
):
    address = ports.free_address()
    core = make_network("core", address)
    entry = make_network("entry-1", "")
    await nursery.start(core.run)
    entry.add_peer("core", address)
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


async def test_on_demand_a_vm_is_connected_only_during_calls(
    nursery, monkeypatch
):
    monkeypatch.setattr(network, "IDLE_S", 0.5)
    cores = [
        make_network(name, ports.free_address()) for name in ("a", "b", "c")
    ]
    entry = make_network("entry-1", "", on_demand=True)
    for core in cores:
        await nursery.start(core.run)
        entry.add_peer(core._local_vm.vm_id, core.listening_address)
    await nursery.start(entry.run)
    await trio.sleep(0.5)
    assert entry.reachable() == {"entry-1"}
    for _ in range(2):  # the second call dials again
        assert await call(entry, "b") == "b:x"
        assert entry.reachable() == {"entry-1", "b"}
        await trio.sleep(1.2)
        assert entry.reachable() == {"entry-1"}


async def test_on_demand_a_restarted_vm_is_dialed_again(nursery):
    address = ports.free_address()
    entry = make_network("entry-1", "", on_demand=True)
    entry.add_peer("core", address)
    await nursery.start(entry.run)
    with pytest.raises(errors.PeerUnreachableError):
        await call(entry, "core", timeout_s=0.2)
    await nursery.start(make_network("core", address).run)
    assert await call(entry, "core", timeout_s=2.0) == "core:x"


async def test_a_removed_peer_is_unreachable(nursery):
    addresses = {"a": ports.free_address(), "b": ports.free_address()}
    vms = {name: make_network(name, addresses[name]) for name in addresses}
    for one in vms.values():
        await nursery.start(one.run)
    vms["a"].add_peer("b", addresses["b"])
    assert await call(vms["a"], "b") == "b:x"
    vms["a"].remove_peer("b")
    with pytest.raises(errors.PeerUnreachableError):
        await call(vms["a"], "b", timeout_s=0.3)


def test_a_deadline_is_sent_as_the_remaining_time():
    now = CLOCK.monotonic()
    sent = CLOCK.wall_deadline(now + 2.0)
    assert 1.9 < sent <= 2.0
    assert CLOCK.monotonic_deadline(sent) - now < 2.1
