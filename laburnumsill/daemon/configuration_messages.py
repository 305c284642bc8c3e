"""Messages between VMs about the configuration in force."""

import dataclasses

from laburnumsill.core import codec


@codec.register("configuration.in-force")
@dataclasses.dataclass(frozen=True, slots=True)
class InForceNotice:
    """Notice of the version in force on a VM."""

    vm: str
    version: int
    digest: str


@codec.register("configuration.read-in-force")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadInForce:
    """Request for the `InForceNotice` of a VM."""


@codec.register("configuration.fetch")
@dataclasses.dataclass(frozen=True, slots=True)
class FetchInForce:
    """Request for an update to the version in force on a VM.

    Attributes:
        vm: The requesting VM.
        version: The version in force on it, 0 to get the whole version.
    """

    vm: str
    version: int = 0
