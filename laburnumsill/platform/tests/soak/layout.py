"""VMs of a soak's site and the proxied links between them.

Each VM has its own loopback IP address. A daemon dials its peers on the port
on which it listens itself. Each VM is configured with a different port, so VM
a dials VM b at b's address and a's port, where the link from a to b listens.
"""

import dataclasses
import pathlib

from laburnumsill.testing import ports

CORE = ("127.0.78.1", "127.0.78.2", "127.0.78.3")
SPARE = "127.0.78.4"
"""Core VM of some soaks that is not an initial voter."""

ENTRIES = ("127.0.78.11", "127.0.78.12")
TOLERATED_LOSSES = 1

LONGEST_LEASE_MS = 4_000
"""Shorter than the 10 s of the users' sites, which shortens a soak."""

KEY_REVOKED_MS = 5_000
"""As on the users' sites."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmAddresses:
    """Addresses of a VM.

    Attributes:
        vm: The IP address of the VM, which is also its id.
        role: The role that its daemon runs.
        peer_port: The port on which it listens for peers and dials them.
        callers: Address of the link through which callers reach an entry.
        own_callers: Address on which the entry listens for callers.
        control: Address of the link through which workers and operators reach
            a core VM.
        own_control: Address on which the core VM listens for them.
        readiness: Address of the readiness check of an entry.
    """

    vm: str
    role: str
    peer_port: int
    callers: str = ""
    own_callers: str = ""
    control: str = ""
    own_control: str = ""
    readiness: str = ""

    @property
    def own_peer(self) -> str:
        """Address on which the VM listens for peers."""
        return f"{self.vm}:{self.peer_port}"

    @property
    def outside(self) -> str:
        """Address of the link through which clients reach the VM."""
        return self.callers or self.control

    @property
    def own_outside(self) -> str:
        """Address on which the VM itself listens for clients."""
        return self.own_callers or self.own_control


def vms(core: tuple[str, ...] = CORE) -> dict[str, VmAddresses]:
    """Returns the VMs of a site, with ports allocated for them."""
    found = {}
    for vm in core:
        peer, outside, own = ports.free_ports(3)
        found[vm] = VmAddresses(
            vm,
            "core",
            peer,
            control=f"{vm}:{outside}",
            own_control=f"{vm}:{own}",
        )
    for vm in ENTRIES:
        peer, outside, own, readiness = ports.free_ports(4)
        found[vm] = VmAddresses(
            vm,
            "entry",
            peer,
            callers=f"{vm}:{outside}",
            own_callers=f"{vm}:{own}",
            readiness=f"{vm}:{readiness}",
        )
    return found


def links(found: dict[str, VmAddresses]) -> dict[str, tuple[str, str]]:
    """Returns the listen and target addresses of each link, by its name."""
    wanted = {}
    for source in found.values():
        wanted[outside_link(source.vm)] = (source.outside, source.own_outside)
        for target in found.values():
            if target.role == "core" and target.vm != source.vm:
                listen = f"{target.vm}:{source.peer_port}"
                name = peer_link(source.vm, target.vm)
                wanted[name] = (listen, target.own_peer)
    return wanted


def peer_link(source: str, target: str) -> str:
    """Returns the name of the link on which one VM dials another."""
    return f"{source}>{target}"


def outside_link(vm: str) -> str:
    """Returns the name of the link from outside to a VM."""
    return f"outside>{vm}"


def write_settings(
    folder: pathlib.Path,
    one: VmAddresses,
    founding: bool,
    seed_vms: tuple[str, ...] = CORE,
) -> pathlib.Path:
    """Writes the settings file of a VM like the platform's template."""
    seeds = ", ".join(f'"{vm}:1"' for vm in seed_vms)
    lines = [
        f'name = "{one.vm}"',
        f'address = "{one.vm}"',
        'failure_domain = "d"',
        f"peer_port = {one.peer_port}",
        f"seeds = [{seeds}]",
        f"founding = {str(founding).lower()}",
        f"tolerated_losses = {TOLERATED_LOSSES}",
    ]
    if one.role == "core":
        lines.append(f'data_folder = "{data_folder(folder, one.vm)}"')
        lines += ["[listen]", f'control = "{one.own_control}"']
    else:
        lines += ["[listen]", f'callers = "{one.own_callers}"']
        lines.append(f'readiness = "{one.readiness}"')
    lines += [
        "[bounds]",
        f"longest_lease_ms = {LONGEST_LEASE_MS}",
        f"key_revoked_ms = {KEY_REVOKED_MS}",
    ]
    path = settings_path(folder, one.vm)
    # A daemon that is starting must not read a partly written file.
    temporary = path.with_suffix(".new")
    temporary.write_text("\n".join(lines) + "\n")
    temporary.replace(path)
    return path


def settings_path(folder: pathlib.Path, vm: str) -> pathlib.Path:
    """Returns the settings file of a VM."""
    return folder / f"{vm}.toml"


def data_folder(folder: pathlib.Path, vm: str) -> pathlib.Path:
    """Returns the data folder of a core VM."""
    return folder / f"data-{vm}"
