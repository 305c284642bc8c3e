"""Networks of a few VMs in one process, for tests."""

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
    """Asks for itself, after a pause."""

    number: int
    pause_s: float = 0.0
    text: str = ""


CLOCK = clock.SystemClock()


def soon(seconds: float = 5.0) -> float:
    """Returns a deadline."""
    return CLOCK.monotonic() + seconds


async def echo(request: Echo) -> Echo:
    """Answers an echo."""
    await trio.sleep(request.pause_s)
    return request


async def until(condition: abc.Callable[[], bool], limit_s: float) -> float:
    """Waits for a condition and returns how long it took."""
    started = CLOCK.monotonic()
    with trio.fail_after(limit_s):
        while not condition():  # noqa: ASYNC110 (any condition may be asked)
            await trio.sleep(0.005)
    return CLOCK.monotonic() - started


def vm(vm_id: str, listen: str = "127.0.0.1:0") -> topology.Vm:
    """Returns a VM."""
    return topology.Vm(vm_id, "d", "", listen, False)


def make(
    vm_id: str, addresses: dict[str, str], listen: str = "127.0.0.1:0"
) -> network.PeerNetwork:
    """Returns a network that answers echoes and is not started."""
    made = network.PeerNetwork(
        vm(vm_id, listen), addresses, CLOCK, metrics.Metrics()
    )
    made.on_call(Echo, echo)
    return made


@contextlib.asynccontextmanager
async def running(*vm_ids: str) -> abc.AsyncIterator[list[network.PeerNetwork]]:
    """Runs connected networks, one for each VM id in rising order."""
    addresses = dict.fromkeys(vm_ids, "127.0.0.1:1")
    made = [make(vm_id, addresses) for vm_id in vm_ids]
    async with trio.open_nursery() as nursery:
        for vm_id, one in reversed(list(zip(vm_ids, made, strict=True))):
            await nursery.start(one.run)
            addresses[vm_id] = one.listening_address
        for one in made:
            await until(lambda one=one: len(one.reachable()) == len(made), 5)
        yield made
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
