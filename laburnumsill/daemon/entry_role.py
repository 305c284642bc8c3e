"""The daemon of an entry VM, which forwards callers' requests to the core."""

import pathlib

import trio

from laburnumsill.batch import gateway
from laburnumsill.config import site
from laburnumsill.consensus import remote_groups
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_lease
from laburnumsill.daemon import configuration_sharing
from laburnumsill.daemon import core_choice
from laburnumsill.daemon import metrics_app
from laburnumsill.daemon import role
from laburnumsill.daemon import role_settings
from laburnumsill.platform import caller_app
from laburnumsill.platform import decoding

READINESS_NOTICE_S = 2.6
"""Time between the loss of readiness and the end of the process. The balancer
probes once a second and stops sending calls after the second failed probe, and
a call takes up to a second."""


class EntryDaemon(role.RoleDaemon, caller_app.Front):
    """Daemon that forwards callers' requests to the core, without state."""

    def __init__(
        self, path: pathlib.Path, settings: role_settings.RoleSettings
    ) -> None:
        super().__init__(path, settings, on_demand=True)
        self._groups = remote_groups.RemoteGroups(
            self._vm.vm_id,
            self._network,
            self._clock,
            lambda: self._directory.vms,
        )
        self._lease = configuration_lease.ConfigurationLease(
            configuration_sharing.CoreSource(
                self._network,
                lambda: self._directory.vms,
                core_choice.CoreChoice(self._vm.vm_id, settings.failure_domain),
                self._clock,
            ),
            decoding.configuration,
            settings.bounds.key_revoked_ms,
            self._clock,
        )
        self._app = caller_app.CallerApp(
            self,
            gateway.JobGateway(role.SITE_GROUP, self._groups, self._clock),
            self._clock,
            self._metrics,
            settings.limits.submission_bytes,
        )

    @property
    def configuration(self) -> site.SiteConfiguration | None:
        """The configuration in force, see `caller_app.Front`."""
        return self._lease.current

    @property
    def may_refuse(self) -> bool:
        """Whether calls may be refused, see `caller_app.Front`."""
        return self._lease.may_refuse

    @property
    def ready(self) -> bool:
        """Whether the balancer may send calls here, see `caller_app.Front`."""
        return self._lease.fresh and not self.closing

    def _make_vm(self, settings: role_settings.RoleSettings) -> topology.Vm:
        return topology.Vm(
            f"entry-{settings.address}", settings.failure_domain, "", "", False
        )

    def _core_members(self) -> tuple[str, ...]:
        return ()

    async def _start(self, nursery: trio.Nursery) -> None:
        listen = self._settings.listen
        nursery.start_soon(self._lease.run)
        await nursery.start(self._serve, "callers", self._app, listen.callers)
        await nursery.start(
            self._serve,
            "readiness",
            self._app.ready,
            listen.readiness,
            self._probe_budget,
        )
        if listen.metrics:
            app = metrics_app.MetricsApp(self._metrics)
            await nursery.start(
                self._serve, "metrics", app, listen.metrics, self._probe_budget
            )

    async def _shut_down(self) -> None:
        await trio.sleep(READINESS_NOTICE_S)
