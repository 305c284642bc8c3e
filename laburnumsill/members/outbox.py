"""Batching of notices to other VMs between two ticks of the table."""

import collections
import typing
from collections import abc

from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.members import messages

MAX_NOTICE_ITEMS = 200
"""Maximum items in a notice; a larger batch is split into several."""

T = typing.TypeVar("T")


class Outbox:
    """Queues items by receiver and sends them in batches.

    A later item of a member replaces a queued one of the same kind.
    """

    def __init__(
        self,
        local_vm: str,
        peers: replication.Peers,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._local_vm = local_vm
        self._peers = peers
        self._metrics = metrics
        self._heartbeats: _Queues[messages.Heartbeat] = _empty_queues()
        self._relayed_heartbeats: _Queues[messages.Heartbeat] = _empty_queues()
        self._announcements: _Queues[messages.Row] = _empty_queues()
        self._relayed_announcements: _Queues[messages.Row] = _empty_queues()
        self._broadcasts: _Queues[messages.Row] = _empty_queues()
        self._row_requests: _Queues[int] = _empty_queues()
        self._suspicions: _Queues[int] = _empty_queues()
        self._broadcast_rows: dict[int, messages.Row] = {}

    def queue_heartbeat(
        self, vm: str, heartbeat: messages.Heartbeat, relayed: bool = False
    ) -> None:
        """Queues a heartbeat for a watcher."""
        queues = self._relayed_heartbeats if relayed else self._heartbeats
        queues[vm][heartbeat[0]] = heartbeat

    def queue_announcement(
        self, vm: str, key: int, row: messages.Row, relayed: bool = False
    ) -> None:
        """Queues the full row of an announcement for a watcher."""
        queues = self._relayed_announcements if relayed else self._announcements
        queues[vm][key] = row

    def queue_broadcast(self, key: int, row: messages.Row) -> None:
        """Queues a changed row for every reachable VM."""
        self._broadcast_rows[key] = row

    def queue_row_request(self, vm: str, key: int) -> None:
        """Queues a request for the row of a heartbeat."""
        self._row_requests[vm][key] = key

    def queue_suspicion(self, vm: str, key: int) -> None:
        """Queues a query to the other watcher about a suspected member."""
        self._suspicions[vm][key] = key

    def send(self, vm: str, notice: object) -> None:
        """Sends a notice immediately; notices to this VM are dropped."""
        if vm != self._local_vm:
            kind = type(notice).__name__.lower()
            self._metrics.count("member_notices_total", kind=kind)
            self._peers.notify(vm, notice)

    def flush(self, reachable: frozenset[str]) -> None:
        """Sends all queued items to reachable VMs and drops the others."""
        for vm in reachable:
            self._broadcasts[vm].update(self._broadcast_rows)
        self._broadcast_rows = {}
        local_vm = self._local_vm
        for vm, rows in _drain(self._announcements, reachable):
            self.send(vm, messages.Rows(local_vm, rows, heard=True))
        for vm, rows in _drain(self._relayed_announcements, reachable):
            self.send(
                vm, messages.Rows(local_vm, rows, heard=True, relayed=True)
            )
        for vm, rows in _drain(self._broadcasts, reachable):
            self.send(vm, messages.Rows(local_vm, rows))
        for vm, heartbeats in _drain(self._heartbeats, reachable):
            self.send(vm, messages.Heartbeats(local_vm, heartbeats))
        for vm, heartbeats in _drain(self._relayed_heartbeats, reachable):
            self.send(
                vm, messages.Heartbeats(local_vm, heartbeats, relayed=True)
            )
        for vm, keys in _drain(self._row_requests, reachable):
            self.send(vm, messages.RowRequest(local_vm, keys))
        for vm, keys in _drain(self._suspicions, reachable):
            self.send(vm, messages.Suspicion(local_vm, keys))


_Queues: typing.TypeAlias = collections.defaultdict[str, dict[int, T]]


def _empty_queues() -> collections.defaultdict[str, dict[int, typing.Any]]:
    return collections.defaultdict(dict)


def _drain(
    queues: _Queues[T], reachable: frozenset[str]
) -> abc.Iterator[tuple[str, tuple[T, ...]]]:
    """Yields the items of each reachable VM in batches; clears `queues`."""
    for vm, items in queues.items():
        if vm in reachable and items:
            values = tuple(items.values())
            for start in range(0, len(values), MAX_NOTICE_ITEMS):
                yield vm, values[start : start + MAX_NOTICE_ITEMS]
    queues.clear()
