"""Announced state of backend servers and workers."""

import abc
import dataclasses

from laburnumsill.core import codec


@codec.register("members.server")
@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server of a service, as it announced itself.

    Attributes:
        server_id: Its name, unique in its service.
        service: Its service.
        domain: Its failure domain.
        address: ``host:port`` at which it accepts requests.
        incarnation: An id that is new at each start of its process.
        sequence: Number of the announcement, rising in an incarnation.
        slots: Number of requests that it runs at a time.
        connections: Number of connections that it accepts.
        busy: Number of slots in use at the announcement.
        leaving: Whether it is leaving and accepts no new work.
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
    """A worker VM, as it announced itself.

    Attributes:
        worker_id: Its name, unique in the system.
        domain: Its failure domain.
        rack: Its rack, unique in the domain.
        address: ``host:port`` of its task interface.
        incarnation: An id that is new at each start of its process.
        sequence: Number of the announcement, rising in an incarnation.
        cores: Number of processor cores.
        memory_gb: Memory in GB.
        accelerators: Number of accelerators.
        leaving: Whether it is leaving and accepts no new work.
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
    """The members that this VM considers available for work."""

    @abc.abstractmethod
    def servers(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the available backend servers of a service."""

    @abc.abstractmethod
    def workers(self, domain: str) -> tuple[Worker, ...]:
        """Returns the available workers of a failure domain."""
