"""Brings the accepted configuration into force on this VM.

Explanation:
    A version that this VM hears of has been accepted: it comes from a local
    replica's applied log, from a quorum of the root group, or from a peer
    that has it in force. So any newer one is put in force at once, and an
    older one never is. On a VM with a disk a version is synced before it is
    in force, so that a restart does not go back behind it.

    A VM tells others its version when it changes, all or those that fetch
    it first, see `configuration_recipients`, and a few of them, in turn,
    every second, which covers notices that were lost at a cost that does
    not grow with the number of VMs. A VM that hears of a newer version
    fetches the differences from its own to it from one that has it, checks
    the digest after each, and fetches it whole where there are none.

    Of a failure domain one VM at a time fetches from another domain, drawn
    by the version; the others fetch from it. So a version crosses between
    two domains once, and its source serves few VMs.

    At the start a VM asks a quorum first. If none can be had in time it
    takes the newest that its disk or its own failure domain's VMs know.
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
"""Time between two looks at the local replica, whose snapshots are not
observed."""

TELL_S = 1.0
"""Time between two rounds of telling some VMs the version in force."""

FETCH_TIMEOUT_S = 1.0
"""Time that a peer has to answer with a version."""

REFRESH_TIMEOUT_S = 1.0
"""Time that a peer has to tell its version to a status."""

QUORUM_PREFERRED_S = 3.0
"""Time at the start in which only a quorum's answer counts."""


class ConfigurationSync(configuration_api.InForce):
    """Keeps the version in force on this VM up to date.

    Args:
        me: This VM.
        vms: All VMs.
        groups: Access to the root group.
        peers: Access to the other VMs.
        current: What holds the version in force.
        data_folder: Where to keep it across restarts, None without a disk.
        clock: The clock.
    """

    def __init__(
        self,
        me: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        groups: replication.Groups,
        peers: replication.Peers,
        current: current_configuration.Current,
        data_folder: pathlib.Path | None,
        clock: clocks.Clock,
    ) -> None:
        self._me = me
        self._vms = vms
        self._recipients = configuration_recipients.Recipients(me, vms)
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
        self._offered: configuration_versions.AcceptedConfiguration | None = (
            None
        )
        self._opened: configuration_versions.ParsedVersion | None = None
        self._steps = configuration_versions.StepQueue()
        self._decoder = configuration_decoding.Decoder()
        self._said: dict[str, messages.InForceNotice] = {}
        self._observed: replication.StateMachine | None = None
        self._sources = configuration_sources.Sources(me, vms, clock)
        self._tell_at = 0.0
        self._wake = trio.Event()
        self._ready = trio.Event()
        peers.on_notice(messages.InForceNotice, self._on_notice)
        peers.on_call(messages.FetchInForce, self._on_fetch)
        peers.on_call(messages.ReadInForce, self._on_read)

    @property
    def ready(self) -> bool:
        """Whether this VM knows what is in force, maybe that nothing is."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Waits until this VM knows what is in force."""
        await self._ready.wait()

    def offer(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Has an accepted version put in force soon, unless a newer one is."""
        if accepted.version > self._current.version:
            self._offered = accepted
            self._wake.set()

    def kept(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns an accepted version if it is in force here."""
        if self._accepted is not None and self._accepted.version == version:
            return self._accepted
        return None

    def _adopt(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Puts an accepted version in force unless a newer one is.

        Only `run` and its tasks call this, so that a failed disk ends them.

        Raises:
            errors.StorageError: It could not be synced.
        """
        if accepted.version <= self._current.version:
            return
        models = self._decoder.models_of(
            accepted, lambda: canonical.decode(accepted.body)
        )
        if models is not None:
            self._put(accepted, models)
            self._steps.clear()
            self._opened = None

    def _adopt_opened(
        self,
        reached: configuration_versions.ParsedVersion,
        steps: abc.Sequence[configuration_versions.VersionStep],
    ) -> None:
        """Does the same with a version that steps led to.

        They lead to it from the version in force, maybe from an older one.
        """
        accepted = reached.accepted
        before = self._current.versioned()
        version = self._current.version
        if accepted.version <= version:
            return
        changes = [step.change for step in steps if step.version > version]
        if before is None or len(changes) != accepted.version - version:
            self._adopt(accepted)
            return
        models = self._decoder.models_of(
            accepted,
            lambda: changed.decode(
                before.configuration, reached.document, changes
            ),
        )
        if models is not None:
            self._put(accepted, models)
            self._opened = reached
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
        self._tell(
            self._recipients.of_new(
                accepted.version,
                self._peers.reachable(),
                self._follows_root(),
            )
        )

    def _follows_root(self) -> bool:
        """Returns whether this VM has a root replica that does not lead."""
        has_replica = self._groups.local(ids.ROOT_GROUP) is not None
        return has_replica and not self._groups.leads(ids.ROOT_GROUP)

    def status(self) -> list[configuration_api.VmInForce]:
        """Returns what each VM last said is in force there."""
        reachable = self._peers.reachable() | {self._me.vm_id}
        return [self._status_of(vm, reachable) for vm in self._vms]

    async def refresh(self) -> None:
        """Asks the reachable VMs that are behind as far as known here."""
        notices = self._said.values()
        newest = max(
            [self._current.version, *(said.version for said in notices)]
        )
        async with trio.open_nursery() as nursery:
            for vm in self._peers.reachable() - {self._me.vm_id}:
                said = self._said.get(vm)
                if said is None or said.version < newest:
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
            kept = self._file.read()
            if kept is not None:
                self._adopt(kept)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start_up)
            nursery.start_soon(self._follow)

    async def _start_up(self) -> None:
        """Learns what is in force; a quorum's answer is preferred."""
        alone_from = self._clock.monotonic() + QUORUM_PREFERRED_S
        while not await self._ask_quorum():
            if self._clock.monotonic() >= alone_from:
                await self._ask_domain()
                if self._current.version:
                    break
            await trio.sleep(POLL_S)
        self._ready.set()
        logs.event("configuration-known", version=self._current.version)

    async def _ask_quorum(self) -> bool:
        """Returns whether a quorum of the root group told what is accepted."""
        return await self._update_by(self._ask_groups)

    async def _ask_domain(self) -> None:
        """Takes the newest version of all VMs of this VM's own domain."""
        async with trio.open_nursery() as nursery:
            for vm in self._vms:
                if vm.domain == self._me.domain and vm != self._me:
                    nursery.start_soon(self._fetch_from, vm.vm_id)

    async def _follow(self) -> None:
        while True:
            self._wake = trio.Event()
            self._take_offered()
            self._look_at_replica()
            await self._fetch_newer()
            self._tell_in_turn()
            with trio.move_on_after(POLL_S):
                await self._wake.wait()

    def _take_offered(self) -> None:
        offered, self._offered = self._offered, None
        if offered is None:
            return
        base = self._accepted
        if offered.step is not None and base is not None:
            with contextlib.suppress(difference.UnfitDifferenceError):
                reached = self._open(base).apply(offered.step)
                self._adopt_opened(reached, [offered.step])
                return
        self._adopt(offered)

    def _open(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> configuration_versions.ParsedVersion:
        """Returns a version with its values, which are kept for the newest."""
        if self._opened is None or self._opened.accepted is not accepted:
            self._opened = configuration_versions.parse_version(accepted)
        return self._opened

    def _look_at_replica(self) -> None:
        """Offers the newest version in this VM's root replica, if any."""
        machine = self._groups.local(ids.ROOT_GROUP)
        if machine is None:
            return
        if machine is not self._observed:
            self._observed = machine
            machine.observe(self._on_applied)
        log: configuration.ConfigurationLog = machine.component(
            configuration.COMPONENT_NAME
        )
        if log.current is None or log.version <= self._current.version:
            return
        steps = log.steps_since(self._current.version)
        if steps and log.parsed is not None:
            self._adopt_opened(log.parsed, steps)
        else:
            self._adopt(log.current)

    def _on_applied(self, command: object) -> None:
        if isinstance(command, configuration.Push):
            self._wake.set()

    async def _fetch_newer(self) -> None:
        """Fetches a version that another VM said is in force there."""
        newer = [
            said
            for said in self._said.values()
            if said.version > self._current.version
            and self._decoder.may_use(said.version, said.digest)
        ]
        if newer:
            newest = max(said.version for said in newer)
            sources = {said.vm for said in newer if said.version == newest}
            source = self._sources.choose(
                newest,
                self._current.version,
                sources,
                self._peers.reachable(),
            )
            if source is not None:
                await self._fetch_from(source)

    async def _fetch_from(self, vm: str) -> None:
        async def ask(
            version: int,
        ) -> configuration_versions.ConfigurationUpdate:
            return await self._ask_peer(vm, version)

        await self._update_by(ask)

    async def _update_by(self, ask: configuration_fetch.Ask) -> bool:
        """Fetches what is newer, by differences and else whole.

        Returns:
            Whether there was an answer.

        Raises:
            errors.StorageError: This VM could not sync what it got.
        """
        fetched = await configuration_fetch.fetch(
            ask, self._accepted, self._open
        )
        if fetched is None:
            return False
        if fetched.reached is not None:
            self._adopt_opened(fetched.reached, fetched.steps)
        elif fetched.whole is not None:
            self._adopt(fetched.whole)
        return True

    async def _ask_peer(
        self, vm: str, version: int
    ) -> configuration_versions.ConfigurationUpdate:
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        request = messages.FetchInForce(self._me.vm_id, version)
        update: configuration_versions.ConfigurationUpdate = (
            await self._peers.call(vm, request, deadline)
        )
        return update

    async def _ask_groups(
        self, version: int
    ) -> configuration_versions.ConfigurationUpdate:
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        update: configuration_versions.ConfigurationUpdate = (
            await self._groups.query(
                ids.ROOT_GROUP, configuration.ReadSince(version), deadline
            )
        )
        return update

    def _tell_in_turn(self) -> None:
        """Tells the next few VMs once a round is due."""
        now = self._clock.monotonic()
        if now >= self._tell_at:
            self._tell_at = now + TELL_S
            self._tell(self._recipients.of_round())

    def _tell(self, vms: abc.Iterable[str]) -> None:
        notice = self._notice()
        for vm in vms:
            self._peers.notify(vm, notice)

    def _notice(self) -> messages.InForceNotice:
        return messages.InForceNotice(
            self._me.vm_id, self._current.version, self._digest()
        )

    def _on_notice(self, notice: messages.InForceNotice) -> None:
        self._said[notice.vm] = notice
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
        if vm == self._me:
            said = self._notice()
        else:
            said = self._said.get(
                vm.vm_id, messages.InForceNotice(vm.vm_id, 0, "")
            )
        return configuration_api.VmInForce(
            vm.vm_id,
            vm.domain,
            vm.vm_id in reachable,
            said.version,
            said.digest,
        )
