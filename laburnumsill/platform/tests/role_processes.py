"""Site of three core VMs and one entry, each a process of its own.

The processes listen on loopback addresses and are connected without proxies, so
that a test can signal them and read what the kernel says of them.
"""

import contextlib
import pathlib
import re
import socket
from collections import abc

import trio

from laburnumsill.platform.tests import standin
from laburnumsill.testing import ports
from laburnumsill.testing import processes

CORE = ("127.0.79.1", "127.0.79.2", "127.0.79.3")
ENTRY = "127.0.79.11"

_PROGRAM = "laburnumsill.daemon.role_main"
_PEAK = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
_KIB = 1024
_ESTABLISHED = "01"
"""State of a connection in the kernel's table."""


class ProcessSite:
    """The processes of a site and clients for its callers and its operator.

    Args:
        folder: Folder for settings, logs and data.
        sections: Lines that are appended to each settings file.
    """

    def __init__(
        self, folder: pathlib.Path, sections: abc.Sequence[str] = ()
    ) -> None:
        self._folder = folder
        self._sections = sections
        self._peer_port, self._control_port = ports.free_ports(2)
        self.entry_address, self.readiness_address = (
            f"{ENTRY}:{port}" for port in ports.free_ports(2)
        )
        self.processes = {vm: self._process(vm) for vm in (*CORE, ENTRY)}
        self.operator = standin.Caller(
            [self.control_address(vm) for vm in CORE]
        )
        self.callers = standin.Caller([self.entry_address])

    def control_address(self, vm: str) -> str:
        """Returns the address for operators and workers of a core VM."""
        return f"{vm}:{self._control_port}"

    async def start(self, document: dict) -> None:
        """Starts all processes, with a first configuration in force."""
        for vm, process in self.processes.items():
            self._write_settings(vm, founding=True)
            process.start()
        await self.operator.until(200, "PUT", "/-/config", document, 60.0)
        await self.callers.until(200, "GET", "/sweep/", within=60.0)

    async def restart(self, vm: str) -> None:
        """Starts a process that has ended once more."""
        self._write_settings(vm, founding=False)
        self.processes[vm].start()
        if vm == ENTRY:
            await self.callers.until(200, "GET", "/sweep/", within=60.0)

    async def until_ended(self, vm: str) -> int | None:
        """Returns the exit code of a process, None if it does not end."""
        wait = self.processes[vm].wait
        return await trio.to_thread.run_sync(wait)

    def peak_memory_bytes(self, vm: str) -> int:
        """Returns the largest resident memory that a process has had."""
        text = pathlib.Path(f"/proc/{self.processes[vm].pid}/status")
        found = _PEAK.search(text.read_text())
        assert found is not None
        return int(found[1]) * _KIB

    def unread_bytes(self, address: str) -> int:
        """Returns the bytes that wait in the sockets behind an address.

        On the users' machines they count as memory of the process.
        """
        host, _, port = address.rpartition(":")
        packed = socket.inet_aton(host)[::-1].hex().upper()
        local = f"{packed}:{int(port):04X}"
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == local and fields[3] == _ESTABLISHED:
                total += int(fields[4].partition(":")[2], 16)
        return total

    def open_descriptors(self, vm: str) -> int:
        """Returns the number of open file descriptors of a process."""
        folder = pathlib.Path(f"/proc/{self.processes[vm].pid}/fd")
        return len(list(folder.iterdir()))

    def _process(self, vm: str) -> processes.Process:
        role = "entry" if vm == ENTRY else "core"
        return processes.Process(
            vm,
            _PROGRAM,
            [role, str(self._path(vm))],
            self._folder / f"{vm}.log",
        )

    def _path(self, vm: str) -> pathlib.Path:
        return self._folder / f"{vm}.toml"

    def _write_settings(self, vm: str, founding: bool) -> None:
        seeds = ", ".join(f'"{self.control_address(one)}"' for one in CORE)
        lines = [
            f'name = "{vm}"',
            f'address = "{vm}"',
            'failure_domain = "d"',
            f"peer_port = {self._peer_port}",
            f"seeds = [{seeds}]",
            f"founding = {str(founding).lower()}",
        ]
        if vm == ENTRY:
            listen = [
                f'callers = "{self.entry_address}"',
                f'readiness = "{self.readiness_address}"',
            ]
        else:
            data = self._folder / f"data-{vm}"
            data.mkdir(exist_ok=True)
            lines.append(f'data_folder = "{data}"')
            listen = [f'control = "{self.control_address(vm)}"']
        lines += ["[listen]", *listen, *self._sections]
        self._path(vm).write_text("\n".join(lines) + "\n")


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    document: dict | None = None,
    sections: abc.Sequence[str] = (),
) -> abc.AsyncIterator[ProcessSite]:
    """Yields a started site and ends its processes afterwards.

    Args:
        folder: Folder for settings, logs and data.
        document: The first configuration; by default, the stand-in's.
        sections: Lines that are appended to each settings file.
    """
    site = ProcessSite(folder, sections)
    try:
        await site.start(document or standin.configuration(1))
        yield site
    finally:
        for process in site.processes.values():
            process.kill()
        await site.callers.aclose()
        await site.operator.aclose()
