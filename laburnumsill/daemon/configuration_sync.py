"""Brings the accepted configuration into force on this VM.

Explanation:
    Every version that this VM receives is an accepted one: it comes from a
    local replica's applied log, from a quorum of the root group, or from a
    peer on which it is in force. A newer version is therefore put in force
    at once, and an older one never is. A VM with a disk syncs a version
    before putting it in force, so that a restart does not revert to an older
    one.

    When its version changes, a VM notifies the others: all of them, or those
    that fetch the version first, see `configuration_recipients`. Every second
    it also notifies a few VMs in round-robin order. This covers lost notices
    at a cost that does not grow with the number of VMs. A VM that is notified
    of a newer version fetches the differences from its own version to that
    one from a VM that has it, and checks the digest after each; if there are
    no differences, it fetches the whole version.

    In each failure domain one VM, selected by rendezvous hashing of the
    version, fetches from another domain, and the others fetch from that VM.
    A version therefore crosses between two domains once, and its source
    serves few VMs.

    At startup a VM queries a quorum first. If no quorum answers in time, it
    uses the newest version on its disk or on the VMs of its own failure
    domain.
"""

import contextlib
import pathlib
from collections import abc

import trio

from laburnumsill.api import configuration as configuration_api
from laburnumsill.config import canonical
from laburnumsill.config import changed
from laburnumsill.config import current as current_configuration
from laburnumsill.config import difference
from laburnumsill.config import models as configuration_models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_decoding
from laburnumsill.daemon import configuration_fetch
from laburnumsill.daemon import configuration_file
from laburnumsill.daemon import configuration_messages as messages
from laburnumsill.daemon import configuration_recipients
from laburnumsill.daemon import configuration_sources
from laburnumsill.state import configuration
from laburnumsill.state import configuration_versions

POLL_S = 0.2
"""Interval at which the local replica is polled. Observers of a replica are
not called when it installs a snapshot."""

NOTIFY_INTERVAL_S = 1.0
"""Interval at which the next few VMs are notified of the version in force."""

FETCH_TIMEOUT_S = 1.0
"""Timeout of a request for a version."""

REFRESH_TIMEOUT_S = 1.0
"""Timeout of a request to a peer when the status is refreshed."""

QUORUM_ONLY_S = 3.0
"""Time at startup during which only a quorum is queried. Afterwards the VMs of
the own failure domain are queried as well."""


class ConfigurationSync(configuration_api.InForce):
    """Keeps the version in force on this VM up to date.

    Args:
        local_vm: This VM.
        vms: All VMs.
        groups: Access to the root group.
        peers: Access to the other VMs.
        current: Holder of the version in force.
        data_folder: Folder that stores the version across restarts, None on a
            VM without a disk.
        clock: The clock.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        groups: replication.Groups,
        peers: replication.Peers,
        current: current_configuration.Current,
        data_folder: pathlib.Path | None,
        clock: clocks.Clock,
    ) -> None:
        self._local_vm = local_vm
        self._vms = vms
        self._recipients = configuration_recipients.Recipients(local_vm, vms)
        self._groups = groups
        self._peers = peers
        self._current = current
        self._clock = clock
        self._file = (
            configuration_file.ConfigurationFile(data_folder)
            if data_folder
            else None
        )
        self._accepted: configuration_versions.AcceptedConfiguration | None = (
            None
        )
        self._offered_version: (
            configuration_versions.AcceptedConfiguration | None
        ) = None
        self._parsed_version: configuration_versions.ParsedVersion | None = None
        self._steps = configuration_versions.StepQueue()
        self._decoder = configuration_decoding.Decoder()
        self._notices: dict[str, messages.InForceNotice] = {}
        self._observed_machine: replication.StateMachine | None = None
        self._sources = configuration_sources.Sources(local_vm, vms, clock)
        self._next_round_at = 0.0
        self._wake = trio.Event()
        self._ready = trio.Event()
        peers.on_notice(messages.InForceNotice, self._on_notice)
        peers.on_call(messages.FetchInForce, self._on_fetch)
        peers.on_call(messages.ReadInForce, self._on_read)

    @property
    def ready(self) -> bool:
        """Whether this VM knows the version in force, or that there is none."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Waits until `ready` is true."""
        await self._ready.wait()

    def offer(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Schedules an accepted version to be put in force if it is newer."""
        if accepted.version > self._current.version:
            self._offered_version = accepted
            self._wake.set()

    def kept(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns the accepted version `version` if it is in force here."""
        if self._accepted is not None and self._accepted.version == version:
            return self._accepted
        return None

    def _adopt(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Puts an accepted version in force if it is newer.

        Only `run` and its tasks call this, so that a disk failure ends them.

        Raises:
            errors.StorageError: The version could not be synced.
        """
        if accepted.version <= self._current.version:
            return
        models = self._decoder.decode(
            accepted, lambda: canonical.decode(accepted.body)
        )
        if models is not None:
            self._put(accepted, models)
            self._steps.clear()
            self._parsed_version = None

    def _adopt_patched(
        self,
        patched: configuration_versions.ParsedVersion,
        steps: abc.Sequence[configuration_versions.VersionStep],
    ) -> None:
        """Puts a version in force that was obtained by applying steps.

        Args:
            patched: The version after the steps.
            steps: The steps, from the version in force or an older one.
        """
        accepted = patched.accepted
        before = self._current.versioned()
        version = self._current.version
        if accepted.version <= version:
            return
        changes = [step.change for step in steps if step.version > version]
        if before is None or len(changes) != accepted.version - version:
            self._adopt(accepted)
            return
        models = self._decoder.decode(
            accepted,
            lambda: changed.decode(
                before.configuration, patched.document, changes
            ),
        )
        if models is not None:
            self._put(accepted, models)
            self._parsed_version = patched
            for step in steps:
                self._steps.add(step)

    def _put(
        self,
        accepted: configuration_versions.AcceptedConfiguration,
        models: configuration_models.Configuration,
    ) -> None:
        if self._file is not None:
            self._file.write(accepted)
        self._accepted = accepted
        self._current.put(
            current_configuration.Versioned(
                accepted.version, accepted.digest, models
            )
        )
        logs.event(
            "configuration-in-force",
            version=accepted.version,
            digest=accepted.digest,
            operator=accepted.operator,
        )
        self._notify(
            self._recipients.for_new_version(
                accepted.version,
                self._peers.reachable(),
                self._is_root_follower(),
            )
        )

    def _is_root_follower(self) -> bool:
        """Returns whether this VM has a root replica and is not the leader."""
        has_replica = (
            self._groups.local_state_machine(ids.ROOT_GROUP) is not None
        )
        return has_replica and not self._groups.leads(ids.ROOT_GROUP)

    def status(self) -> list[configuration_api.VmInForce]:
        """Returns the version in force on each VM by its last notice."""
        reachable = self._peers.reachable() | {self._local_vm.vm_id}
        return [self._status_of(vm, reachable) for vm in self._vms]

    async def refresh(self) -> None:
        """Queries the reachable VMs whose last notice is missing or old."""
        notices = self._notices.values()
        newest = max(
            [self._current.version, *(notice.version for notice in notices)]
        )
        async with trio.open_nursery() as nursery:
            for vm in self._peers.reachable() - {self._local_vm.vm_id}:
                notice = self._notices.get(vm)
                if notice is None or notice.version < newest:
                    nursery.start_soon(self._refresh_from, vm)

    async def _refresh_from(self, vm: str) -> None:
        deadline = self._clock.monotonic() + REFRESH_TIMEOUT_S
        try:
            notice = await self._peers.call(
                vm, messages.ReadInForce(), deadline
            )
        except errors.LaburnumsillError as error:
            logs.event(
                "configuration-status-failed",
                level="DEBUG",
                peer=vm,
                error=error,
            )
            return
        self._on_notice(notice)

    async def run(self) -> None:
        """Runs until cancelled.

        Raises:
            errors.StorageError: A version could not be synced.
        """
        if self._file is not None:
            stored = self._file.read()
            if stored is not None:
                self._adopt(stored)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start_up)
            nursery.start_soon(self._run_updates)

    async def _start_up(self) -> None:
        """Determines the version in force, preferably from a quorum."""
        quorum_only_until = self._clock.monotonic() + QUORUM_ONLY_S
        while not await self._fetch_from_quorum():
            if self._clock.monotonic() >= quorum_only_until:
                await self._fetch_from_domain()
                if self._current.version:
                    break
            await trio.sleep(POLL_S)
        self._ready.set()
        logs.event("configuration-known", version=self._current.version)

    async def _fetch_from_quorum(self) -> bool:
        """Updates this VM from a quorum; returns whether it answered."""
        return await self._update_from(self._query_root_group)

    async def _fetch_from_domain(self) -> None:
        """Updates this VM from all other VMs of its failure domain."""
        async with trio.open_nursery() as nursery:
            for vm in self._vms:
                if vm.domain == self._local_vm.domain and vm != self._local_vm:
                    nursery.start_soon(self._fetch_from, vm.vm_id)

    async def _run_updates(self) -> None:
        while True:
            self._wake = trio.Event()
            self._adopt_offered()
            self._adopt_replicated()
            await self._fetch_newer()
            self._notify_next()
            with trio.move_on_after(POLL_S):
                await self._wake.wait()

    def _adopt_offered(self) -> None:
        offered, self._offered_version = self._offered_version, None
        if offered is None:
            return
        base = self._accepted
        if offered.step is not None and base is not None:
            with contextlib.suppress(difference.UnfitDifferenceError):
                patched = self._parse(base).apply(offered.step)
                self._adopt_patched(patched, [offered.step])
                return
        self._adopt(offered)

    def _parse(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> configuration_versions.ParsedVersion:
        """Returns a version with its parsed document, which is cached."""
        if (
            self._parsed_version is None
            or self._parsed_version.accepted is not accepted
        ):
            self._parsed_version = configuration_versions.parse_version(
                accepted
            )
        return self._parsed_version

    def _adopt_replicated(self) -> None:
        """Adopts the newest version in this VM's root replica, if any."""
        machine = self._groups.local_state_machine(ids.ROOT_GROUP)
        if machine is None:
            return
        if machine is not self._observed_machine:
            self._observed_machine = machine
            machine.observe(self._on_applied)
        log: configuration.ConfigurationLog = machine.component(
            configuration.COMPONENT_NAME
        )
        if log.current is None or log.version <= self._current.version:
            return
        steps = log.steps_since(self._current.version)
        if steps and log.parsed is not None:
            self._adopt_patched(log.parsed, steps)
        else:
            self._adopt(log.current)

    def _on_applied(self, command: object) -> None:
        if isinstance(command, configuration.Push):
            self._wake.set()

    async def _fetch_newer(self) -> None:
        """Fetches the newest version that another VM has in force, if newer."""
        newer = [
            notice
            for notice in self._notices.values()
            if notice.version > self._current.version
            and self._decoder.may_decode(notice.version, notice.digest)
        ]
        if newer:
            newest = max(notice.version for notice in newer)
            sources = {
                notice.vm for notice in newer if notice.version == newest
            }
            source = self._sources.choose(
                newest,
                self._current.version,
                sources,
                self._peers.reachable(),
            )
            if source is not None:
                await self._fetch_from(source)

    async def _fetch_from(self, vm: str) -> None:
        async def query(
            version: int,
        ) -> configuration_versions.ConfigurationUpdate:
            return await self._query_peer(vm, version)

        await self._update_from(query)

    async def _update_from(self, query: configuration_fetch.Query) -> bool:
        """Fetches a newer version, by differences or whole, and adopts it.

        Returns:
            Whether the query was answered.

        Raises:
            errors.StorageError: The fetched version could not be synced.
        """
        fetched = await configuration_fetch.fetch(
            query, self._accepted, self._parse
        )
        if fetched is None:
            return False
        if fetched.patched is not None:
            self._adopt_patched(fetched.patched, fetched.steps)
        elif fetched.whole is not None:
            self._adopt(fetched.whole)
        return True

    async def _query_peer(
        self, vm: str, version: int
    ) -> configuration_versions.ConfigurationUpdate:
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        request = messages.FetchInForce(self._local_vm.vm_id, version)
        update: configuration_versions.ConfigurationUpdate = (
            await self._peers.call(vm, request, deadline)
        )
        return update

    async def _query_root_group(
        self, version: int
    ) -> configuration_versions.ConfigurationUpdate:
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        update: configuration_versions.ConfigurationUpdate = (
            await self._groups.query(
                ids.ROOT_GROUP, configuration.ReadSince(version), deadline
            )
        )
        return update

    def _notify_next(self) -> None:
        """Notifies the next few VMs if `NOTIFY_INTERVAL_S` has passed."""
        now = self._clock.monotonic()
        if now >= self._next_round_at:
            self._next_round_at = now + NOTIFY_INTERVAL_S
            self._notify(self._recipients.for_next_round())

    def _notify(self, vms: abc.Iterable[str]) -> None:
        notice = self._notice()
        for vm in vms:
            self._peers.notify(vm, notice)

    def _notice(self) -> messages.InForceNotice:
        return messages.InForceNotice(
            self._local_vm.vm_id, self._current.version, self._digest()
        )

    def _on_notice(self, notice: messages.InForceNotice) -> None:
        self._notices[notice.vm] = notice
        if notice.version > self._current.version:
            self._wake.set()
        same = notice.version == self._current.version
        if same and notice.digest != self._digest():
            logs.event(
                "configuration-differs",
                level="ERROR",
                peer=notice.vm,
                version=notice.version,
                here=self._digest(),
                there=notice.digest,
            )

    async def _on_read(
        self, request: messages.ReadInForce
    ) -> messages.InForceNotice:
        return self._notice()

    async def _on_fetch(
        self, request: messages.FetchInForce
    ) -> configuration_versions.ConfigurationUpdate:
        return configuration_versions.update_since(
            request.version, self._accepted, self._steps
        )

    def _digest(self) -> str:
        return self._accepted.digest if self._accepted else ""

    def _status_of(
        self, vm: topology.Vm, reachable: abc.Set[str]
    ) -> configuration_api.VmInForce:
        if vm == self._local_vm:
            notice = self._notice()
        else:
            notice = self._notices.get(
                vm.vm_id, messages.InForceNotice(vm.vm_id, 0, "")
            )
        return configuration_api.VmInForce(
            vm.vm_id,
            vm.domain,
            vm.vm_id in reachable,
            notice.version,
            notice.digest,
        )
