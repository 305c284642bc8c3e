"""Takes announcements, from members and as other VMs pass them on.

The VM that a member happened to reach joins the announcement and passes it
to the member's watchers: a whole row if it is new here or has changed, else
a heartbeat. A watcher that lacks the row of a heartbeat asks for it. A VM
that gets one and is no watcher passes it on once, as views of which VMs can
be reached differ for a while.
"""

import dataclasses
import random
from collections import abc

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import members
from laburnumsill.members import entries
from laburnumsill.members import errors
from laburnumsill.members import messages
from laburnumsill.members import outbox as outboxes
from laburnumsill.members import reachability
from laburnumsill.members import store as stores
from laburnumsill.members import timing
from laburnumsill.members import watching

JITTER = 0.1
"""Share of an interval by which announcements are spread."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The answer to an announcement.

    Attributes:
        accepted: False if a later one is known already.
        next_announce_at: When to announce again, wall time.
    """

    accepted: bool
    next_announce_at: float


class Intake:
    """Joins announcements and rows and passes them on."""

    def __init__(
        self,
        me: str,
        store: stores.MemberStore,
        watcher: watching.Watcher,
        outbox: outboxes.Outbox,
        reach: reachability.Reachability,
        clock: clocks.Clock,
        policy: abc.Callable[[], models.MemberPolicy],
    ) -> None:
        self._me = me
        self._store = store
        self._watcher = watcher
        self._outbox = outbox
        self._reach = reach
        self._clock = clock
        self._policy = policy
        self._random = random.Random(me)

    def announce(self, member: entries.Member) -> Announced:
        """Takes an announcement that reached this VM.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        key = entries.member_key(member)
        watchers = self._reach.watchers(key, member.domain)
        if self._reach.cut_off:
            raise errors.CutOffError(
                f"{self._me} reaches no other VM; announce"
                f" {entries.member_id(member)!r} elsewhere"
            )
        interval_s = self._interval_s(member)
        wait_s = interval_s * (1 - JITTER * self._random.random())
        next_at = self._clock.wall() + wait_s
        known = self._store.get(key)
        if known is not None:
            _check_incarnation(known, member.incarnation)
            if entries.version(member, False) <= known.version:
                return Announced(False, next_at)
        merged = self._store.merge(member, False)
        entry = self._store.get(key)
        if entry is None:
            raise errors.TableFullError(f"{member.domain!r} is full")
        self._watcher.note_heard(entry, int(interval_s * 1000))
        if merged is stores.Merge.CHANGED:
            self._pass_row(entry, watchers)
        else:
            self._pass_heartbeat(entry, watchers)
        return Announced(True, next_at)

    def leave(self, kind: str, member_id: str, incarnation: str) -> None:
        """Notes that a member is gone for good.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        key = entries.key_of(kind, member_id)
        entry = self._store.get(key)
        if entry is None:
            raise errors.UnknownMemberError(f"no {kind} {member_id!r}")
        _check_incarnation(entry, incarnation)
        last = dataclasses.replace(
            entry.member,
            incarnation=incarnation,
            sequence=entries.FINAL_SEQUENCE,
        )
        watchers = self._reach.watchers(key, last.domain)
        self._store.merge(last, True)
        self._watcher.adopt(entry)
        self._pass_row(entry, watchers)

    def join(self, row: messages.Row) -> None:
        """Joins a row; a watcher broadcasts what it changed."""
        member = entries.member_of(row)
        if member is None:
            return
        merged = self._store.merge(member, row.gone, row.gone_ms)
        entry = self._store.get(entries.member_key(member))
        if entry is None:
            return
        if merged is not stores.Merge.OLDER:
            entry.next_ms = row.next_ms
        if merged is stores.Merge.CHANGED:
            self._take_change(entry)
        elif row.gone and not entry.gone:
            self._take_older_gone(entry, member, row.gone_ms)

    def on_rows(self, notice: messages.Rows) -> None:
        """Takes rows from another VM."""
        for row in notice.rows:
            if notice.heard:
                self._take_heard(row, notice.relayed)
            else:
                self.join(row)

    def on_heartbeats(self, notice: messages.Heartbeats) -> None:
        """Takes heartbeats that reached another VM."""
        for heartbeat in notice.heartbeats:
            entry = self._store.get(heartbeat[0])
            if entry is None or entry.digest != heartbeat[1]:
                self._outbox.request_row(notice.sender, heartbeat[0])
                continue
            self._take_heartbeat(entry, heartbeat)
            if entry.rank is None and not notice.relayed:
                for vm in self._others(entry):
                    self._outbox.heartbeat(vm, heartbeat, relayed=True)

    def on_row_request(self, notice: messages.RowRequest) -> None:
        """Sends rows whose heartbeats the sender could not use."""
        for key in notice.keys:
            entry = self._store.get(key)
            if entry is not None and not entry.gone:
                row = entry.row(self._clock.monotonic())
                self._outbox.heard(notice.sender, key, row, relayed=True)

    def _take_heartbeat(
        self, entry: entries.Entry, heartbeat: messages.Heartbeat
    ) -> None:
        _, _, sequence, busy, next_ms = heartbeat
        member = entries.with_heartbeat(entry.member, sequence, busy)
        merged = self._store.merge(member, False)
        if merged is not stores.Merge.OLDER:
            self._watcher.note_heard(entry, next_ms)
        if merged is stores.Merge.CHANGED:
            self._watcher.broadcast_change(entry)

    def _take_heard(self, row: messages.Row, relayed: bool) -> None:
        """Takes a whole announcement that reached another VM."""
        member = entries.member_of(row)
        if member is None:
            return
        merged = self._store.merge(member, row.gone, row.gone_ms)
        entry = self._store.get(entries.member_key(member))
        if entry is None:
            return
        if merged is not stores.Merge.OLDER and not row.gone:
            self._watcher.note_heard(entry, row.next_ms)
        if merged is stores.Merge.CHANGED:
            self._take_change(entry)
        if entry.rank is None and not relayed:
            for vm in self._others(entry):
                self._outbox.heard(vm, entry.key, row, relayed=True)

    def _take_change(self, entry: entries.Entry) -> None:
        self._watcher.adopt(entry)
        self._watcher.broadcast_change(entry)

    def _take_older_gone(
        self, entry: entries.Entry, last: entries.Member, gone_ms: int
    ) -> None:
        """Weighs that a member is gone which this VM knew to be later.

        The watchers may have missed its last announcements. This VM passes
        on what it has heard within the TTL; else it goes by the watchers,
        unless it has learnt of the member after they declared it gone.
        """
        if last.incarnation != entry.member.incarnation:
            return
        if self._watcher.has_heard(entry):
            self._watcher.contradict(entry, self._others(entry))
            return
        gone_at = self._clock.monotonic() - gone_ms / 1000
        if gone_at >= entry.learnt_at:
            self._store.merge(entry.member, True, gone_ms)
            self._take_change(entry)

    def _others(self, entry: entries.Entry) -> list[str]:
        """Returns the watchers of an entry that this VM can reach."""
        try:
            found = self._reach.watchers(entry.key, entry.member.domain)
        except errors.DomainUnreachableError:
            return []
        return [vm for vm in found if vm != self._me]

    def _pass_row(
        self, entry: entries.Entry, watchers: abc.Iterable[str]
    ) -> None:
        row = entry.row(self._clock.monotonic())
        for vm in watchers:
            if vm == self._me:
                self._watcher.broadcast(entry)
            else:
                self._outbox.heard(vm, entry.key, row)

    def _pass_heartbeat(
        self, entry: entries.Entry, watchers: abc.Iterable[str]
    ) -> None:
        heartbeat = (
            entry.key,
            entry.digest,
            entry.member.sequence,
            entries.busy_of(entry.member),
            entry.next_ms,
        )
        for vm in watchers:
            if vm != self._me:
                self._outbox.heartbeat(vm, heartbeat)

    def _interval_s(self, member: entries.Member) -> float:
        if isinstance(member, members.BackendServer):
            return timing.server_interval_s(self._policy())
        return timing.worker_interval_s(self._policy(), self._watcher.watched)


def _check_incarnation(entry: entries.Entry, incarnation: str) -> None:
    known = entry.member.incarnation
    if incarnation < known:
        raise errors.StaleIncarnationError(
            f"{incarnation!r} is older than {known!r}", incarnation=known
        )
