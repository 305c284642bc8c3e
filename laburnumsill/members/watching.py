"""Failure detection of members by the watchers in their failure domain.

Each member has two watchers: the first two VMs in the rendezvous hash order
of its key over the reachable VMs of its own failure domain. Both receive
every announcement of the member, track its expiry and broadcast changes to
every VM. Reports are merged by version, so a duplicate broadcast has no
effect.
"""

import heapq
import math
from collections import abc

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import hashing
from laburnumsill.members import entries
from laburnumsill.members import messages
from laburnumsill.members import outbox as outboxes
from laburnumsill.members import rows
from laburnumsill.members import store as stores
from laburnumsill.members import timing

WATCHERS_PER_MEMBER = 2
"""Number of VMs that receive all announcements of a member."""


class Watcher:
    """Detects lost members of this VM's own failure domain.

    Attributes:
        watched_count: Number of members whose first watcher is this VM, as of
            the last call of `count_watched`.
    """

    def __init__(
        self,
        local_vm: str,
        local_domain: rows.DomainEntries,
        store: stores.MemberStore,
        outbox: outboxes.Outbox,
        clock: clocks.Clock,
        policy: abc.Callable[[], models.MemberPolicy],
    ) -> None:
        self.watched_count = 0
        self._local_vm = local_vm
        self._local_domain = local_domain
        self._store = store
        self._outbox = outbox
        self._clock = clock
        self._policy = policy
        self._vms: tuple[str, ...] = (local_vm,)
        self._expiry_heap: list[tuple[float, int]] = []
        self._scheduled: dict[int, float] = {}

    def set_vms(self, vms: abc.Iterable[str]) -> None:
        """Sets the reachable VMs of the domain and updates watcher ranks."""
        self._vms = tuple(sorted(vms))
        for entry in self._local_domain:
            self._update_rank(entry)
        self.count_watched()  # TTLs of newly watched members depend on it
        for entry in self._local_domain:
            self._update_expiry(entry)

    def count_watched(self) -> None:
        """Counts the members whose first watcher this VM is."""
        self.watched_count = sum(
            1 for e in self._local_domain if e.watcher_rank == 0 and not e.gone
        )

    def update_role(self, entry: entries.Entry) -> None:
        """Updates watcher rank and expiry of an entry of the local domain."""
        if entry.member.domain != self._local_domain.domain:
            return
        self._update_rank(entry)
        self._update_expiry(entry)

    def record_contact(self, entry: entries.Entry, interval_ms: int) -> None:
        """Records that a present member has just announced itself."""
        entry.last_contact_at = self._clock.monotonic()
        entry.interval_ms = interval_ms
        entry.suspicion_expires_at = None
        if entry.member.domain == self._local_domain.domain:
            self.update_role(entry)
            if entry.watcher_rank is not None:
                self._set_expiry(entry, self._expiry(entry))
                self._broadcast_busy(entry)

    def broadcast_change(self, entry: entries.Entry) -> None:
        """Broadcasts an entry if this VM is a watcher of the member."""
        if entry.watcher_rank is not None:
            self.broadcast(entry)

    def broadcast(self, entry: entries.Entry) -> None:
        """Broadcasts an entry to every reachable VM."""
        entry.broadcast_busy = entries.busy_of(entry.member)
        entry.broadcast_busy_at = self._clock.monotonic()
        self._outbox.queue_broadcast(
            entry.key, entry.row(self._clock.monotonic())
        )

    def has_recent_contact(self, entry: entries.Entry) -> bool:
        """Returns whether the last contact is no older than the TTL."""
        fresh_until = entry.last_contact_at + self._ttl_s(entry)
        return not entry.gone and fresh_until > self._clock.monotonic()

    def renew_expiries(self) -> None:
        """Restarts the TTL of all watched members after a stall of this VM."""
        now = self._clock.monotonic()
        for entry in self._local_domain:
            if entry.watcher_rank is not None and not entry.gone:
                entry.suspicion_expires_at = None
                entry.watched_since = now
                self._set_expiry(entry, self._expiry(entry))

    def check_expiries(self) -> None:
        """Suspects expired members and declares unrefuted suspects gone."""
        now = self._clock.monotonic()
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiry_heap)
            if self._scheduled.get(key) != expires_at:
                continue
            del self._scheduled[key]
            entry = self._local_domain.get(key)
            if entry is None or entry.gone or entry.expires_at == math.inf:
                continue
            if entry.suspicion_expires_at is None:
                # The announcement interval may have grown since the expiry
                # was scheduled.
                entry.expires_at = max(entry.expires_at, self._expiry(entry))
            if entry.expires_at > now:
                self._set_expiry(entry, entry.expires_at)
            else:
                self._suspect(entry, now)

    def on_suspicion(self, notice: messages.Suspicion) -> None:
        """Reports last contacts to a watcher that suspects members."""
        heard, silent = [], []
        for key in notice.keys:
            entry = self._local_domain.get(key)
            if entry is None or not self.has_recent_contact(entry):
                silent.append(key)
            else:
                heard.append(self._last_contact(entry))
        reply = messages.SuspicionReply(
            self._local_vm, tuple(heard), tuple(silent)
        )
        self._outbox.send(notice.sender, reply)

    def _update_rank(self, entry: entries.Entry) -> None:
        watchers = watchers_of(entry.key, self._vms)
        is_watcher = self._local_vm in watchers
        entry.watcher_rank = (
            watchers.index(self._local_vm) if is_watcher else None
        )

    def _update_expiry(self, entry: entries.Entry) -> None:
        """Schedules the expiry of a newly watched entry, or clears it."""
        if entry.gone or entry.watcher_rank is None:
            entry.expires_at = math.inf
            entry.suspicion_expires_at = None
        elif entry.expires_at == math.inf:
            entry.watched_since = self._clock.monotonic()
            self._set_expiry(entry, self._expiry(entry))

    def refute(self, entry: entries.Entry, watchers: abc.Iterable[str]) -> None:
        """Refutes that a member is gone, given a recent contact.

        A watcher broadcasts the entry to all VMs; any other VM sends the time
        of the last contact to the watchers.
        """
        if entry.watcher_rank is not None:
            self.broadcast(entry)
            return
        heard = (self._last_contact(entry),)
        for vm in watchers:
            self._outbox.send(
                vm, messages.SuspicionReply(self._local_vm, heard, ())
            )

    def on_suspicion_reply(self, notice: messages.SuspicionReply) -> None:
        """Confirms or cancels suspicions by another VM's last contacts."""
        for key in notice.silent:
            entry = self._local_domain.get(key)
            if (
                entry is None
                or entry.gone
                or entry.suspicion_expires_at is None
            ):
                continue
            if not self.has_recent_contact(entry):
                self._declare_gone(entry)
        for heard in notice.heard:
            key, digest, _, _, _ = heard
            entry = self._local_domain.get(key)
            if entry is None or entry.digest != digest:
                self._outbox.queue_row_request(notice.sender, key)
            else:
                self._merge_last_contact(entry, heard)

    def _last_contact(self, entry: entries.Entry) -> messages.LastContact:
        age_s = self._clock.monotonic() - entry.last_contact_at
        sequence = entry.member.sequence
        age_ms = int(age_s * 1000)
        return entry.key, entry.digest, sequence, age_ms, entry.interval_ms

    def _merge_last_contact(
        self, entry: entries.Entry, heard: messages.LastContact
    ) -> None:
        _, _, sequence, age_ms, interval_ms = heard
        last_contact_at = self._clock.monotonic() - age_ms / 1000
        busy = entries.busy_of(entry.member)
        member = entries.with_heartbeat(entry.member, sequence, busy)
        merged = self._store.merge(member, False)
        if entry.gone:
            return
        entry.last_contact_at = max(entry.last_contact_at, last_contact_at)
        entry.interval_ms = max(entry.interval_ms, interval_ms)
        entry.suspicion_expires_at = None
        if entry.watcher_rank is not None:
            self._set_expiry(entry, self._expiry(entry))
        if merged is stores.MergeResult.CHANGED:
            self.broadcast_change(entry)

    def _suspect(self, entry: entries.Entry, now: float) -> None:
        """Queries the other watcher about an expired member.

        Declares the member gone if there is no other watcher or the query has
        timed out.
        """
        watchers = watchers_of(entry.key, self._vms)
        others = [vm for vm in watchers if vm != self._local_vm]
        if entry.suspicion_expires_at is not None or not others:
            self._declare_gone(entry)
            return
        entry.suspicion_expires_at = now + timing.SUSPICION_TIMEOUT_S
        self._set_expiry(entry, entry.suspicion_expires_at)
        self._outbox.queue_suspicion(others[0], entry.key)

    def _declare_gone(self, entry: entries.Entry) -> None:
        entry.expires_at = math.inf
        entry.suspicion_expires_at = None
        self._store.merge(entry.member, True)
        self.broadcast(entry)

    def _broadcast_busy(self, entry: entries.Entry) -> None:
        """Broadcasts busy slots after a large change, at a limited rate."""
        member = entry.member
        if entry.watcher_rank != 0 or entries.kind_of(member) != entries.SERVER:
            return
        min_change = max(
            1.0, timing.MIN_BUSY_CHANGE_SHARE * getattr(member, "slots", 1)
        )
        if abs(entries.busy_of(member) - entry.broadcast_busy) < min_change:
            return
        now = self._clock.monotonic()
        if now - entry.broadcast_busy_at >= timing.MIN_BUSY_INTERVAL_S:
            self.broadcast(entry)

    def _ttl_s(self, entry: entries.Entry) -> float:
        return timing.ttl_s(
            self._policy(), entry.member, entry.interval_ms / 1000
        )

    def _expiry(self, entry: entries.Entry) -> float:
        """Returns when the TTL of a watched member ends."""
        inherited_s = timing.inherited_ttl_s(
            self._policy(),
            entry.member,
            entry.interval_ms / 1000,
            self.watched_count,
        )
        return max(
            entry.last_contact_at + self._ttl_s(entry),
            entry.watched_since + inherited_s,
        )

    def _set_expiry(self, entry: entries.Entry, expires_at: float) -> None:
        entry.expires_at = expires_at
        if expires_at < self._scheduled.get(entry.key, math.inf):
            self._scheduled[entry.key] = expires_at
            heapq.heappush(self._expiry_heap, (expires_at, entry.key))


def watchers_of(key: int, vms: abc.Iterable[str]) -> list[str]:
    """Returns the watchers of a member among the VMs of its domain."""
    return hashing.rendezvous_order(str(key), vms)[:WATCHERS_PER_MEMBER]
