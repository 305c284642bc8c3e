"""A whole site as processes on loopback, for integration tests.

The links between VMs lead through the fault-injecting proxy, which runs in
the test's own loop, so that a VM, a pair of VMs or a whole failure domain
can be cut off. Everything is started, signalled and ended by process id.
"""

import contextlib
import dataclasses
import pathlib
import typing
from collections import abc

import httpcore
import trio

from laburnumsill.testing import http
from laburnumsill.testing import ports
from laburnumsill.testing import processes
from laburnumsill.testing import proxy as proxies

READY_TIMEOUT_S = 30.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """What a site is made of.

    Attributes:
        domains: The number of VMs in each failure domain, by its name.
        disks: The number of VMs with a disk in each failure domain.
        servers: Fake backend servers in each failure domain.
        workers: Fake workers in each failure domain, all in one rack.
        accelerators: Accelerators of one worker.
        service: The service of the backend servers.
        replace_after_s: Silence after which a VM is replaced.
        worker_fields: Further settings of every fake worker.
        bare: Failure domains without backend servers and workers.
        near_only: Whether members announce themselves only in their domain.
    """

    domains: abc.Mapping[str, int] = dataclasses.field(
        default_factory=lambda: {"north": 1, "east": 1, "south": 1}
    )
    disks: int = 1
    servers: int = 0
    workers: int = 0
    accelerators: int = 8
    service: str = "booking"
    replace_after_s: float = 3600.0
    linked_servers: bool = False
    worker_fields: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    bare: abc.Set[str] = frozenset()
    near_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VmAddresses:
    """Where one VM is."""

    vm_id: str
    domain: str
    client: str
    peer: str
    disk: bool


class Cluster:
    """The processes of one site and the proxies between them."""

    def __init__(self, folder: pathlib.Path, layout: Layout) -> None:
        self._folder = folder
        self._layout = layout
        self._proxy = proxies.Proxy()
        self._vms = _placed(layout)
        self._processes: dict[str, processes.Process] = {}
        self._clients: dict[str, http.Client] = {}
        self._member_addresses: dict[str, str] = {}
        self._pairs: dict[tuple[str, str], str] = {}

    @property
    def vm_ids(self) -> list[str]:
        """The ids of all VMs."""
        return list(self._vms)

    @property
    def _furnished(self) -> list[str]:
        """The domains that have backend servers and workers."""
        layout = self._layout
        return [name for name in layout.domains if name not in layout.bare]

    @property
    def proxy(self) -> proxies.Proxy:
        """The proxy that the links between VMs lead through."""
        return self._proxy

    def domain_of(self, vm_id: str) -> str:
        """Returns the failure domain of a VM."""
        return self._vms[vm_id].domain

    def vms_of(self, domain: str) -> list[str]:
        """Returns the ids of the VMs of a failure domain."""
        return [vm.vm_id for vm in self._vms.values() if vm.domain == domain]

    def names(self, prefix: str) -> list[str]:
        """Returns the names of the processes that begin with `prefix`."""
        return [name for name in self._processes if name.startswith(prefix)]

    def process(self, name: str) -> processes.Process:
        """Returns the process of a VM, backend server or worker."""
        return self._processes[name]

    def data_folder(self, vm_id: str) -> pathlib.Path:
        """Returns where a VM keeps its state."""
        return self._folder / f"data-{vm_id}"

    def file(self, name: str) -> pathlib.Path:
        """Returns the path of a file in the cluster's own folder."""
        return self._folder / name

    def client(self, vm_id: str) -> http.Client:
        """Returns a client of one VM, backend server or worker."""
        if vm_id not in self._clients:
            self._clients[vm_id] = http.Client(self.address(vm_id))
        return self._clients[vm_id]

    def address(self, name: str) -> str:
        """Returns the client address of a VM, backend server or worker."""
        if name in self._vms:
            return self._vms[name].client
        return self._member_addresses[name]

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the proxies, then all processes."""
        await self._proxy.start(nursery)
        self._add_links()
        self._write_vms()
        for vm_id in self._vms:
            self.start_vm(vm_id)
        for domain in self._furnished:
            for number in range(self._layout.servers):
                self._start_server(domain, number)
            for number in range(self._layout.workers):
                self._start_worker(domain, number)

    def start_vm(self, vm_id: str) -> None:
        """Starts, or starts again, the daemon of one VM."""
        if vm_id not in self._processes:
            settings = self._write_settings(vm_id)
            self._processes[vm_id] = processes.Process(
                vm_id,
                "laburnumsill.daemon.main",
                ["--settings", str(settings)],
                self._folder / f"{vm_id}.log",
            )
        self._processes[vm_id].start()

    def stop(self) -> None:
        """Ends all processes at once."""
        for process in self._processes.values():
            process.kill()

    def isolate(self, vm_ids: abc.Iterable[str], fault: proxies.Fault) -> None:
        """Puts a fault on all links between these VMs and the others."""
        inside = set(vm_ids)
        for (low, high), link in self._pairs.items():
            if (low in inside) != (high in inside):
                self._proxy.set_fault(link, fault)

    def heal(self) -> None:
        """Takes all faults off."""
        for link in self._pairs.values():
            self._proxy.heal(link)

    async def until(
        self,
        condition: abc.Callable[[], abc.Awaitable[bool]],
        what: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: It did not hold in time.
        """
        with trio.move_on_after(timeout_s):
            while True:
                with contextlib.suppress(
                    httpcore.NetworkError,
                    httpcore.TimeoutException,
                    httpcore.ProtocolError,
                ):
                    if await condition():
                        return
                await trio.sleep(POLL_S)
        raise TimeoutError(f"not within {timeout_s} s: {what}")

    async def until_status(
        self, vm_id: str, path: str, status: int = 200
    ) -> None:
        """Waits until a path of a VM answers with a status."""

        async def answers() -> bool:
            answer = await self.client(vm_id).send("GET", path, timeout_s=2)
            return answer.status == status

        await self.until(answers, f"{vm_id} answers {status} to {path}")

    async def until_led(self, group: str, vm_ids: abc.Iterable[str]) -> str:
        """Waits until one of these VMs leads a group; returns its id."""
        found: list[str] = []

        async def led() -> bool:
            leader = await self.leader(group, vm_ids)
            found[:] = [leader] if leader else []
            return leader is not None

        await self.until(led, f"{group} has a leader")
        return found[0]

    async def leader(self, group: str, vm_ids: abc.Iterable[str]) -> str | None:
        """Returns which of these VMs leads a group with the newest term."""
        leaders = []
        for vm_id in vm_ids:
            try:
                answer = await self.client(vm_id).send(
                    "GET", "/v1/groups", timeout_s=2
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            leaders += [
                (replica["term"], vm_id)
                for replica in answer.json()
                if replica["group"] == group and replica["role"] == "leader"
            ]
        return max(leaders)[1] if leaders else None

    async def push(
        self,
        configuration: abc.Mapping[str, typing.Any],
        vm_id: str,
        expected_version: int = 0,
        key: str = "",
    ) -> http.Answer:
        """Pushes a configuration through one VM."""
        return await self.client(vm_id).send(
            "PUT",
            "/v1/config",
            {
                "expected_version": expected_version,
                "configuration": configuration,
                "operator": "test",
            },
            {"Idempotency-Key": key} if key else {},
        )

    async def until_ready(self) -> None:
        """Waits until every VM is ready, and knows the members near it."""
        for vm_id in self._vms:
            await self.until_status(vm_id, "/readyz")
        for vm_id in self._vms:
            await self.until_members(vm_id)

    async def until_members(self, vm_id: str) -> None:
        """Waits until a VM knows all backend servers and workers."""
        domains = len(self._furnished)

        async def known() -> bool:
            client = self.client(vm_id)
            servers = await client.send("GET", "/v1/backend-servers")
            workers = await client.send("GET", "/v1/workers")
            return (
                len(servers.json()["backend_servers"])
                >= self._layout.servers * domains
                and len(workers.json()["workers"])
                >= self._layout.workers * domains
            )

        await self.until(known, f"{vm_id} knows the members")

    def _add_links(self) -> None:
        """Adds a link for each pair of VMs; the lower id dials the higher."""
        names = sorted(self._vms)
        for position, low in enumerate(names):
            for high in names[position + 1 :]:
                link = f"{low}-{high}"
                target = self._vms[high].peer
                self._proxy.add_link(link, "127.0.0.1:0", target)
                self._pairs[low, high] = link

    def _write_vms(self) -> None:
        entries = [
            f"[[vms]]\nvm_id = {vm.vm_id!r}\ndomain = {vm.domain!r}\n"
            f"client_address = {vm.client!r}\npeer_address = {vm.peer!r}\n"
            f"disk = {str(vm.disk).lower()}\n"
            for vm in self._vms.values()
        ]
        self.file("vms.toml").write_text("\n".join(entries))

    def _write_settings(self, vm_id: str) -> pathlib.Path:
        lines = [
            f"vm_id = {vm_id!r}",
            "vms_file = 'vms.toml'",
            f"replace_after_s = {self._layout.replace_after_s}",
        ]
        if self._vms[vm_id].disk:
            lines.append(f"data_folder = {str(self.data_folder(vm_id))!r}")
        lines.append("[dial]")
        for (low, high), link in self._pairs.items():
            if low == vm_id:
                listen = self._proxy.status(link).listen
                lines.append(f"{high} = {listen!r}")
        path = self.file(f"{vm_id}.toml")
        path.write_text("\n".join(lines) + "\n")
        return path

    def _start_server(self, domain: str, number: int) -> None:
        name = f"server-{domain}-{number}"
        self._start_member(
            name,
            "laburnumsill.testing.fake_server",
            {
                "service": self._layout.service,
                "domain": domain,
                "slots": 8,
                "connections": 64,
            },
        )

    def _start_worker(self, domain: str, number: int) -> None:
        name = f"worker-{domain}-{number}"
        self._start_member(
            name,
            "laburnumsill.testing.fake_worker",
            {
                "domain": domain,
                "rack": f"{domain}-r1",
                "cores": 32,
                "memory_gb": 128,
                "accelerators": self._layout.accelerators,
                **self._layout.worker_fields,
            },
        )

    def _start_member(
        self, name: str, module: str, fields: dict[str, typing.Any]
    ) -> None:
        domain = fields["domain"]
        near = [self._vms[vm_id].client for vm_id in self.vms_of(domain)]
        far = [vm.client for vm in self._vms.values() if vm.domain != domain]
        if self._layout.near_only:
            far = []
        address = ports.free_address()
        self._member_addresses[name] = address
        if self._layout.linked_servers and name.startswith("server-"):
            self._proxy.add_link(name, "127.0.0.1:0", address)
            listen = self._proxy.status(name).listen
            fields = {**fields, "announced_address": listen}
        fields = {
            "id": name,
            "address": address,
            "vms": near + far,
            "record": str(self.file(f"{name}.jsonl")),
            **fields,
        }
        path = self.file(f"{name}.toml")
        path.write_text(
            "".join(f"{key} = {value!r}\n" for key, value in fields.items())
        )
        self._processes[name] = processes.Process(
            name, module, ["--settings", str(path)], self.file(f"{name}.log")
        )
        self._processes[name].start()


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, layout: Layout
) -> abc.AsyncIterator[Cluster]:
    """Starts a site and ends all its processes afterwards.

    Args:
        folder: An empty folder for settings, logs and data.
        layout: What the site is made of.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(folder, layout)
        try:
            await cluster.start(nursery)
            yield cluster
        finally:
            cluster.stop()
            nursery.cancel_scope.cancel()


def _placed(layout: Layout) -> dict[str, VmAddresses]:
    """Returns the VMs with free addresses; those with a disk come first."""
    count = sum(layout.domains.values())
    addresses = ports.free_addresses(2 * count)
    vms: dict[str, VmAddresses] = {}
    for domain, size in layout.domains.items():
        for rank in range(size):
            vm_id = f"vm{len(vms) + 1}"
            vms[vm_id] = VmAddresses(
                vm_id,
                domain,
                addresses.pop(),
                addresses.pop(),
                rank < layout.disks,
            )
    return vms
