"""One VM of the measurement of the configuration, see `bench.configuration`.

Takes one JSON command a line on standard input and answers each with one
line.
"""

import dataclasses
import pathlib
import sys
import time
import typing

import fire
import orjson
import trio
from starlette import routing

from laburnumsill.api import configuration as configuration_api
from laburnumsill.config import current
from laburnumsill.consensus import host
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_messages
from laburnumsill.daemon import configuration_sync
from laburnumsill.state import machines
from laburnumsill.wire import network

SHAPE = {"racks": 0, "workers": 4, "pairs": 0, "accelerators": 0}
PUSH = "/v1/config"


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a site's configuration.

    Attributes:
        accounts: How many accounts there are.
        shares: In how many failure domains each has a guarantee.
        domains: How many failure domains there are.
    """

    accounts: int
    shares: int
    domains: int


def values(size: Size, number: int) -> dict[str, typing.Any]:
    """Returns a configuration; two numbers differ in two accounts at most."""
    domains = [f"domain-{n}" for n in range(size.domains)]
    accounts = {
        f"team-{n}": {
            "weight": 1.0,
            "guarantee": {
                domains[(n + share) % size.domains]: SHAPE
                for share in range(size.shares)
            },
        }
        for n in range(size.accounts)
    }
    changed = accounts[f"team-{number % size.accounts}"]
    changed["weight"] = 2.0 + number
    return {"site": "bench", "domains": domains, "accounts": accounts}


def vms_of(ports: list[int], domains: int) -> list[topology.Vm]:
    """Returns the VMs; the first one of each failure domain has a disk."""
    return [
        topology.Vm(
            f"vm{n:02}",
            f"domain-{n % domains}",
            "",
            f"127.0.0.1:{port}",
            n < domains,
        )
        for n, port in enumerate(ports)
    ]


class CountingNetwork(network.PeerNetwork):
    """Counts the fetches that this VM answers."""

    fetches = 0

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Takes a handler, see the base class."""

        async def counted(request: typing.Any) -> typing.Any:
            self.fetches += 1
            return await handler(request)

        fetch = request_type is configuration_messages.FetchInForce
        super().on_call(request_type, counted if fetch else handler)


class Node:
    """One VM with its groups and its configuration."""

    def __init__(
        self, number: int, ports: list[int], size: Size, folder: str
    ) -> None:
        clock = clocks.SystemClock()
        vms = vms_of(ports, size.domains)
        self._me = vms[number]
        self._size = size
        self._clock = clock
        data = pathlib.Path(folder) / self._me.vm_id
        data_folder = data if self._me.has_disk else None
        measured = metrics.Metrics()
        self._network = CountingNetwork(
            self._me,
            {vm.vm_id: vm.peer_address for vm in vms},
            clock,
            measured,
        )
        self._host = host.GroupHost(
            self._me,
            vms,
            self._network,
            machines.machine_of,
            data_folder,
            clock,
            measured,
        )
        holder = current.Current()
        self._in_force: dict[int, float] = {}
        holder.observe(self._on_in_force)
        self._sync = configuration_sync.ConfigurationSync(
            self._me, vms, self._host, self._network, holder, data_folder, clock
        )
        self._router = routing.Router(
            configuration_api.routes(self._host, holder, self._sync, clock)
        )
        self._observed: replication.StateMachine | None = None
        self._entry_bytes: list[int] = []

    async def run(self) -> None:
        """Serves commands until standard input ends."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._network.run)
            await nursery.start(self._host.run)
            nursery.start_soon(self._sync.run)
            while True:
                line = await trio.to_thread.run_sync(
                    sys.stdin.buffer.readline, abandon_on_cancel=True
                )
                if not line:
                    break
                command = orjson.loads(line)
                action = getattr(self, command.pop("do"))
                answer = await action(**command)
                print(orjson.dumps(answer).decode(), flush=True)
            nursery.cancel_scope.cancel()

    async def settle(self, vms: int) -> dict[str, typing.Any]:
        """Waits until all VMs are reached and the root group answers."""
        while True:
            if len(self._network.reachable()) == vms and self._sync.ready:
                self._observe()
                return {"vm": self._me.vm_id, "domain": self._me.domain}
            await trio.sleep(0.05)

    async def push(self, version: int) -> dict[str, typing.Any]:
        """Pushes a version as an operator's tool would."""
        body = orjson.dumps(
            {
                "expected_version": version - 1,
                "configuration": values(self._size, version),
                "operator": "bench",
            }
        )
        started = time.time()
        status, answer = await self._put(body)
        return {
            "status": status,
            "answer": answer,
            "started": started,
            "accepted": time.time(),
            "body_bytes": len(body),
        }

    async def figures(self) -> dict[str, typing.Any]:
        """Returns what was counted since the start."""
        traffic = self._network.traffic
        return {
            "vm": self._me.vm_id,
            "domain": self._me.domain,
            "leads_root": self._host.leads(ids.ROOT_GROUP),
            "replica": self._host.local_state_machine(ids.ROOT_GROUP)
            is not None,
            "disk": self._me.has_disk,
            "sent": traffic.sent_bytes,
            "received": traffic.received_bytes,
            "cpu_s": time.process_time(),
            "fetches": self._network.fetches,
            "in_force": {str(n): at for n, at in self._in_force.items()},
            "entry_bytes": self._entry_bytes,
        }

    def _on_in_force(self, versioned: current.Versioned) -> None:
        self._in_force[versioned.version] = time.time()

    def _observe(self) -> None:
        machine = self._host.local_state_machine(ids.ROOT_GROUP)
        if machine is not None and machine is not self._observed:
            self._observed = machine
            machine.observe(
                lambda command: self._entry_bytes.append(
                    len(codec.encode(command))
                )
            )

    async def _put(self, body: bytes) -> tuple[int, dict[str, typing.Any]]:
        sent: list[typing.Any] = []
        scope = {
            "type": "http",
            "method": "PUT",
            "path": PUSH,
            "query_string": b"",
            "headers": [],
        }

        async def receive() -> dict[str, typing.Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: typing.Any) -> None:
            sent.append(message)

        await self._router(scope, receive, send)
        return sent[0]["status"], orjson.loads(sent[1]["body"])


def main(
    vm: int, ports: str, accounts: int, shares: int, domains: int, folder: str
) -> None:
    """Runs one VM; ports are joined with dashes."""
    logs.set_up("ERROR", f"vm{vm:02}")
    numbers = [int(port) for port in str(ports).split("-")]
    size = Size(accounts, shares, domains)
    trio.run(Node(vm, numbers, size, folder).run)


if __name__ == "__main__":
    fire.Fire(main)
