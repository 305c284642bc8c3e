"""The settings of one daemon, read from its own TOML file.

Settings identify this VM and contain the addresses of all VMs. They are local,
unlike the configuration, which is pushed to all VMs. Paths in a settings file
are relative to the file itself.

Examples:
    The file of one VM, which shares the list of VMs with the others::

        vm_id = "vm1"
        vms_file = "vms.toml"
        data_folder = "data/vm1"
"""

import dataclasses
import ipaddress
import pathlib
import typing

import pydantic

from laburnumsill.config import models
from laburnumsill.config import toml_files
from laburnumsill.core import topology

MAX_VMS = 64
"""Maximum number of VMs in one system."""

DEFAULT_REPLACE_AFTER_S = 600.0
"""Time without contact after which a VM counts as permanently lost."""

_MAX_PORT = 65_535

LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class InvalidSettingsError(toml_files.InvalidFileError):
    """A settings file with a wrong, missing or unknown value."""

    slug = "invalid-settings"
    title = "Invalid settings"


def _is_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port)
    except ValueError:
        number = -1
    if not 0 < number <= _MAX_PORT:
        raise ValueError("an IP number and a port, such as 127.0.0.1:8101")
    return text


Address = typing.Annotated[str, pydantic.AfterValidator(_is_address)]


class VmEntry(models.Model):
    """One VM in the list that all VMs share.

    Attributes:
        vm_id: Its name, unique in the list.
        domain: Its failure domain.
        client_address: Its address for clients and the balancer.
        peer_address: Its address for the other VMs.
        disk: Whether it has a data folder.
    """

    vm_id: models.Name
    domain: models.Name
    client_address: Address
    peer_address: Address
    disk: bool = False


class VmsFile(models.Model):
    """The list of VMs in a separate file."""

    vms: list[VmEntry] = pydantic.Field(min_length=1, max_length=MAX_VMS)


class SettingsFile(models.Model):
    """The settings file of one VM, as it is parsed.

    Attributes:
        vm_id: The id of this VM in the list of VMs.
        vms_file: The file with the list of VMs, unless `vms` contains it.
        vms: The list of VMs.
        data_folder: The folder for the state, None on a VM without a disk.
        listen_address: The address to listen on for clients if it differs
            from the client address in the list.
        log_level: The lowest level of events that are logged.
        replace_after_s: Time without contact, in seconds, after which a VM
            counts as permanently lost and its replicas are replaced.
        dial: Addresses to connect to peers by VM, if they differ from the
            peer addresses in the list; tests route them through a proxy.
    """

    vm_id: models.Name
    vms_file: str | None = None
    vms: list[VmEntry] = pydantic.Field(default=[], max_length=MAX_VMS)
    data_folder: str | None = pydantic.Field(default=None, min_length=1)
    listen_address: Address | None = None
    log_level: LogLevel = "INFO"
    replace_after_s: models.Seconds = DEFAULT_REPLACE_AFTER_S
    dial: dict[models.Name, Address] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one VM, complete and checked.

    Attributes:
        local_vm: This VM.
        vms: All VMs, including this one.
        dial: The address to connect to each other VM, by VM.
        listen_address: The address to listen on for clients.
        data_folder: The folder for the state, None on a VM without a disk.
        log_level: The lowest level of events that are logged.
        replace_after_s: Time without contact, in seconds, after which a VM
            counts as permanently lost.
    """

    local_vm: topology.Vm
    vms: list[topology.Vm]
    dial: dict[str, str]
    listen_address: str
    data_folder: pathlib.Path | None
    log_level: str
    replace_after_s: float


def load(path: str | pathlib.Path) -> Settings:
    """Returns the settings in the file at `path`.

    Raises:
        toml_files.MissingFileError: The file, or the list of VMs that it
            names, cannot be read.
        InvalidSettingsError: A value is wrong, missing or unknown.
    """
    path = pathlib.Path(path)
    tree = toml_files.read(path, InvalidSettingsError)
    settings_file = toml_files.validated(
        SettingsFile, tree, path, InvalidSettingsError
    )
    vms = [_vm(entry) for entry in _entries(settings_file, path)]
    local_vm = _local_vm(settings_file, vms, path)
    _check_dial(settings_file, vms, path)
    _check_disk(settings_file, local_vm, path)
    folder = settings_file.data_folder
    return Settings(
        local_vm=local_vm,
        vms=vms,
        dial={
            vm.vm_id: settings_file.dial.get(vm.vm_id, vm.peer_address)
            for vm in vms
            if vm is not local_vm
        },
        listen_address=settings_file.listen_address or local_vm.client_address,
        data_folder=(path.parent / folder) if folder else None,
        log_level=settings_file.log_level,
        replace_after_s=settings_file.replace_after_s,
    )


def _entries(settings_file: SettingsFile, path: pathlib.Path) -> list[VmEntry]:
    """Returns the list of VMs from the file or from the list of VMs in it.

    Raises:
        InvalidSettingsError: Both or neither are given, or two VMs have the
            same id or address.
    """
    if (settings_file.vms_file is None) == (not settings_file.vms):
        both = "either vms_file or a list of VMs"
        raise InvalidSettingsError.at(
            path, "vms_file", settings_file.vms_file, both
        )
    entries = settings_file.vms
    if settings_file.vms_file is not None:
        path = path.parent / settings_file.vms_file
        tree = toml_files.read(path, InvalidSettingsError)
        entries = toml_files.validated(
            VmsFile, tree, path, InvalidSettingsError
        ).vms
    seen: set[str] = set()
    for position, entry in enumerate(entries):
        for field in ("vm_id", "client_address", "peer_address"):
            value = getattr(entry, field)
            if value in seen:
                key = f"vms.{position}.{field}"
                unique = "a value that no VM before it has"
                raise InvalidSettingsError.at(path, key, value, unique)
            seen.add(value)
    return entries


def _vm(entry: VmEntry) -> topology.Vm:
    return topology.Vm(
        entry.vm_id,
        entry.domain,
        entry.client_address,
        entry.peer_address,
        entry.disk,
    )


def _local_vm(
    settings_file: SettingsFile, vms: list[topology.Vm], path: pathlib.Path
) -> topology.Vm:
    for vm in vms:
        if vm.vm_id == settings_file.vm_id:
            return vm
    known = "one of " + ", ".join(vm.vm_id for vm in vms)
    raise InvalidSettingsError.at(path, "vm_id", settings_file.vm_id, known)


def _check_dial(
    settings_file: SettingsFile, vms: list[topology.Vm], path: pathlib.Path
) -> None:
    known = {vm.vm_id for vm in vms} - {settings_file.vm_id}
    for vm_id in settings_file.dial:
        if vm_id not in known:
            one_of = "one of " + ", ".join(sorted(known))
            raise InvalidSettingsError.at(path, "dial", vm_id, one_of)


def _check_disk(
    settings_file: SettingsFile, local_vm: topology.Vm, path: pathlib.Path
) -> None:
    folder = settings_file.data_folder
    if local_vm.has_disk and folder is None:
        needed = f"a folder, since {local_vm.vm_id} has a disk in the list"
        raise InvalidSettingsError.at(path, "data_folder", folder, needed)
    if not local_vm.has_disk and folder is not None:
        none = f"none, since {local_vm.vm_id} has no disk in the list"
        raise InvalidSettingsError.at(path, "data_folder", folder, none)
