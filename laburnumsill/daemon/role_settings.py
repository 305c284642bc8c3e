"""Settings of a daemon that runs one role of a site.

A TOML file in the product's own names. The format is checked with msgspec
instead of pydantic, since on the users' small VMs memory is what a daemon
costs (docs/STYLE.md has the figures).
"""

import pathlib
import tomllib
import typing

import msgspec

from laburnumsill.core import errors

MS = 1000
"""Milliseconds in a second."""


Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Bound = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]
Place = typing.Annotated[str, msgspec.Meta(pattern=r"^\S+:[0-9]{1,5}$")]
"""``host:port``."""
PlaceOrNone = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\S+:[0-9]{1,5})?$")
]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses, ``host:port``, that a role listens on; "" for none.

    Attributes:
        callers: Callers hand in jobs here.
        readiness: The platform's balancer asks here.
        control: Operators and workers.
        metrics: Prometheus.
    """

    callers: PlaceOrNone = ""
    readiness: PlaceOrNone = ""
    control: PlaceOrNone = ""
    metrics: PlaceOrNone = ""


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the site's users were promised; all times in ms.

    Attributes:
        longest_lease_ms: Workers grant no longer lease.
        stop_grace_ms: Workers end a run within this when they are told to.
        key_revoked_ms: A key that was taken away works no longer than this.
        shutdown_ms: From SIGTERM to SIGKILL.
    """

    longest_lease_ms: Bound = 10_000
    stop_grace_ms: Bound = 1_000
    key_revoked_ms: Bound = 5_000
    shutdown_ms: Bound = 6_000


class RoleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes:
        name: Of the VM, for people.
        address: The VM's IP address; it is also its id among its peers.
        failure_domain: Of the VM.
        peer_port: Where the VMs of the core listen for their peers.
        seeds: Addresses of VMs of the core, ``host:port``; only the host
            matters, since all listen on the same `peer_port`.
        founding: Whether the site starts for the first time, with empty
            disks.
        tolerated_losses: So many VMs of the core may be lost at a time.
        data_folder: Where state is kept, None without a disk.
        log_level: A loguru level name.
        listen: The addresses listened on.
        bounds: What was promised.
    """

    name: str
    address: Text
    failure_domain: str
    peer_port: Port
    seeds: tuple[Place, ...]
    founding: bool = False
    tolerated_losses: Bound = 1
    data_folder: str | None = None
    log_level: str = "INFO"
    listen: Listen = Listen()
    bounds: Bounds = Bounds()

    @property
    def seed_vms(self) -> tuple[str, ...]:
        """The ids of the seeds among their peers."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)

    def peer_address(self, vm: str) -> str:
        """Returns where a VM of the core listens for its peers."""
        return f"{vm}:{self.peer_port}"


def load(path: pathlib.Path) -> RoleSettings:
    """Reads and checks a settings file.

    Raises:
        errors.InvalidConfigurationError: It can not be read or is invalid.
    """
    return SettingsFile(path).load()


class SettingsFile:
    """A settings file that may change; its text is parsed once a change.

    Args:
        path: Where it is.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._text: bytes | None = None

    def changed(self) -> RoleSettings | None:
        """Returns the settings if the file is not what was read last.

        Raises:
            errors.InvalidConfigurationError: It can not be read or is invalid.
        """
        try:
            text = self._path.read_bytes()
        except OSError as error:
            raise self._refused(error) from error
        if text == self._text:
            return None
        self._text = text
        return self._parse(text)

    def load(self) -> RoleSettings:
        """Reads and checks it anew.

        Raises:
            errors.InvalidConfigurationError: It can not be read or is invalid.
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
            ValueError,  # also no UTF-8, no TOML, a number of too many digits
            RecursionError,
            msgspec.ValidationError,
        ) as error:
            raise self._refused(error) from error

    def _refused(self, error: Exception) -> errors.InvalidConfigurationError:
        return errors.InvalidConfigurationError(f"{self._path}: {error}")
