"""A TCP proxy that injects faults, as a library.

A link takes connections on one address and passes their bytes to another.
Each direction of a link has a fault, changed at run time by `Proxy`. Delays
are exact to about a millisecond. `proxy_control` runs it as a process.
"""

import contextlib
from collections import abc

import trio

from laburnumsill.core import errors
from laburnumsill.testing import proxy_faults
from laburnumsill.testing import proxy_links

ProxyError = proxy_faults.ProxyError
Mode = proxy_faults.Mode
Direction = proxy_faults.Direction
Fault = proxy_faults.Fault
LinkStatus = proxy_faults.LinkStatus


class Proxy:
    """A set of links, each with its faults.

    Examples:
        >>> async def main():
        ...     async with running() as proxy:
        ...         proxy.add_link("a", "127.0.0.1:0", "127.0.0.1:1")
        ...         proxy.set_fault("a", Fault(mode=Mode.CUT))
        ...         proxy.heal("a")
        ...         return proxy.status("a").connections
        >>> trio.run(main)
        0
    """

    def __init__(self) -> None:
        self._links: dict[str, proxy_links.Link] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Lets links run in `nursery`; they end with it."""
        self._nursery = nursery

    def add_link(self, name: str, listen: str, target: str) -> None:
        """Adds a link; port 0 takes a free port, see `status`.

        Raises:
            ProxyError: The name or the address is taken, or the proxy was
                not started.
        """
        if name in self._links or self._nursery is None:
            raise ProxyError(f"link {name!r} exists or nothing is started")
        try:
            self._links[name] = proxy_links.Link(
                name, listen, target, self._nursery
            )
        except OSError as error:
            raise ProxyError(f"{listen}: {error}") from error

    def set_fault(
        self,
        name: str,
        fault: Fault,
        direction: Direction = Direction.BOTH,
    ) -> None:
        """Replaces the fault of one or both directions of a link."""
        self._link(name).set_fault(fault, direction)

    def heal(self, name: str) -> None:
        """Removes the faults of a link."""
        self._link(name).set_fault(Fault(), Direction.BOTH)

    def silence(self, name: str, direction: Direction = Direction.BOTH) -> None:
        """Silences the connections of a link that are open now, for good.

        What is still sent on them is swallowed and their end is hidden; new
        connections pass, and the faults of the link stay as they are.
        """
        self._link(name).silence(direction)

    def status(self, name: str) -> LinkStatus:
        """Returns the address and the counters of a link."""
        return self._link(name).status()

    def statuses(self) -> list[LinkStatus]:
        """Returns the addresses and the counters of all links."""
        return [link.status() for link in self._links.values()]

    def _link(self, name: str) -> proxy_links.Link:
        if name not in self._links:
            raise errors.NotFoundError(f"no link {name!r}")
        return self._links[name]


@contextlib.asynccontextmanager
async def running() -> abc.AsyncIterator[Proxy]:
    """Runs a proxy until the end of the block."""
    proxy = Proxy()
    async with trio.open_nursery() as nursery:
        await proxy.start(nursery)
        yield proxy
        nursery.cancel_scope.cancel()
