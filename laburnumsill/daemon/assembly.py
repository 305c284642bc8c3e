"""Construction of a daemon from its components, startup and shutdown."""

import signal
import typing
from collections import abc

import trio
from starlette import routing

from laburnumsill.api import accounts as accounts_api
from laburnumsill.api import application
from laburnumsill.api import configuration as configuration_api
from laburnumsill.api import groups as groups_api
from laburnumsill.api import jobs as jobs_api
from laburnumsill.api import members as members_api
from laburnumsill.api import operations as operations_api
from laburnumsill.api import services as services_api
from laburnumsill.clients import backend
from laburnumsill.clients import worker
from laburnumsill.config import current as current_configuration
from laburnumsill.consensus import host as group_host
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import metrics
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_sync
from laburnumsill.daemon import make_up_sync
from laburnumsill.daemon import replacement
from laburnumsill.daemon import server
from laburnumsill.daemon import settings
from laburnumsill.daemon import usage_relay
from laburnumsill.jobs import scheduler
from laburnumsill.jobs import service as job_service
from laburnumsill.members import table
from laburnumsill.requests import durable_dispatch
from laburnumsill.requests import router
from laburnumsill.state import machines
from laburnumsill.wire import network

READINESS_NOTICE_S = 0.5
"""Time between the loss of readiness and the refusal of new requests, in which
the balancer stops sending requests to this VM."""

DRAIN_TIMEOUT_S = 30.0
"""Time in which requests in flight can complete at a graceful shutdown."""

SERVER_GRACE_S = 5.0
TRANSFER_TIMEOUT_S = 5.0


class Daemon:
    """One daemon: all components of one VM in one trio loop."""

    def __init__(self, loaded: settings.Settings) -> None:
        self._settings = loaded
        self._local_vm = loaded.local_vm
        self._clock = clocks.SystemClock()
        self._metrics = metrics.Metrics()
        self._current = current_configuration.Current()
        self._stopping = trio.Event()
        self._network = network.PeerNetwork(
            self._local_vm, loaded.dial, self._clock, self._metrics
        )
        self._host = group_host.GroupHost(
            self._local_vm,
            loaded.vms,
            self._network,
            machines.machine_of,
            loaded.data_folder,
            self._clock,
            self._metrics,
        )
        self._membership_sync = make_up_sync.MembershipSync(
            loaded.vms,
            self._local_vm,
            self._host,
            self._network,
            self._host.set_desired_voters,
        )
        self._replacement = replacement.Replacement(
            loaded.vms,
            self._host,
            self._network,
            self._membership_sync,
            loaded.replace_after_s,
            self._clock,
        )
        self._configuration_sync = configuration_sync.ConfigurationSync(
            self._local_vm,
            loaded.vms,
            self._host,
            self._network,
            self._current,
            loaded.data_folder,
            self._clock,
        )
        self._members = table.MemberTable(
            self._local_vm,
            loaded.vms,
            self._network,
            self._current,
            self._clock,
            self._metrics,
        )
        self._backend = backend.HttpBackendClient(self._clock, len(loaded.vms))
        self._router = router.RequestRouter(
            self._local_vm,
            self._host,
            self._members,
            self._current,
            self._backend,
            self._clock,
            self._metrics,
            len(loaded.vms),
        )
        self._durable = durable_dispatch.DurableDispatcher(
            self._router,
            self._host,
            self._current,
            self._clock,
            self._metrics,
        )
        self._jobs = job_service.JobService(
            self._local_vm,
            self._host,
            self._members,
            self._current,
            self._clock,
            self._metrics,
        )
        workers = worker.HttpWorkerClient(self._clock)
        self._schedulers = {
            domain: scheduler.DomainScheduler(
                domain,
                self._host,
                self._members,
                self._current,
                workers,
                self._clock,
                self._metrics,
            )
            for domain in topology.domains(loaded.vms)
        }
        self._usage = usage_relay.UsageRelay(
            self._local_vm.vm_id,
            self._host,
            self._network,
            self._members,
            lambda: self._membership_sync.voters,
            self._schedulers,
        )
        self._server = server.HypercornServer(
            application.Application(
                services_api.ServicesApp(self._router), self._routes()
            ),
            loaded.listen_address,
            server.new_budget(self._metrics),
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signals)
            for run in self._reporting_components():
                await nursery.start(run)
            for run in self._background_components():
                nursery.start_soon(run)
            self._server.listen()
            await nursery.start(self._server.run)
            logs.event(
                "daemon-started",
                domain=self._local_vm.domain,
                client_address=self._local_vm.client_address,
                peer_address=self._local_vm.peer_address,
            )
            await self._stopping.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()
        logs.event("daemon-stopped")

    def _reporting_components(self) -> list[typing.Any]:
        """Returns the components that report their start, in start order."""
        return [
            self._network.run,
            self._host.run,
            self._members.run,
            self._router.run,
            self._durable.run,
            *(part.run for part in self._schedulers.values()),
        ]

    def _background_components(
        self,
    ) -> list[abc.Callable[[], abc.Awaitable[None]]]:
        """Returns the components that need no report of their start."""
        return [
            self._membership_sync.run,
            self._replacement.run,
            self._configuration_sync.run,
        ]

    def _routes(self) -> list[routing.Route]:
        return [
            *operations_api.routes(
                self._local_vm.vm_id, self._metrics, self._unready_reason
            ),
            *services_api.routes(self._router),
            *jobs_api.routes(self._jobs),
            *accounts_api.routes(self._host, self._current, self._clock),
            *members_api.routes(self._members, self._usage.relay),
            *configuration_api.routes(
                self._host, self._current, self._configuration_sync, self._clock
            ),
            *groups_api.routes(self),
        ]

    def _unready_reason(self) -> str | None:
        if self._stopping.is_set():
            return "shutting down"
        if not self._configuration_sync.ready or self._current.get() is None:
            return "the configuration in force is not known yet"
        return None

    def status(self) -> abc.Sequence[typing.Any]:
        """Returns the replicas on this VM, see `api.groups`."""
        return self._host.status()

    async def transfer(self, group: str, vm: str | None) -> None:
        """Transfers a group's leadership, see `api.groups`."""
        deadline = self._clock.monotonic() + TRANSFER_TIMEOUT_S
        await self._host.transfer_leadership(group, vm, deadline)

    async def replace(self, group: str, old: str, new: str) -> None:
        """Replaces a voter of a group, see `api.groups`."""
        await self._replacement.replace(group, old, new)

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for number in signals:
                logs.event("signal", number=number)
                self._stopping.set()

    async def _shut_down(self) -> None:
        """Transfers leaderships, drains requests and stops the server.

        Readiness is already lost when this starts.
        """
        logs.event("shutdown-started")
        self._server.close_after_answers()
        await trio.sleep(READINESS_NOTICE_S)
        await self._host.transfer_leaderships()
        await self._router.drain(self._clock.monotonic() + DRAIN_TIMEOUT_S)
        self._server.stop(trio.current_time() + SERVER_GRACE_S)
        await self._server.wait_ended()
