"""Settings of a daemon that runs one role of a site.

The settings are a TOML file with the product's own names. It is validated with
msgspec instead of pydantic, since memory is the main cost of a daemon on small
VMs (docs/STYLE.md has the figures).
"""

import pathlib
import tomllib
import typing

import msgspec

from laburnumsill.config import switches
from laburnumsill.core import errors

MS = 1000
"""Milliseconds in a second."""

MIB = 1024 * 1024
CALL_SHARE = 0.25
"""Share of the memory for calls that are read or served. A daemon without calls
needs about a quarter of the smallest machine."""

CONNECTION_SHARE = 0.25
"""Share of the memory for the connections themselves."""

SUBMISSION_SHARE = 0.125
"""Share of the memory for submissions that are decoded and forwarded."""

CONNECTION_BYTES = 32 * 1024
"""Memory of a connection without a call: its task, its parser, its buffers."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files outside the data folder."""

DESCRIPTOR_SHARE = 0.75
"""Share of the other descriptors for the connections of callers. The rest is
for the data folder, peers and workers."""

MIN_CONNECTIONS = 16
"""Limit of the connections on a machine that is too small for any."""


Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Bound = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]
HostPort = typing.Annotated[str, msgspec.Meta(pattern=r"^\S+:[0-9]{1,5}$")]
"""``host:port``."""
OptionalHostPort = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\S+:[0-9]{1,5})?$")
]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses, ``host:port``, that a role listens on; "" for none.

    Attributes:
        callers: For callers, which submit jobs.
        readiness: For readiness probes of the platform's balancer.
        control: For operators and workers.
        metrics: For Prometheus.
    """

    callers: OptionalHostPort = ""
    readiness: OptionalHostPort = ""
    control: OptionalHostPort = ""
    metrics: OptionalHostPort = ""


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits that the site guarantees, in ms unless another unit is named.

    Attributes:
        longest_lease_ms: Longest lease that a worker grants.
        stop_grace_ms: Time within which a worker ends a run after a stop order.
        key_revoked_ms: Time within which a revoked key must stop working.
        restore_ms: Time in which a worker restores saved progress; None where
            workers save no progress at a stop.
        shutdown_s: Time between SIGTERM and SIGKILL, in seconds.
    """

    longest_lease_ms: Bound = 10_000
    stop_grace_ms: Bound = 1_000
    key_revoked_ms: Bound = 5_000
    restore_ms: Bound | None = None
    shutdown_s: Seconds = 6.0


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a daemon's machine.

    Attributes:
        memory_mb: Memory above which the process is killed, in MiB.
        descriptors: Number of file descriptors that the process may open.
    """

    memory_mb: typing.Annotated[float, msgspec.Meta(gt=0, le=2**20)] = 160
    descriptors: typing.Annotated[int, msgspec.Meta(gt=0, le=2**20)] = 1_024

    @property
    def call_bytes(self) -> int:
        """Limit of the bytes of all calls that are read or served."""
        return int(self.memory_mb * MIB * CALL_SHARE)

    @property
    def submission_bytes(self) -> int:
        """Limit of the memory of all decoded submissions."""
        return int(self.memory_mb * MIB * SUBMISSION_SHARE)

    @property
    def connections(self) -> int:
        """Limit of the number of connections of callers."""
        by_memory = self.memory_mb * MIB * CONNECTION_SHARE / CONNECTION_BYTES
        free = self.descriptors - RESERVED_DESCRIPTORS
        found = int(min(by_memory, free * DESCRIPTOR_SHARE))
        return max(found, MIN_CONNECTIONS)


class Scheduling(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches of the scheduler's optional parts; see `batch.parts`.

    Attributes:
        deferred_preemption: A new leader waits for workers that make a
            preemption needless.
        saved_progress: Stops that lose no work are preferred.
        leaving_workers: Runs that would be lost with a worker that is about to
            leave are stopped before.
    """

    deferred_preemption: switches.Switch = switches.Switch.AUTO
    saved_progress: switches.Switch = switches.Switch.AUTO
    leaving_workers: switches.Switch = switches.Switch.OFF


class RoleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes:
        name: The name of the VM in logs.
        address: The VM's IP address, which is also its id among its peers.
        failure_domain: The failure domain of the VM.
        failure_domains: The failure domains of the site.
        peer_port: The port on which the VMs of the core listen for peers.
        seeds: Addresses of VMs of the core, ``host:port``; only the host
            matters, since all listen on the same `peer_port`.
        founding: Whether the site starts for the first time, with empty
            disks.
        tolerated_losses: The number of VMs of the core that may be lost at
            the same time.
        data_folder: The folder for the state, None on a VM without a disk.
        log_level: A loguru level name.
        listen: The addresses listened on.
        bounds: The guaranteed time limits.
        scheduling: Switches of the scheduler's optional parts.
        limits: The limits of the machine.
    """

    name: str
    address: Text
    failure_domain: str
    peer_port: Port
    seeds: tuple[HostPort, ...]
    failure_domains: tuple[str, ...] = ()
    founding: bool = False
    tolerated_losses: Bound = 1
    data_folder: str | None = None
    log_level: str = "INFO"
    listen: Listen = Listen()
    bounds: Bounds = Bounds()
    scheduling: Scheduling = Scheduling()
    limits: Limits = Limits()

    @property
    def seed_vms(self) -> tuple[str, ...]:
        """The ids of the seeds among their peers."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)

    def peer_address(self, vm: str) -> str:
        """Returns the address on which a VM of the core listens for peers."""
        return f"{vm}:{self.peer_port}"


def load(path: pathlib.Path) -> RoleSettings:
    """Reads and validates a settings file.

    Raises:
        errors.InvalidConfigurationError: The file cannot be read or is
            invalid.
    """
    return SettingsFile(path).load()


class SettingsFile:
    """A settings file that may change; it is parsed once after each change.

    Args:
        path: The path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._text: bytes | None = None

    def changed(self) -> RoleSettings | None:
        """Returns the settings if the file has changed since the last read.

        Raises:
            errors.InvalidConfigurationError: The file cannot be read or is
                invalid.
        """
        try:
            text = self._path.read_bytes()
        except OSError as error:
            raise self._invalid(error) from error
        if text == self._text:
            return None
        self._text = text
        return self._parse(text)

    def load(self) -> RoleSettings:
        """Reads and validates the file.

        Raises:
            errors.InvalidConfigurationError: The file cannot be read or is
                invalid.
        """
        self._text = None
        settings = self.changed()
        assert settings is not None
        return settings

    def _parse(self, text: bytes) -> RoleSettings:
        try:
            document = tomllib.loads(text.decode())
            return msgspec.convert(document, RoleSettings)
        except (
            ValueError,  # invalid UTF-8, invalid TOML, too many digits
            RecursionError,
            msgspec.ValidationError,
        ) as error:
            raise self._invalid(error) from error

    def _invalid(self, error: Exception) -> errors.InvalidConfigurationError:
        return errors.InvalidConfigurationError(f"{self._path}: {error}")
