"""What VMs say to each other about the configuration in force."""

import dataclasses

from laburnumsill.core import codec


@codec.register("configuration.in-force")
@dataclasses.dataclass(frozen=True, slots=True)
class InForceNotice:
    """Tells the version in force on a VM."""

    vm: str
    version: int
    digest: str


@codec.register("configuration.read-in-force")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadInForce:
    """Asks a VM for its `InForceNotice`."""


@codec.register("configuration.fetch")
@dataclasses.dataclass(frozen=True, slots=True)
class FetchInForce:
    """Asks a VM for what leads to the version in force on it.

    Attributes:
        vm: The asker.
        version: The version in force on the asker, 0 to get the whole.
    """

    vm: str
    version: int = 0
