"""Intake of announcements from members and of notices from other VMs.

A member announces itself to any VM. That VM merges the announcement and
forwards it to the member's watchers: the full row if the member is new to it
or has changed, otherwise a heartbeat. A watcher that lacks the row of a
heartbeat requests it. A VM that receives a forwarded announcement but is not
a watcher relays it once, because VMs may disagree for a while about which
VMs are reachable and so about who the watchers are.
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
"""Maximum share of the announcement interval that is randomly subtracted."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementResult:
    """Result of an announcement.

    Attributes:
        accepted: False if this VM knows the same or a later version.
        next_announce_at: Wall time of the next announcement.
    """

    accepted: bool
    next_announce_at: float


class Intake:
    """Merges announcements and rows and forwards them."""

    def __init__(
        self,
        local_vm: str,
        store: stores.MemberStore,
        watcher: watching.Watcher,
        outbox: outboxes.Outbox,
        reachable_vms: reachability.Reachability,
        clock: clocks.Clock,
        policy: abc.Callable[[], models.MemberPolicy],
    ) -> None:
        self._local_vm = local_vm
        self._store = store
        self._watcher = watcher
        self._outbox = outbox
        self._reachability = reachable_vms
        self._clock = clock
        self._policy = policy
        self._random = random.Random(local_vm)

    def announce(self, member: entries.Member) -> AnnouncementResult:
        """Merges and forwards an announcement that a member sent to this VM.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        key = entries.member_key(member)
        watchers = self._reachability.watchers(key, member.domain)
        if self._reachability.cut_off:
            raise errors.CutOffError(
                f"{self._local_vm} reaches no other VM; announce"
                f" {entries.member_id(member)!r} elsewhere"
            )
        interval_s = self._interval_s(member)
        wait_s = interval_s * (1 - JITTER * self._random.random())
        next_at = self._clock.wall() + wait_s
        known = self._store.get(key)
        if known is not None:
            _check_incarnation(known, member.incarnation)
            if entries.version(member, False) <= known.version:
                return AnnouncementResult(False, next_at)
        merged = self._store.merge(member, False)
        entry = self._store.get(key)
        if entry is None:
            raise errors.TableFullError(f"{member.domain!r} is full")
        self._watcher.record_contact(entry, int(interval_s * 1000))
        if merged is stores.MergeResult.CHANGED:
            self._forward_row(entry, watchers)
        else:
            self._forward_heartbeat(entry, watchers)
        return AnnouncementResult(True, next_at)

    def leave(self, kind: str, member_id: str, incarnation: str) -> None:
        """Records that an incarnation of a member has left for good.

        Raises:
            errors.LaburnumsillError: A type of `members.errors`.
        """
        key = entries.key_of(kind, member_id)
        entry = self._store.get(key)
        if entry is None:
            raise errors.UnknownMemberError(f"no {kind} {member_id!r}")
        _check_incarnation(entry, incarnation)
        final = dataclasses.replace(
            entry.member,
            incarnation=incarnation,
            sequence=entries.FINAL_SEQUENCE,
        )
        watchers = self._reachability.watchers(key, final.domain)
        self._store.merge(final, True)
        self._watcher.update_role(entry)
        self._forward_row(entry, watchers)

    def merge_row(self, row: messages.Row) -> None:
        """Merges a row; a watcher of the member broadcasts a change."""
        member = entries.member_of(row)
        if member is None:
            return
        merged = self._store.merge(member, row.gone, row.gone_ms)
        entry = self._store.get(entries.member_key(member))
        if entry is None:
            return
        if merged is not stores.MergeResult.OLDER:
            entry.interval_ms = row.next_ms
        if merged is stores.MergeResult.CHANGED:
            self._handle_change(entry)
        elif row.gone and not entry.gone:
            self._handle_stale_gone(entry, member, row.gone_ms)

    def on_rows(self, notice: messages.Rows) -> None:
        """Merges the rows of another VM."""
        for row in notice.rows:
            if notice.heard:
                self._handle_announcement(row, notice.relayed)
            else:
                self.merge_row(row)

    def on_heartbeats(self, notice: messages.Heartbeats) -> None:
        """Merges heartbeats that members sent to another VM.

        Requests the rows of unknown members and of members whose digest
        differs, and relays heartbeats of members that this VM does not watch.
        """
        for heartbeat in notice.heartbeats:
            entry = self._store.get(heartbeat[0])
            if entry is None or entry.digest != heartbeat[1]:
                self._outbox.queue_row_request(notice.sender, heartbeat[0])
                continue
            self._handle_heartbeat(entry, heartbeat)
            if entry.watcher_rank is None and not notice.relayed:
                for vm in self._other_watchers(entry):
                    self._outbox.queue_heartbeat(vm, heartbeat, relayed=True)

    def on_row_request(self, notice: messages.RowRequest) -> None:
        """Queues the requested rows for the sender."""
        for key in notice.keys:
            entry = self._store.get(key)
            if entry is not None and not entry.gone:
                row = entry.row(self._clock.monotonic())
                self._outbox.queue_announcement(
                    notice.sender, key, row, relayed=True
                )

    def _handle_heartbeat(
        self, entry: entries.Entry, heartbeat: messages.Heartbeat
    ) -> None:
        _, _, sequence, busy, interval_ms = heartbeat
        member = entries.with_heartbeat(entry.member, sequence, busy)
        merged = self._store.merge(member, False)
        if merged is not stores.MergeResult.OLDER:
            self._watcher.record_contact(entry, interval_ms)
        if merged is stores.MergeResult.CHANGED:
            self._watcher.broadcast_change(entry)

    def _handle_announcement(self, row: messages.Row, relayed: bool) -> None:
        """Merges the full row of an announcement sent to another VM."""
        member = entries.member_of(row)
        if member is None:
            return
        merged = self._store.merge(member, row.gone, row.gone_ms)
        entry = self._store.get(entries.member_key(member))
        if entry is None:
            return
        if merged is not stores.MergeResult.OLDER and not row.gone:
            self._watcher.record_contact(entry, row.next_ms)
        if merged is stores.MergeResult.CHANGED:
            self._handle_change(entry)
        if entry.watcher_rank is None and not relayed:
            for vm in self._other_watchers(entry):
                self._outbox.queue_announcement(
                    vm, entry.key, row, relayed=True
                )

    def _handle_change(self, entry: entries.Entry) -> None:
        self._watcher.update_role(entry)
        self._watcher.broadcast_change(entry)

    def _handle_stale_gone(
        self, entry: entries.Entry, declared: entries.Member, gone_ms: int
    ) -> None:
        """Handles a gone declaration with an older version than the entry.

        The watchers may have missed the last announcements of the member. If
        this VM received one within the TTL, it refutes the declaration.
        Otherwise it accepts the declaration, unless its entry was updated
        after the member was declared gone.
        """
        if declared.incarnation != entry.member.incarnation:
            return
        if self._watcher.has_recent_contact(entry):
            self._watcher.refute(entry, self._other_watchers(entry))
            return
        gone_at = self._clock.monotonic() - gone_ms / 1000
        if gone_at >= entry.updated_at:
            self._store.merge(entry.member, True, gone_ms)
            self._handle_change(entry)

    def _other_watchers(self, entry: entries.Entry) -> list[str]:
        """Returns the reachable watchers of an entry except this VM."""
        try:
            found = self._reachability.watchers(entry.key, entry.member.domain)
        except errors.DomainUnreachableError:
            return []
        return [vm for vm in found if vm != self._local_vm]

    def _forward_row(
        self, entry: entries.Entry, watchers: abc.Iterable[str]
    ) -> None:
        row = entry.row(self._clock.monotonic())
        for vm in watchers:
            if vm == self._local_vm:
                self._watcher.broadcast(entry)
            else:
                self._outbox.queue_announcement(vm, entry.key, row)

    def _forward_heartbeat(
        self, entry: entries.Entry, watchers: abc.Iterable[str]
    ) -> None:
        heartbeat = (
            entry.key,
            entry.digest,
            entry.member.sequence,
            entries.busy_of(entry.member),
            entry.interval_ms,
        )
        for vm in watchers:
            if vm != self._local_vm:
                self._outbox.queue_heartbeat(vm, heartbeat)

    def _interval_s(self, member: entries.Member) -> float:
        if isinstance(member, members.BackendServer):
            return timing.server_interval_s(self._policy())
        return timing.worker_interval_s(
            self._policy(), self._watcher.watched_count
        )


def _check_incarnation(entry: entries.Entry, incarnation: str) -> None:
    known = entry.member.incarnation
    if incarnation < known:
        raise errors.StaleIncarnationError(
            f"{incarnation!r} is older than {known!r}", incarnation=known
        )
