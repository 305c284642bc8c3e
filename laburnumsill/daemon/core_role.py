"""The daemon of a core VM: replicated state, scheduler, control API."""

import pathlib
from collections import abc

import trio

from laburnumsill.batch import domain_gateway
from laburnumsill.batch import intake
from laburnumsill.batch import leading
from laburnumsill.batch import ledger
from laburnumsill.batch import parts
from laburnumsill.batch import policy as policies
from laburnumsill.batch import queue_pools
from laburnumsill.batch import scheduler
from laburnumsill.config import site
from laburnumsill.consensus import host as group_host
from laburnumsill.consensus import options as consensus_options
from laburnumsill.consensus import voter_choice
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_sharing
from laburnumsill.daemon import metrics_app
from laburnumsill.daemon import role
from laburnumsill.daemon import role_settings
from laburnumsill.platform import control_app
from laburnumsill.platform import decoding
from laburnumsill.platform import workers
from laburnumsill.state import highest_version

ELECTION_TIMEOUT_S = 0.8
"""Maximum election timeout: ten round trips to the furthest VM and a slow sync.
Followers adapt a shorter one."""

HEARTBEAT_S = 0.1
"""The failure of a leader is detected 0.3 to 0.6 s after its last heartbeat. An
urgent job of 2.5 s has a slack of 1.5 s, of which about a second remains."""

SNAPSHOT_LOG_BYTES = 2 * 1024 * 1024
"""The log since the last snapshot is held in memory, which is scarce."""

ANSWER_GRACE_S = 0.3
"""Time to complete pending answers after the leadership was transferred."""

TRANSFER_TIMEOUT_S = 2.0


def site_machine(group: str) -> replication.StateMachine:
    """Returns an empty state machine of the site's group."""
    return replication.StateMachine(
        highest_version.HighestVersion(), ledger.BatchLedger()
    )


class CoreDaemon(role.RoleDaemon):
    """Daemon with a replica of the site's state, and the leader's scheduler."""

    def __init__(
        self, path: pathlib.Path, settings: role_settings.RoleSettings
    ) -> None:
        super().__init__(path, settings)
        initial_voters = settings.seed_vms if settings.founding else ()
        self._host = group_host.GroupHost(
            self._vm,
            self._initial_vms(settings),
            self._network,
            self._make_machine,
            pathlib.Path(settings.data_folder or "."),
            self._clock,
            self._metrics,
            consensus_options.Options(ELECTION_TIMEOUT_S, HEARTBEAT_S),
            group_host.SnapshotLimits(log_bytes=SNAPSHOT_LOG_BYTES),
            {role.SITE_GROUP: initial_voters},
            voter_choice.VoterChoice(2 * settings.tolerated_losses + 1),
        )
        self._set_desired_voters()
        self._configuration: site.SiteConfiguration | None = None
        self._queue_pools = queue_pools.NOT_CONFIGURED
        self._chosen_policy = policies.ALL
        self._policy_basis: tuple[
            site.SiteConfiguration | None, role_settings.RoleSettings | None
        ] = (None, None)
        self._scheduler = scheduler.Scheduler(
            leading.SchedulerContext(
                role.SITE_GROUP,
                self._host,
                workers.PlatformWorkerClient(self._clock),
                self._guarantees,
                self._clock,
                self._metrics,
                leading.WorkerLimits(
                    settings.bounds.longest_lease_ms,
                    settings.bounds.stop_grace_ms,
                    settings.bounds.restore_ms,
                ),
                self._pools,
                self._policy,
                self._queues,
            )
        )
        self._responder = configuration_sharing.ConfigurationResponder(
            role.SITE_GROUP,
            self._host,
            self._network,
            settings.failure_domain,
            self._clock,
        )
        self._intake = intake.WorkerIntake(
            self._vm.vm_id,
            role.SITE_GROUP,
            self._host,
            self._network,
            self._scheduler,
            self._pools,
            self._clock,
        )
        self._domains = domain_gateway.DomainGateway(
            role.SITE_GROUP,
            self._host,
            self._known_domains,
            self._clock,
        )

    def _make_vm(self, settings: role_settings.RoleSettings) -> topology.Vm:
        return topology.Vm(
            settings.address,
            settings.failure_domain,
            settings.listen.control,
            settings.peer_address(settings.address),
            True,
        )

    def _initial_vms(
        self, settings: role_settings.RoleSettings
    ) -> list[topology.Vm]:
        """Returns the VMs that bootstrap the group; each has a disk."""
        vms = dict.fromkeys((*settings.seed_vms, settings.address))
        return [
            topology.Vm(vm, "", "", settings.peer_address(vm), True)
            for vm in vms
        ]

    def _core_members(self) -> tuple[str, ...]:
        return self._host.members(role.SITE_GROUP)

    async def _start(self, nursery: trio.Nursery) -> None:
        self._directory.answer_questions()
        await nursery.start(self._host.run)
        nursery.start_soon(self._run_desired_voters)
        nursery.start_soon(self._scheduler.run)
        listen = self._settings.listen
        control_port = int(listen.control.rpartition(":")[2])
        app = control_app.ControlApp(
            role.SITE_GROUP,
            self._host,
            self._intake,
            self._domains,
            control_port,
            self._clock,
            self._metrics,
        )
        await nursery.start(self._serve, "control", app, listen.control)
        if listen.metrics:
            metrics = metrics_app.MetricsApp(self._metrics)
            await nursery.start(
                self._serve,
                "metrics",
                metrics,
                listen.metrics,
                self._probe_budget,
            )

    async def _shut_down(self) -> None:
        with trio.move_on_after(TRANSFER_TIMEOUT_S):
            await self._host.transfer_leaderships()
        await trio.sleep(ANSWER_GRACE_S)

    def _make_machine(self, group: str) -> replication.StateMachine:
        """Returns an empty state machine that the scheduler observes."""
        machine = site_machine(group)
        self._scheduler.observe_machine(machine)
        return machine

    def _set_desired_voters(self) -> None:
        """Passes the VMs that may have replicas to the host.

        The host asks them to let it join the group.
        """
        vms = dict.fromkeys(
            (
                self._vm.vm_id,
                *self._core_members(),
                *self._directory.vms,
                *self._settings.seed_vms,
            )
        )
        self._host.set_desired_voters({role.SITE_GROUP: tuple(vms)})

    async def _run_desired_voters(self) -> None:
        while True:
            self._set_desired_voters()
            await trio.sleep(role.SETTINGS_POLL_S)

    def _known_domains(self) -> abc.Collection[str]:
        return (
            self._settings.failure_domain,
            *self._settings.failure_domains,
        )

    def _guarantees(self) -> abc.Mapping[str, int]:
        """Returns the guaranteed accelerators of the newest configuration."""
        newest = self._newest_configuration()
        return newest.guarantees if newest else {}

    def _policy(self) -> policies.Policy:
        """Returns the mechanisms that settings and configuration turn on."""
        newest = self._newest_configuration()
        basis = (newest, self._settings)
        if basis != self._policy_basis:
            scheduling = self._settings.scheduling
            switches = parts.Parts(
                scheduling.deferred_preemption,
                scheduling.saved_progress,
                scheduling.leaving_workers,
            )
            queues = newest.queues if newest else ()
            restore_ms = self._settings.bounds.restore_ms
            self._chosen_policy = switches.restrict(
                policies.ALL, queues, restore_ms
            )
            self._policy_basis = basis
        return self._chosen_policy

    def _pools(self) -> abc.Set[str]:
        """Returns the pools that the newest configuration names."""
        newest = self._newest_configuration()
        return newest.pool_names if newest else frozenset()

    def _queues(self) -> queue_pools.ConfiguredPools:
        """Returns the pools of the queues in the newest configuration."""
        newest = self._newest_configuration()
        if newest is not None and newest.version != self._queue_pools.version:
            self._queue_pools = queue_pools.ConfiguredPools(
                newest.version,
                {queue.name: queue.pool for queue in newest.queues},
            )
        return self._queue_pools

    def _newest_configuration(self) -> site.SiteConfiguration | None:
        """Returns the newest configuration in this VM's replica."""
        machine = self._host.local_state_machine(role.SITE_GROUP)
        if machine is None:
            return None
        component: highest_version.HighestVersion = machine.component(
            highest_version.HighestVersion.name
        )
        held = component.held
        decoded = self._configuration
        if held.packed and (decoded is None or decoded.version != held.version):
            document = highest_version.unpack(held.packed)
            self._configuration = decoding.configuration(document)
            logs.event("configuration-in-force", version=held.version)
        return self._configuration
