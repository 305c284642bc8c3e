"""What is known of backend servers and workers."""

import abc
import dataclasses

from laburnumsill.core import codec


@codec.register("members.server")
@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server of a service, as it announced itself.

    Attributes:
        server_id: Its name, unique in its service.
        service: The service it belongs to.
        domain: Its failure domain.
        address: ``host:port`` where it takes requests.
        incarnation: New for each start of its process.
        sequence: Grows with each announcement of an incarnation.
        slots: Requests it runs at a time.
        connections: Connections it takes.
        busy: Slots in use when it announced itself.
        leaving: Whether it wants no new work.
    """

    server_id: str
    service: str
    domain: str
    address: str
    incarnation: str
    sequence: int
    slots: int
    connections: int
    busy: int = 0
    leaving: bool = False


@codec.register("members.worker")
@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """One worker VM, as it announced itself.

    Attributes:
        worker_id: Its name, unique in the system.
        domain: Its failure domain.
        rack: Its rack, unique in the domain.
        address: ``host:port`` of its task interface.
        incarnation: New for each start of its process.
        sequence: Grows with each announcement of an incarnation.
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
        leaving: Whether it wants no new work.
    """

    worker_id: str
    domain: str
    rack: str
    address: str
    incarnation: str
    sequence: int
    cores: int
    memory_gb: int
    accelerators: int
    leaving: bool = False


class MemberView(abc.ABC):
    """The members that may get work now, as this VM knows them."""

    @abc.abstractmethod
    def servers(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the present backend servers of a service."""

    @abc.abstractmethod
    def workers(self, domain: str) -> tuple[Worker, ...]:
        """Returns the present workers of a failure domain."""
