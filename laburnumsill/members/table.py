"""The member table of one VM.

A member announces itself to any VM (`intake`), which forwards the announcement
to the member's two watchers in its failure domain (`watching`). The watchers
broadcast changes and declare members gone. Anti-entropy (`syncing`) repairs
the differences that lost notices leave. A backend server that is gone or
leaving gets no new work after 3 s; `timing` derives the timeouts from this
limit. Reports are merged by version, see `entries`.
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

CLEANUP_INTERVAL_S = 1.0
"""Time between two cleanups of expired and unconfirmed entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownMember:
    """A present member of the table.

    Attributes:
        member: The member.
        usable: Whether the member may get new work from this VM.
    """

    member: entries.Member
    usable: bool


class MemberTable(members.MemberView):
    """Table of the backend servers and workers that this VM knows.

    A member is usable if it may get new work from this VM: it is present and
    not leaving, its failure domain is reachable, and there is recent evidence
    that it is alive. All work is done synchronously, periodic work by `tick`.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        peers: replication.Peers,
        current: current_module.Current,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates an empty table and registers its handlers at `peers`.

        Args:
            local_vm: This VM.
            vms: All VMs, this one included.
            peers: The transport to the other VMs.
            current: The configuration in force.
            clock: The clock of this process.
            metrics: The metrics of this process.
        """
        self._local_vm = local_vm
        self._current = current
        self._clock = clock
        self._metrics = metrics
        self._reachability = reachability.Reachability(
            local_vm, vms, peers, clock
        )
        self._store = stores.MemberStore(topology.domains(vms), clock, metrics)
        self._outbox = outboxes.Outbox(local_vm.vm_id, peers, metrics)
        self._watcher = watching.Watcher(
            local_vm.vm_id,
            self._store.domains[local_vm.domain],
            self._store,
            self._outbox,
            clock,
            self._policy,
        )
        self._intake = intake.Intake(
            local_vm.vm_id,
            self._store,
            self._watcher,
            self._outbox,
            self._reachability,
            clock,
            self._policy,
        )
        self._syncer = syncing.Syncer(
            local_vm.vm_id,
            self._store,
            self._outbox,
            clock,
            self._intake.merge_row,
        )
        self._last_tick = clock.monotonic()
        self._resumed_at = -math.inf
        self._next_cleanup_at = -math.inf
        self._view_cache: dict[tuple[str, str], tuple[typing.Any, ...]] = {}
        self._store.observe(lambda change: self._view_cache.clear())
        self._register(peers)
        self._update_reachable()

    def servers(self, service: str) -> tuple[members.BackendServer, ...]:
        """Returns the usable backend servers of a service."""
        return self._usable_members(entries.SERVER, service)

    def workers(self, domain: str) -> tuple[members.Worker, ...]:
        """Returns the usable workers of a failure domain."""
        return self._usable_members(entries.WORKER, domain)

    def known_members(self, kind: str) -> list[KnownMember]:
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
            for member in self._usable_members(*group)
        }
        return [
            KnownMember(member, entries.member_key(member) in usable)
            for member in found
        ]

    def observe(self, observer: changes.Observer) -> None:
        """Registers an observer that is called with each change."""
        self._store.observe(observer)

    async def announce_server(
        self, server: members.BackendServer
    ) -> intake.AnnouncementResult:
        """Processes an announcement of a backend server.

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

    async def announce_worker(
        self, worker: members.Worker
    ) -> intake.AnnouncementResult:
        """Processes an announcement of a worker.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        return self._announce(worker)

    async def leave(self, kind: str, member_id: str, incarnation: str) -> None:
        """Records that a member has left; the operation is idempotent.

        Args:
            kind: `entries.SERVER` or `entries.WORKER`.
            member_id: Id of a worker, or `entries.server_member_id`.
            incarnation: The incarnation that leaves.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        self._update_reachable()
        self._intake.leave(kind, member_id, incarnation)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Calls `tick` every `timing.TICK_S` until cancelled."""
        task_status.started()
        while True:
            self.tick()
            await trio.sleep(timing.TICK_S)

    def tick(self) -> None:
        """Expires members, sends due probes, cleans up and flushes the outbox.

        After a stall, restarts the TTLs of watched members and probes all
        domains.
        """
        now = self._clock.monotonic()
        if now - self._last_tick > timing.STALL_TIMEOUT_S:
            self._resumed_at = now
            self._watcher.renew_expiries()
            self._syncer.schedule_probes()
        self._last_tick = now
        self._update_reachable()
        self._watcher.check_expiries()
        self._syncer.send_probes(self._reachability.by_domain)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_S
            self._clean_up(now)
        self._outbox.flush(self._reachability.vms)
        self._view_cache.clear()

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
        if self._reachability.update():
            self._watcher.set_vms(
                self._reachability.by_domain[self._local_vm.domain]
            )
            self._view_cache.clear()

    def _announce(self, member: entries.Member) -> intake.AnnouncementResult:
        self._update_reachable()
        self._metrics.count("announcements_total", kind=entries.kind_of(member))
        return self._intake.announce(member)

    def _on_probe(self, notice: messages.Probe) -> None:
        """Replies to a probe unless this VM stalled within the evidence TTL."""
        now = self._clock.monotonic()
        ticking = now - self._last_tick <= timing.STALL_TIMEOUT_S
        if ticking and now - self._resumed_at > timing.EVIDENCE_TTL_S:
            self._syncer.on_probe(notice)

    def _clean_up(self, now: float) -> None:
        """Removes old tombstones and unconfirmed entries; updates gauges."""
        self._watcher.count_watched()
        self._store.remove_tombstones(now - timing.TOMBSTONE_TTL_S)
        before = now - timing.UNCONFIRMED_TTL_S
        for name, domain in self._store.domains.items():
            self._metrics.gauge("members_known", len(domain), domain=name)
            if self._reachability.reachable_since(name) <= before:
                for entry in syncing.unconfirmed_entries(domain, before):
                    self._store.remove(entry)

    def _usable_members(self, kind: str, name: str) -> tuple[typing.Any, ...]:
        """Returns the usable members of a group; cached until the next change.

        There are none while this VM is stalled.
        """
        now = self._clock.monotonic()
        if now - self._last_tick > timing.STALL_TIMEOUT_S:
            return ()
        view = self._view_cache.get((kind, name))
        if view is None:
            view = tuple(
                entry.member
                for domain_name in self._reachability.by_domain
                for entry in self._usable_entries(
                    domain_name, (kind, name), now
                )
            )
            self._view_cache[(kind, name)] = view
        return view

    def _usable_entries(
        self, domain_name: str, group: entries.Group, now: float
    ) -> list[entries.Entry]:
        domain = self._store.domains[domain_name]
        return syncing.usable_entries(domain, group, now, self._resumed_at)
