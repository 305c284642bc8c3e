"""The member table of one VM.

Announcements reach any VM (`intake`), which passes them to the member's two
watchers in its failure domain (`watching`); these broadcast changes and
declare who is gone. Anti-entropy (`syncing`) mends what notices missed. The
arithmetic of the 3 s within which a member that is gone or leaving gets no
new work is in `timing`; reports are joined by version, see `entries`.
"""

import dataclasses
import math
import typing
from collections import abc

import trio

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import members
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import changes
from laburnumsill.members import entries
from laburnumsill.members import errors as member_errors
from laburnumsill.members import intake
from laburnumsill.members import messages
from laburnumsill.members import outbox as outboxes
from laburnumsill.members import reachability
from laburnumsill.members import store as stores
from laburnumsill.members import syncing
from laburnumsill.members import timing
from laburnumsill.members import watching

HOUSEKEEPING_S = 1.0
"""Time between two rounds of housekeeping."""


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """A member that is known here, and whether it may get work from here."""

    member: entries.Member
    usable: bool


class MemberTable(members.MemberView):
    """What this VM knows of backend servers and workers.

    Everything but `run` is synchronous underneath: `tick` does one round.
    """

    def __init__(
        self,
        me: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        peers: replication.Peers,
        current: current_module.Current,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Makes an empty table.

        Args:
            me: This VM.
            vms: All VMs, this one too.
            peers: The other VMs; handlers are registered here.
            current: The configuration in force.
            clock: The clock of this process.
            metrics: Where counts go.
        """
        self._me = me
        self._current = current
        self._clock = clock
        self._metrics = metrics
        self._reach = reachability.Reachability(me, vms, peers, clock)
        self._store = stores.MemberStore(topology.domains(vms), clock, metrics)
        self._outbox = outboxes.Outbox(me.vm_id, peers, metrics)
        self._watcher = watching.Watcher(
            me.vm_id,
            self._store.domains[me.domain],
            self._store,
            self._outbox,
            clock,
            self._policy,
        )
        self._intake = intake.Intake(
            me.vm_id,
            self._store,
            self._watcher,
            self._outbox,
            self._reach,
            clock,
            self._policy,
        )
        self._syncer = syncing.Syncer(
            me.vm_id, self._store, self._outbox, clock, self._intake.join
        )
        self._last_tick = clock.monotonic()
        self._stalled_at = -math.inf
        self._housekeeping_at = -math.inf
        self._views: dict[tuple[str, str], tuple[typing.Any, ...]] = {}
        self._store.observe(lambda change: self._views.clear())
        self._register(peers)
        self._update_reachable()

    def servers(self, service: str) -> tuple[members.BackendServer, ...]:
        """Returns the backend servers of a service that may get work."""
        return self._view(entries.SERVER, service)

    def workers(self, domain: str) -> tuple[members.Worker, ...]:
        """Returns the workers of a failure domain that may get work."""
        return self._view(entries.WORKER, domain)

    def known(self, kind: str) -> list[Known]:
        """Returns all present members of a kind, usable or not.

        Args:
            kind: `entries.SERVER` or `entries.WORKER`.
        """
        found = [
            entry.member
            for domain in self._store.domains.values()
            for entry in domain
            if not entry.gone and entries.kind_of(entry.member) == kind
        ]
        groups = {entries.group_of(member) for member in found}
        usable = {
            entries.member_key(member)
            for group in groups
            for member in self._view(*group)
        }
        return [
            Known(member, entries.member_key(member) in usable)
            for member in found
        ]

    def observe(self, observer: changes.Observer) -> None:
        """Calls `observer` with each change that this VM learns of."""
        self._store.observe(observer)

    async def announce_server(
        self, server: members.BackendServer
    ) -> intake.Announced:
        """Takes a backend server's announcement.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        configuration = self._current.get()
        if (
            configuration is not None
            and server.service not in configuration.services
        ):
            raise member_errors.UnknownServiceError(
                f"no service {server.service!r}"
            )
        return self._announce(server)

    async def announce_worker(self, worker: members.Worker) -> intake.Announced:
        """Takes a worker's announcement.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        return self._announce(worker)

    async def leave(self, kind: str, member_id: str, incarnation: str) -> None:
        """Notes that a member is gone; repeating it is harmless.

        Args:
            kind: `entries.SERVER` or `entries.WORKER`.
            member_id: A worker's id, or `entries.server_member_id`.
            incarnation: The incarnation that leaves.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        self._update_reachable()
        self._intake.leave(kind, member_id, incarnation)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Does a round every `timing.TICK_S` until cancelled."""
        task_status.started()
        while True:
            self.tick()
            await trio.sleep(timing.TICK_S)

    def tick(self) -> None:
        """Does one round: expiry, probes, and sending what has gathered."""
        now = self._clock.monotonic()
        if now - self._last_tick > timing.STALL_S:
            self._stalled_at = now
            self._watcher.renew()
            self._syncer.probe_soon()
        self._last_tick = now
        self._update_reachable()
        self._watcher.expire()
        self._syncer.probe(self._reach.by_domain)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_S
            self._housekeep(now)
        self._outbox.flush(self._reach.vms)
        self._views.clear()

    def _register(self, peers: replication.Peers) -> None:
        notices: dict[type, abc.Callable[[typing.Any], None]] = {
            messages.Rows: self._intake.on_rows,
            messages.Heartbeats: self._intake.on_heartbeats,
            messages.RowRequest: self._intake.on_row_request,
            messages.Suspicion: self._watcher.on_suspicion,
            messages.SuspicionReply: self._watcher.on_suspicion_reply,
            messages.Probe: self._on_probe,
            messages.Agreed: self._syncer.on_agreed,
            messages.Differs: self._syncer.on_differs,
            messages.Pull: self._syncer.on_pull,
            messages.Pulled: self._syncer.on_pulled,
        }
        for kind, handler in notices.items():
            peers.on_notice(kind, handler)

    def _policy(self) -> models.MemberPolicy:
        configuration = self._current.get()
        if configuration is None:
            return models.MemberPolicy()
        return configuration.members

    def _update_reachable(self) -> None:
        if self._reach.update():
            self._watcher.set_vms(self._reach.by_domain[self._me.domain])
            self._views.clear()

    def _announce(self, member: entries.Member) -> intake.Announced:
        self._update_reachable()
        self._metrics.count("announcements_total", kind=entries.kind_of(member))
        return self._intake.announce(member)

    def _on_probe(self, notice: messages.Probe) -> None:
        """Answers a probe, but not just after this VM stood still."""
        now = self._clock.monotonic()
        ticking = now - self._last_tick <= timing.STALL_S
        if ticking and now - self._stalled_at > timing.CONFIRM_S:
            self._syncer.on_probe(notice)

    def _housekeep(self, now: float) -> None:
        """Drops what nothing speaks for any more."""
        self._watcher.count_watched()
        self._store.forget_gone(now - timing.TOMBSTONE_S)
        before = now - timing.DROP_S
        for name, domain in self._store.domains.items():
            self._metrics.gauge("members_known", len(domain), domain=name)
            if self._reach.since(name) <= before:
                for entry in syncing.unconfirmed(domain, before):
                    self._store.forget(entry)

    def _view(self, kind: str, name: str) -> tuple[typing.Any, ...]:
        """Returns the usable members; remembered until the next change."""
        now = self._clock.monotonic()
        if now - self._last_tick > timing.STALL_S:
            return ()
        view = self._views.get((kind, name))
        if view is None:
            view = tuple(
                entry.member
                for domain_name in self._reach.by_domain
                for entry in self._usable(domain_name, (kind, name), now)
            )
            self._views[(kind, name)] = view
        return view

    def _usable(
        self, domain_name: str, group: entries.Group, now: float
    ) -> list[entries.Entry]:
        domain = self._store.domains[domain_name]
        return syncing.usable(domain, group, now, self._stalled_at)
