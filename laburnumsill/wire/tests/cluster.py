"""Runs networks of a few VMs in peer process, for tests."""

import contextlib
import dataclasses
from collections import abc

import trio

from laburnumsill.core import clock
from laburnumsill.core import codec
from laburnumsill.core import metrics
from laburnumsill.core import topology
from laburnumsill.testing import proxy as proxies
from laburnumsill.wire import network


@codec.register("wire-tests.echo")
@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """A request that is answered by itself after a delay."""

    number: int
    pause_s: float = 0.0
    text: str = ""


CLOCK = clock.SystemClock()


def deadline_after(seconds: float = 5.0) -> float:
    """Returns the deadline `seconds` from now."""
    return CLOCK.monotonic() + seconds


async def echo(request: Echo) -> Echo:
    """Answers an echo request."""
    await trio.sleep(request.pause_s)
    return request


async def until(condition: abc.Callable[[], bool], limit_s: float) -> float:
    """Waits for a condition and returns the time it took, in seconds."""
    started = CLOCK.monotonic()
    with trio.fail_after(limit_s):
        while not condition():  # noqa: ASYNC110 (a condition has no event)
            await trio.sleep(0.005)
    return CLOCK.monotonic() - started


def vm(vm_id: str, listen: str = "127.0.0.1:0") -> topology.Vm:
    """Returns a VM."""
    return topology.Vm(vm_id, "d", "", listen, False)


def make(
    vm_id: str, addresses: dict[str, str], listen: str = "127.0.0.1:0"
) -> network.PeerNetwork:
    """Returns a network that answers echo requests; it is not started."""
    peer_network = network.PeerNetwork(
        vm(vm_id, listen), addresses, CLOCK, metrics.Metrics()
    )
    peer_network.on_call(Echo, echo)
    return peer_network


@contextlib.asynccontextmanager
async def running(*vm_ids: str) -> abc.AsyncIterator[list[network.PeerNetwork]]:
    """Runs connected networks, peer for each VM id in ascending order."""
    addresses = dict.fromkeys(vm_ids, "127.0.0.1:1")
    networks = [make(vm_id, addresses) for vm_id in vm_ids]
    async with trio.open_nursery() as nursery:
        for vm_id, peer in reversed(list(zip(vm_ids, networks, strict=True))):
            await nursery.start(peer.run)
            addresses[vm_id] = peer.listening_address
        for peer in networks:
            await until(
                lambda peer=peer: len(peer.reachable()) == len(networks), 5
            )
        yield networks
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def behind_proxy() -> abc.AsyncIterator[
    tuple[network.PeerNetwork, network.PeerNetwork, proxies.Proxy]
]:
    """Runs "a" and "b", connected through the link "b" of a proxy."""
    addresses = dict.fromkeys("ab", "127.0.0.1:1")
    a, b = make("a", addresses), make("b", addresses)
    async with proxies.running() as proxy, trio.open_nursery() as nursery:
        await nursery.start(b.run)
        proxy.add_link("b", "127.0.0.1:0", b.listening_address)
        addresses["b"] = proxy.status("b").listen
        await nursery.start(a.run)
        await until(lambda: "b" in a.reachable() and "a" in b.reachable(), 5)
        yield a, b, proxy
        nursery.cancel_scope.cancel()
