"""Batches what goes to other VMs between two rounds of the table."""

import collections
import typing
from collections import abc

from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.members import messages

MAX_ITEMS = 200
"""Items in one notice; more go into several."""

T = typing.TypeVar("T")


class Outbox:
    """Collects by receiver; each key counts once, its last item stays."""

    def __init__(
        self,
        me: str,
        peers: replication.Peers,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._me = me
        self._peers = peers
        self._metrics = metrics
        self._heartbeats: _Pending[messages.Heartbeat] = _pending()
        self._relayed_heartbeats: _Pending[messages.Heartbeat] = _pending()
        self._heard: _Pending[messages.Row] = _pending()
        self._relayed_heard: _Pending[messages.Row] = _pending()
        self._broadcasts: _Pending[messages.Row] = _pending()
        self._row_requests: _Pending[int] = _pending()
        self._suspicions: _Pending[int] = _pending()
        self._to_all: dict[int, messages.Row] = {}

    def heartbeat(
        self, vm: str, heartbeat: messages.Heartbeat, relayed: bool = False
    ) -> None:
        """Passes a heartbeat to a watcher."""
        pending = self._relayed_heartbeats if relayed else self._heartbeats
        pending[vm][heartbeat[0]] = heartbeat

    def heard(
        self, vm: str, key: int, row: messages.Row, relayed: bool = False
    ) -> None:
        """Passes a whole announcement to a watcher."""
        pending = self._relayed_heard if relayed else self._heard
        pending[vm][key] = row

    def broadcast(self, key: int, row: messages.Row) -> None:
        """Tells every reachable VM of a change."""
        self._to_all[key] = row

    def request_row(self, vm: str, key: int) -> None:
        """Asks a VM for the row of a heartbeat."""
        self._row_requests[vm][key] = key

    def suspect(self, vm: str, key: int) -> None:
        """Asks the other watcher whether it has heard a member."""
        self._suspicions[vm][key] = key

    def send(self, vm: str, notice: object) -> None:
        """Sends a notice at once."""
        if vm != self._me:
            kind = type(notice).__name__.lower()
            self._metrics.count("member_notices_total", kind=kind)
            self._peers.notify(vm, notice)

    def flush(self, reachable: frozenset[str]) -> None:
        """Sends all that waits to the VMs that can be reached."""
        for vm in reachable:
            self._broadcasts[vm].update(self._to_all)
        self._to_all = {}
        me = self._me
        for vm, rows in _drain(self._heard, reachable):
            self.send(vm, messages.Rows(me, rows, heard=True))
        for vm, rows in _drain(self._relayed_heard, reachable):
            self.send(vm, messages.Rows(me, rows, heard=True, relayed=True))
        for vm, rows in _drain(self._broadcasts, reachable):
            self.send(vm, messages.Rows(me, rows))
        for vm, heartbeats in _drain(self._heartbeats, reachable):
            self.send(vm, messages.Heartbeats(me, heartbeats))
        for vm, heartbeats in _drain(self._relayed_heartbeats, reachable):
            self.send(vm, messages.Heartbeats(me, heartbeats, relayed=True))
        for vm, keys in _drain(self._row_requests, reachable):
            self.send(vm, messages.RowRequest(me, keys))
        for vm, keys in _drain(self._suspicions, reachable):
            self.send(vm, messages.Suspicion(me, keys))


_Pending: typing.TypeAlias = collections.defaultdict[str, dict[int, T]]


def _pending() -> collections.defaultdict[str, dict[int, typing.Any]]:
    return collections.defaultdict(dict)


def _drain(
    pending: _Pending[T], reachable: frozenset[str]
) -> abc.Iterator[tuple[str, tuple[T, ...]]]:
    """Yields each reachable VM's items in pieces and empties `pending`."""
    for vm, items in pending.items():
        if vm in reachable and items:
            values = tuple(items.values())
            for start in range(0, len(values), MAX_ITEMS):
                yield vm, values[start : start + MAX_ITEMS]
    pending.clear()
