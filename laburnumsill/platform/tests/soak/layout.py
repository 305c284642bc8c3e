"""Which VMs a soak's site has, and which links lie between them.

Each VM has an IP address of its own on loopback. All VMs of a site are meant
to listen for their peers on one port, so each is told another one here: VM a
then dials b at b's address and a's port, where the link from a to b listens.
"""

import dataclasses
import pathlib

from laburnumsill.testing import ports

CORE = ("127.0.78.1", "127.0.78.2", "127.0.78.3")
SPARE = "127.0.78.4"
"""A core VM beyond those that vote, which some soaks have."""

ENTRIES = ("127.0.78.11", "127.0.78.12")
TOLERATED_LOSSES = 1

LONGEST_LEASE_MS = 4_000
"""Shorter than the users' 10 s, so that a soak need not wait so long."""

KEY_REVOKED_MS = 5_000
"""As on the users' sites."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmAddresses:
    """Where one VM is.

    Attributes:
        vm: Its IP address, which is its id too.
        role: The role that its daemon runs.
        peer_port: Where it listens for peers and where it dials them.
        callers: Of an entry, where callers reach it through a link.
        own_callers: Where it itself listens for them.
        control: Of a core VM, where workers and operators reach it.
        own_control: Where it itself listens for them.
        readiness: Of an entry.
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
        """Where it listens for its peers."""
        return f"{self.vm}:{self.peer_port}"

    @property
    def outside(self) -> str:
        """Where its link for everybody but VMs listens."""
        return self.callers or self.control

    @property
    def own_outside(self) -> str:
        """Where that link leads."""
        return self.own_callers or self.own_control


def vms(core: tuple[str, ...] = CORE) -> dict[str, VmAddresses]:
    """Returns the VMs of a site, on ports that are kept for it."""
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
    """Returns where each link listens and where it leads, by its name."""
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
    """Writes the settings file of a VM as the platform's template does."""
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
    # Its daemon may be starting, and must not find half of the file.
    aside = path.with_suffix(".new")
    aside.write_text("\n".join(lines) + "\n")
    aside.replace(path)
    return path


def settings_path(folder: pathlib.Path, vm: str) -> pathlib.Path:
    """Returns the settings file of a VM."""
    return folder / f"{vm}.toml"


def data_folder(folder: pathlib.Path, vm: str) -> pathlib.Path:
    """Returns where a core VM keeps its state."""
    return folder / f"data-{vm}"
