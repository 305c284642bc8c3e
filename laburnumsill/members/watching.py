"""The duty of a watcher: to hear its members and declare who is gone.

Each member has two watchers, the first two VMs of its own failure domain by
rendezvous hash of its key over those that can be reached. Both hear every
announcement, hold the deadline and broadcast changes to every VM; reports are
joined by version, so that a second broadcast is harmless.
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

WATCHERS = 2
"""VMs that hear a member's every announcement."""


class Watcher:
    """Keeps the members of this VM's own failure domain.

    Attributes:
        watched: Members whose first watcher this VM is, about.
    """

    def __init__(
        self,
        me: str,
        own: rows.DomainRows,
        store: stores.MemberStore,
        outbox: outboxes.Outbox,
        clock: clocks.Clock,
        policy: abc.Callable[[], models.MemberPolicy],
    ) -> None:
        self.watched = 0
        self._me = me
        self._own = own
        self._store = store
        self._outbox = outbox
        self._clock = clock
        self._policy = policy
        self._vms: tuple[str, ...] = (me,)
        self._heap: list[tuple[float, int]] = []
        self._queued: dict[int, float] = {}

    def set_vms(self, vms: abc.Iterable[str]) -> None:
        """Takes up or drops members as VMs of the domain come and go."""
        self._vms = tuple(sorted(vms))
        for entry in self._own:
            self._rank(entry)
        self.count_watched()  # new TTLs depend on it
        for entry in self._own:
            self._adjust_due(entry)

    def count_watched(self) -> None:
        """Counts the members whose first watcher this VM is."""
        self.watched = sum(1 for e in self._own if e.rank == 0 and not e.gone)

    def adopt(self, entry: entries.Entry) -> None:
        """Decides whether this VM watches an entry."""
        if entry.member.domain != self._own.domain:
            return
        self._rank(entry)
        self._adjust_due(entry)

    def note_heard(self, entry: entries.Entry, next_ms: int) -> None:
        """Notes that a present member has just announced itself."""
        entry.heard_at = self._clock.monotonic()
        entry.next_ms = next_ms
        entry.suspected_until = None
        if entry.member.domain == self._own.domain:
            self.adopt(entry)
            if entry.rank is not None:
                self._set_due(entry, self._ends(entry))
                self._broadcast_busy(entry)

    def broadcast_change(self, entry: entries.Entry) -> None:
        """Tells every VM of a change if this VM watches the member."""
        if entry.rank is not None:
            self.broadcast(entry)

    def broadcast(self, entry: entries.Entry) -> None:
        """Tells every VM of an entry."""
        entry.broadcast_busy = entries.busy_of(entry.member)
        entry.broadcast_busy_at = self._clock.monotonic()
        self._outbox.broadcast(entry.key, entry.row(self._clock.monotonic()))

    def has_heard(self, entry: entries.Entry) -> bool:
        """Returns whether this VM has heard a member within its TTL."""
        heard_until = entry.heard_at + self._ttl_s(entry)
        return not entry.gone and heard_until > self._clock.monotonic()

    def renew(self) -> None:
        """Gives all watched members a fresh TTL, after this VM stood still."""
        now = self._clock.monotonic()
        for entry in self._own:
            if entry.rank is not None and not entry.gone:
                entry.suspected_until = None
                entry.adopted_at = now
                self._set_due(entry, self._ends(entry))

    def expire(self) -> None:
        """Says which members are gone by now."""
        now = self._clock.monotonic()
        while self._heap and self._heap[0][0] <= now:
            due, key = heapq.heappop(self._heap)
            if self._queued.get(key) != due:
                continue
            del self._queued[key]
            entry = self._own.get(key)
            if entry is None or entry.gone or entry.due == math.inf:
                continue
            if entry.suspected_until is None:
                # More may be known now of how often it announces itself.
                entry.due = max(entry.due, self._ends(entry))
            if entry.due > now:
                self._set_due(entry, entry.due)
            else:
                self._suspect(entry, now)

    def on_suspicion(self, notice: messages.Suspicion) -> None:
        """Answers the other watcher."""
        heard, silent = [], []
        for key in notice.keys:
            entry = self._own.get(key)
            if entry is None or not self.has_heard(entry):
                silent.append(key)
            else:
                heard.append(self._heard_elsewhere(entry))
        answer = messages.SuspicionReply(self._me, tuple(heard), tuple(silent))
        self._outbox.send(notice.sender, answer)

    def _rank(self, entry: entries.Entry) -> None:
        watchers = watchers_of(entry.key, self._vms)
        mine = self._me in watchers
        entry.rank = watchers.index(self._me) if mine else None

    def _adjust_due(self, entry: entries.Entry) -> None:
        """Takes up a deadline, or drops it."""
        if entry.gone or entry.rank is None:
            entry.due = math.inf
            entry.suspected_until = None
        elif entry.due == math.inf:
            entry.adopted_at = self._clock.monotonic()
            self._set_due(entry, self._ends(entry))

    def contradict(
        self, entry: entries.Entry, watchers: abc.Iterable[str]
    ) -> None:
        """Contradicts that a member is gone, as this VM has heard it.

        A watcher tells all VMs; another VM tells the watchers when it was.
        """
        if entry.rank is not None:
            self.broadcast(entry)
            return
        heard = (self._heard_elsewhere(entry),)
        for vm in watchers:
            self._outbox.send(vm, messages.SuspicionReply(self._me, heard, ()))

    def on_suspicion_reply(self, notice: messages.SuspicionReply) -> None:
        """Takes the other watcher's answer."""
        for key in notice.silent:
            entry = self._own.get(key)
            if entry is None or entry.gone or entry.suspected_until is None:
                continue
            if not self.has_heard(entry):
                self._declare_gone(entry)
        for heard in notice.heard:
            key, digest, _, _, _ = heard
            entry = self._own.get(key)
            if entry is None or entry.digest != digest:
                self._outbox.request_row(notice.sender, key)
            else:
                self._take_heard_elsewhere(entry, heard)

    def _heard_elsewhere(self, entry: entries.Entry) -> messages.HeardElsewhere:
        age_s = self._clock.monotonic() - entry.heard_at
        sequence = entry.member.sequence
        age_ms = int(age_s * 1000)
        return entry.key, entry.digest, sequence, age_ms, entry.next_ms

    def _take_heard_elsewhere(
        self, entry: entries.Entry, heard: messages.HeardElsewhere
    ) -> None:
        _, _, sequence, age_ms, next_ms = heard
        heard_at = self._clock.monotonic() - age_ms / 1000
        busy = entries.busy_of(entry.member)
        member = entries.with_heartbeat(entry.member, sequence, busy)
        merged = self._store.merge(member, False)
        if entry.gone:
            return
        entry.heard_at = max(entry.heard_at, heard_at)
        entry.next_ms = max(entry.next_ms, next_ms)
        entry.suspected_until = None
        if entry.rank is not None:
            self._set_due(entry, self._ends(entry))
        if merged is stores.Merge.CHANGED:
            self.broadcast_change(entry)

    def _suspect(self, entry: entries.Entry, now: float) -> None:
        """Asks the other watcher; says gone if it cannot or did not answer."""
        watchers = watchers_of(entry.key, self._vms)
        others = [vm for vm in watchers if vm != self._me]
        if entry.suspected_until is not None or not others:
            self._declare_gone(entry)
            return
        entry.suspected_until = now + timing.SUSPICION_S
        self._set_due(entry, entry.suspected_until)
        self._outbox.suspect(others[0], entry.key)

    def _declare_gone(self, entry: entries.Entry) -> None:
        entry.due = math.inf
        entry.suspected_until = None
        self._store.merge(entry.member, True)
        self.broadcast(entry)

    def _broadcast_busy(self, entry: entries.Entry) -> None:
        """Tells of busy slots if they changed much and not too often."""
        member = entry.member
        if entry.rank != 0 or entries.kind_of(member) != entries.SERVER:
            return
        step = max(1.0, timing.BUSY_STEP_SHARE * getattr(member, "slots", 1))
        if abs(entries.busy_of(member) - entry.broadcast_busy) < step:
            return
        now = self._clock.monotonic()
        if now - entry.broadcast_busy_at >= timing.BUSY_INTERVAL_S:
            self.broadcast(entry)

    def _ttl_s(self, entry: entries.Entry) -> float:
        return timing.ttl_s(self._policy(), entry.member, entry.next_ms / 1000)

    def _ends(self, entry: entries.Entry) -> float:
        """Returns when a watched member is gone unless heard again."""
        inherited_s = timing.inherited_ttl_s(
            self._policy(), entry.member, entry.next_ms / 1000, self.watched
        )
        return max(
            entry.heard_at + self._ttl_s(entry),
            entry.adopted_at + inherited_s,
        )

    def _set_due(self, entry: entries.Entry, due: float) -> None:
        entry.due = due
        if due < self._queued.get(entry.key, math.inf):
            self._queued[entry.key] = due
            heapq.heappush(self._heap, (due, entry.key))


def watchers_of(key: int, vms: abc.Iterable[str]) -> list[str]:
    """Returns the watchers of a member among the VMs of its domain."""
    return hashing.rendezvous_order(str(key), vms)[:WATCHERS]
