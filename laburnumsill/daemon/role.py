"""Base class of the daemons of all roles: signals, settings, metrics."""

import abc
import pathlib
import signal
import typing

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import topology
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import connection_monitor
from laburnumsill.daemon import directory
from laburnumsill.daemon import light_server
from laburnumsill.daemon import role_settings
from laburnumsill.wire import network as networks

SITE_GROUP = "site"
"""The one replicated group: configuration, jobs, workers. One ledger is enough
for a whole site up to the limits in docs/CAPACITY.md."""

SETTINGS_POLL_S = 1.0
"""Interval at which the settings file is polled, as it may change without a
signal."""

PROBE_BYTES = 2 * 1024 * 1024
PROBE_CONNECTIONS = 64
"""Limits of what probes of readiness and metrics may hold, apart from callers:
an entry whose callers use up their limits is still ready."""

END_MARGIN_S = 0.5
"""Part of the time until a process is killed that is reserved for its end."""


class RoleDaemon(abc.ABC):
    """One daemon of a site, in one trio loop.

    Args:
        path: The settings file, read again when it changes.
        settings: The settings read at startup.
        on_demand: Whether connections to peers are opened only when needed.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: role_settings.RoleSettings,
        on_demand: bool = False,
    ) -> None:
        self._settings_file = role_settings.SettingsFile(path)
        self._settings = settings
        self._clock = clocks.TimeLeftClock()
        self._metrics = metrics_module.Metrics()
        self._stopping = trio.Event()
        self._servers: list[light_server.LightServer] = []
        self._budget = connection_budget.ConnectionBudget(
            settings.limits.call_bytes,
            settings.limits.connections,
            self._metrics,
        )
        self._probe_budget = connection_budget.ConnectionBudget(
            PROBE_BYTES, PROBE_CONNECTIONS, self._metrics
        )
        self._vm = self._make_vm(settings)
        self._network = networks.PeerNetwork(
            self._vm,
            {},
            self._clock,
            self._metrics,
            is_open=True,
            on_demand=on_demand,
        )
        self._directory = directory.Directory(
            self._vm.vm_id,
            self._network,
            settings.peer_address,
            self._core_members,
            self._clock,
            directory.MAX_POLL_INTERVAL_S
            if on_demand
            else directory.POLL_INTERVAL_S,
        )

    @property
    def closing(self) -> bool:
        """Whether this daemon is shutting down."""
        return self._stopping.is_set()

    def stop(self) -> None:
        """Starts the graceful shutdown, as SIGTERM does."""
        self._stopping.set()

    async def run(
        self,
        with_signals: bool = True,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs until `stop` or a signal, then shuts down gracefully.

        Args:
            with_signals: Whether to handle SIGTERM, SIGINT and SIGHUP. Only
                one daemon of a process may do so.
            task_status: Started once the daemon serves.
        """
        async with trio.open_nursery() as nursery:
            if with_signals:
                nursery.start_soon(self._watch_signals)
            nursery.start_soon(self._watch_settings)
            self._directory.set_seeds(self._settings.seed_vms)
            await nursery.start(self._network.run)
            await self._start(nursery)
            nursery.start_soon(self._directory.run)
            logs.event(
                "daemon-started",
                role=type(self).__name__,
                name=self._settings.name,
                domain=self._settings.failure_domain,
                seeds=",".join(self._settings.seeds),
                founding=self._settings.founding,
            )
            task_status.started()
            await self._stopping.wait()
            await self._stop()
            nursery.cancel_scope.cancel()
        logs.event("daemon-stopped", name=self._settings.name)

    async def _stop(self) -> None:
        """Shuts down gracefully, in the time until the process is killed."""
        grace_s = self._settings.bounds.shutdown_s
        answer_by = trio.current_time() + max(0.0, grace_s - END_MARGIN_S)
        logs.event("shutdown-started", name=self._settings.name)
        for server in self._servers:
            server.close_after_answers()
        with trio.move_on_at(answer_by):
            await self._shut_down()
        for server in self._servers:
            server.stop(answer_by)
        for server in self._servers:
            await server.wait_ended()

    @abc.abstractmethod
    def _make_vm(self, settings: role_settings.RoleSettings) -> topology.Vm:
        """Returns this VM as its peers know it."""

    @abc.abstractmethod
    def _core_members(self) -> tuple[str, ...]:
        """Returns the VMs of the core that the replicated state names."""

    @abc.abstractmethod
    async def _start(self, nursery: trio.Nursery) -> None:
        """Starts the components of the role."""

    @abc.abstractmethod
    async def _shut_down(self) -> None:
        """Hands over what others do from now on, while calls are served."""

    async def _serve(
        self,
        name: str,
        application: typing.Any,
        address: str,
        budget: connection_budget.ConnectionBudget | None = None,
        *,
        task_status: trio.TaskStatus[typing.Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves an ASGI application until the shutdown.

        Args:
            name: The name of the server in metrics and logs.
            application: The ASGI application.
            address: ``host:port`` to listen on.
            budget: Bounds its connections; that of the callers by default.
            task_status: Started once the server serves.
        """
        monitor = connection_monitor.Monitor(name, self._metrics)
        server = light_server.LightServer(
            application, address, monitor, budget or self._budget
        )
        server.listen()
        self._servers.append(server)
        await server.run(task_status=task_status)

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                logs.event("signal", number=number)
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self._stopping.set()

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(SETTINGS_POLL_S)
            self._reload()

    def _reload(self) -> None:
        """Applies a changed settings file; an invalid one is ignored."""
        try:
            loaded = self._settings_file.changed()
        except errors.InvalidConfigurationError as error:
            logs.event("settings-refused", "ERROR", detail=error.detail)
            return
        if loaded is None or loaded == self._settings:
            return
        logs.event("settings-reloaded", seeds=",".join(loaded.seeds))
        self._settings = loaded
        self._directory.set_seeds(loaded.seed_vms)
