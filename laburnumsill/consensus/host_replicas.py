"""The replicas of one VM and the driver that runs their engines.

All engines share one task, one timer and the peer connections: messages of
several groups to the same VM are sent in one frame.
"""

import dataclasses
import math
import pathlib
import random
from collections import abc

import trio

from laburnumsill.consensus import codec_raft
from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import group as groups
from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import turns
from laburnumsill.wire import network as networks
from laburnumsill.wire.generated.peer import ttypes

MAX_SLEEP_S = 1.0
"""Longest time between two iterations of the driver, in seconds."""

OPEN_RETRY_S = 1.0
"""Delay between attempts to open a store on a full disk, in seconds. A replica
has to take part again within 2 s after space becomes free, and each attempt
reads the whole store."""

_FOLDER = "groups"
_SET_ASIDE = ".set-aside"


class Replicas:
    """Opens, runs and closes the replicas of one VM.

    Args:
        vm: The id of this VM.
        network: The connections to the other VMs.
        make_machine: Creates the empty state machine of a group.
        data_folder: The folder of the replicas' stores, or None without a disk.
        clock: The clock of this process.
        options: The settings of the engine.
        limits: The limits after which a snapshot is taken.
    """

    def __init__(
        self,
        vm: str,
        network: networks.PeerNetwork,
        make_machine: abc.Callable[[str], replication.StateMachine],
        data_folder: pathlib.Path | None,
        clock: clocks.Clock,
        options: engines.Options,
        limits: groups.SnapshotLimits,
    ) -> None:
        self._vm = vm
        self._network = network
        self._make_machine = make_machine
        self._folder = data_folder / _FOLDER if data_folder else None
        self._clock = clock
        self._options = options
        self._limits = limits
        self._random = random.Random()
        self._hosted: dict[str, groups.HostedGroup] = {}
        self._syncs: dict[str, _SyncTask] = {}
        self._scheduled: set[str] = set()
        self._waiting_for_space: dict[str, float] = {}
        self._wakeup = trio.Event()
        self._failure: Exception | None = None
        self._membership_committed = trio.Event()
        network.on_raft(self._on_raft_messages)

    @property
    def hosted(self) -> abc.Mapping[str, groups.HostedGroup]:
        """The replicas by group."""
        return self._hosted

    @property
    def waiting_for_space(self) -> abc.Set[str]:
        """The groups whose stores could not be opened on a full disk."""
        return self._waiting_for_space.keys()

    def stored_groups(self) -> list[str]:
        """Returns the names of the groups with a store in the data folder."""
        if self._folder is None or not self._folder.exists():
            return []
        names = (path.name for path in self._folder.iterdir())
        return sorted(name for name in names if _SET_ASIDE not in name)

    async def wait_membership_committed(self) -> None:
        """Waits until a membership change of a group led here is committed."""
        await self._membership_committed.wait()

    async def open(self, name: str, nursery: trio.Nursery) -> None:
        """Opens this VM's replica of a group.

        A damaged store is set aside, and the replica starts empty under a new
        incarnation. On a full disk nothing is opened; the caller retries.

        Raises:
            StorageError: The disk failed.
        """
        now = self._clock.monotonic()
        if now < self._waiting_for_space.get(name, now):
            return
        try:
            replica_store = await self._open_store(name)
        except store.DiskFullError as error:
            self._on_disk_full(name, error)
            return
        if self._waiting_for_space.pop(name, None) is not None:
            logs.event("disk-room", "WARNING", group=name)
        group = groups.HostedGroup(
            name,
            self._vm,
            replica_store,
            self._make_machine(name),
            self._clock,
            self._options,
            self._limits,
            self._random,
        )
        logs.event(
            "replica-opened",
            group=name,
            incarnation=group.replica_id.incarnation,
            fresh=group.is_fresh,
            disk=replica_store.with_disk,
            last_index=group.engine.last_index,
        )
        self._hosted[name] = group
        if replica_store.with_disk:
            self._syncs[name] = _SyncTask()
            nursery.start_soon(self._run_sync_loop, group, self._syncs[name])
        self.schedule(name)

    def _on_disk_full(self, name: str, error: store.DiskFullError) -> None:
        if name not in self._waiting_for_space:
            logs.event("disk-full", "ERROR", group=name, detail=error.detail)
        self._waiting_for_space[name] = self._clock.monotonic() + OPEN_RETRY_S

    async def retire(self, name: str) -> None:
        """Stops a replica that was removed from its group.

        Its files are set aside, never deleted. On a full disk they stay in
        place; a replica opened from them discovers its removal again.

        Raises:
            StorageError: The disk failed.
        """
        logs.event("replica-retired", group=name)
        self._hosted.pop(name).stop()
        task = self._syncs.pop(name, None)
        if task is None or self._folder is None:
            return
        task.scope.cancel()
        await task.ended.wait()
        folder = self._folder / name
        try:
            await trio.to_thread.run_sync(store_disk.set_aside, folder)
        except store.DiskFullError as error:
            logs.event("set-aside-put-off", "ERROR", detail=error.detail)

    def stop(self) -> None:
        """Stops all replicas; the sync tasks close the stores on disk."""
        for name in list(self._hosted):
            self._hosted.pop(name).stop()

    def schedule(self, name: str) -> None:
        """Schedules the output of a group for the driver's next iteration."""
        self._scheduled.add(name)
        self._wakeup.set()

    async def drive(self) -> None:
        """Runs the engines of all replicas until cancelled.

        Raises:
            StorageError: A disk failed, or an invariant of the log is broken.
        """
        while True:
            wait_s = self._next_tick_at() - self._clock.monotonic()
            with trio.move_on_after(min(max(0.0, wait_s), MAX_SLEEP_S)):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            if self._failure is not None:
                raise self._failure
            await self._read_arrived()
            self._tick()
            self._process_output()

    async def _read_arrived(self) -> None:
        """Lets the connections read what has arrived, if an engine is due.

        After a time in which this process stood still, the sockets may hold
        messages that show others alive that seem to have been silent.
        """
        if self._next_tick_at() <= self._clock.monotonic():
            await turns.run_readers()

    def _next_tick_at(self) -> float:
        """Returns when an engine is due next, in monotonic seconds."""
        return min(
            (group.next_tick_at for group in self._hosted.values()),
            default=math.inf,
        )

    def _tick(self) -> None:
        now = self._clock.monotonic()
        for name, group in self._hosted.items():
            if group.next_tick_at <= now:
                group.tick(now)
                self._scheduled.add(name)

    def _on_raft_messages(
        self, messages: abc.Sequence[ttypes.RaftMessage]
    ) -> None:
        """Steps the messages of one frame, then sends all replies together."""
        try:
            for raft_message in messages:
                self._step(raft_message)
            self._process_output()
        except Exception as error:  # raised by the driver, not by the network
            self._failure = error
            self._wakeup.set()

    def _step(self, raft_message: ttypes.RaftMessage) -> None:
        group = self._hosted.get(raft_message.group)
        if group is None:
            return
        try:
            message = codec_raft.from_thrift(raft_message)
        except codec_raft.MalformedRaftMessageError as error:
            logs.event("raft-malformed", level="ERROR", detail=error.detail)
            return
        group.step(message)
        self._scheduled.add(group.name)

    def _process_output(self) -> None:
        """Processes the output of the scheduled groups; sends the messages."""
        scheduled, self._scheduled = self._scheduled, set()
        frames: dict[str, list[ttypes.RaftMessage]] = {}
        for name in scheduled:
            group = self._hosted.get(name)
            if group is None:
                continue
            group.process_output()
            if group.take_membership_committed():
                self._membership_committed.set()
                self._membership_committed = trio.Event()
            for message in group.outgoing:
                raft_message = codec_raft.to_thrift(name, message)
                frames.setdefault(message.target.vm, []).append(raft_message)
            group.outgoing.clear()
        for vm, messages in frames.items():
            self._network.send_raft(vm, messages)

    async def _open_store(self, name: str) -> store.ReplicaStore:
        if self._folder is None:
            return store.MemoryStore()
        return await trio.to_thread.run_sync(
            store_disk.open_or_set_aside, self._folder / name, name
        )

    async def _run_sync_loop(
        self, group: groups.HostedGroup, task: "_SyncTask"
    ) -> None:
        try:
            with task.scope:
                await group.run_sync_loop(lambda: self.schedule(group.name))
        finally:
            task.ended.set()


@dataclasses.dataclass(slots=True)
class _SyncTask:
    """The task that syncs one store and closes it at its end."""

    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
