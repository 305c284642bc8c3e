"""Anti-entropy synchronization of the member tables.

At intervals of `timing.probe_interval_s` a VM probes each domain: it sends
the digest of its entries of the domain to one of the domain's VMs, in
round-robin order. A matching digest confirms all these entries. Otherwise the
VM pulls the rows that it lacks from the buckets that differ, and learns which
of its entries the other VM does not have. So a VM that has restarted or
missed changes catches up, and an entry that no VM of its domain confirms
becomes unusable. Synchronization only pulls, so that a wrong entry of one VM
does not spread.
"""

import dataclasses
import math
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.members import entries
from laburnumsill.members import messages
from laburnumsill.members import outbox as outboxes
from laburnumsill.members import rows
from laburnumsill.members import store as stores
from laburnumsill.members import timing

PROBE_WINDOW = 8
"""Number of the latest probes of a domain whose replies are accepted."""


@dataclasses.dataclass(slots=True)
class _ProbeState:
    """State of the probes of one domain.

    Attributes:
        number: Number of the last probe.
        next_at: When the next probe is due.
        sent_at: Times of the last `PROBE_WINDOW` probes by number.
    """

    number: int = 0
    next_at: float = -math.inf
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Syncer:
    """Sends probes, replies to them and pulls missing rows."""

    def __init__(
        self,
        local_vm: str,
        store: stores.MemberStore,
        outbox: outboxes.Outbox,
        clock: clocks.Clock,
        merge_row: abc.Callable[[messages.Row], None],
    ) -> None:
        """Creates a syncer.

        Args:
            local_vm: Id of this VM.
            store: The entries of this VM.
            outbox: Sends notices to other VMs.
            clock: The clock of this process.
            merge_row: Merges one row that was pulled.
        """
        self._local_vm = local_vm
        self._store = store
        self._outbox = outbox
        self._clock = clock
        self._merge_row = merge_row
        self._interval_s = timing.probe_interval_s(len(store.domains))
        self._probe_states = {name: _ProbeState() for name in store.domains}

    def send_probes(
        self, reachable: abc.Mapping[str, abc.Sequence[str]]
    ) -> None:
        """Sends the probes that are due.

        Args:
            reachable: The reachable VMs of each domain.
        """
        now = self._clock.monotonic()
        for name, state in self._probe_states.items():
            others = [
                vm for vm in reachable.get(name, ()) if vm != self._local_vm
            ]
            if not others or now < state.next_at:
                continue
            state.number += 1
            state.sent_at[state.number] = now
            state.sent_at.pop(state.number - PROBE_WINDOW, None)
            # A reply postpones the next probe to the end of the interval.
            state.next_at = now + timing.PROBE_TIMEOUT_S
            target = others[state.number % len(others)]
            root = self._store.domains[name].root
            notice = messages.Probe(self._local_vm, name, state.number, root)
            self._outbox.send(target, notice)

    def schedule_probes(self) -> None:
        """Schedules probes of all domains for the next tick."""
        for state in self._probe_states.values():
            state.next_at = -math.inf

    def on_probe(self, notice: messages.Probe) -> None:
        """Replies whether the digests of the sender and this VM match."""
        domain = self._store.domains.get(notice.domain)
        if domain is None:
            return
        reply: object
        if domain.root == notice.root:
            reply = messages.Agreed(notice.domain, notice.number, notice.root)
        else:
            reply = messages.Differs(
                self._local_vm, notice.domain, notice.number, domain.digests
            )
        self._outbox.send(notice.sender, reply)

    def on_agreed(self, notice: messages.Agreed) -> None:
        """Records that all buckets of a domain match."""
        sent_at = self._match_reply(notice.domain, notice.number)
        if sent_at is None:
            return
        domain = self._store.domains[notice.domain]
        for number in range(rows.BUCKETS):
            domain.confirm_bucket(number, sent_at)

    def on_differs(self, notice: messages.Differs) -> None:
        """Pulls the buckets that differ and confirms the others."""
        sent_at = self._match_reply(notice.domain, notice.number)
        if sent_at is None or len(notice.buckets) != rows.BUCKETS:
            return
        domain = self._store.domains[notice.domain]
        differing = []
        for number, digest in enumerate(notice.buckets):
            if digest == domain.digests[number]:
                domain.confirm_bucket(number, sent_at)
            else:
                differing.append(number)
        if differing:
            self._pull(notice.sender, domain, notice.number, differing)

    def on_pull(self, notice: messages.Pull) -> None:
        """Replies with the rows that the sender lacks, tombstones first."""
        domain = self._store.domains.get(notice.domain)
        if domain is None:
            return
        now = self._clock.monotonic()
        remote_digests = set(notice.have)
        found = [e for b in notice.buckets for e in domain.bucket(b)]
        local_digests = {e.digest for e in found if not e.gone}
        missing = [e for e in found if e.gone or e.digest not in remote_digests]
        missing.sort(key=lambda entry: not entry.gone)
        sent = missing[: outboxes.MAX_NOTICE_ITEMS]
        self._outbox.send(
            notice.sender,
            messages.Pulled(
                self._local_vm,
                notice.domain,
                notice.number,
                notice.buckets,
                tuple(entry.row(now) for entry in sent),
                tuple(remote_digests - local_digests),
                len(sent) < len(missing),
            ),
        )

    def on_pulled(self, notice: messages.Pulled) -> None:
        """Merges the rows and confirms the entries that the sender has too."""
        sent_at = self._match_reply(notice.domain, notice.number)
        if sent_at is None:
            return
        domain = self._store.domains[notice.domain]
        unknown = set(notice.unknown)
        for number in notice.buckets:
            for entry in domain.bucket(number):
                if not entry.gone and entry.digest not in unknown:
                    entry.confirmed_at = max(entry.confirmed_at, sent_at)
        for row in notice.rows:
            self._merge_row(row)
        if notice.more:
            self._pull(
                notice.sender, domain, notice.number, list(notice.buckets)
            )

    def _pull(
        self,
        vm: str,
        domain: rows.DomainEntries,
        number: int,
        buckets: list[int],
    ) -> None:
        have = tuple(
            entry.digest
            for bucket in buckets
            for entry in domain.bucket(bucket)
            if not entry.gone
        )
        notice = messages.Pull(
            self._local_vm, domain.domain, number, tuple(buckets), have
        )
        self._outbox.send(vm, notice)

    def _match_reply(self, domain: str, number: int) -> float | None:
        """Returns when a probe was sent, or None if it left the window.

        A reply to the last probe also postpones the next one.
        """
        state = self._probe_states.get(domain)
        if state is None or number not in state.sent_at:
            return None
        sent_at = state.sent_at[number]
        if number == state.number:
            state.next_at = sent_at + self._interval_s
        return sent_at


def usable_entries(
    domain: rows.DomainEntries,
    group: entries.Group,
    now: float,
    resumed_at: float,
) -> list[entries.Entry]:
    """Returns the members of a group that may get work from this VM.

    Args:
        domain: The entries of a reachable domain.
        group: The group of the members.
        now: The current time.
        resumed_at: When this VM last resumed after a stall.
    """
    oldest = now - timing.EVIDENCE_TTL_S
    found = []
    for entry in domain.group(group):
        if entry.gone or entry.member.leaving:
            continue
        evidence_at = domain.evidence_at(entry)
        # A watcher relies on the expiry, other VMs on the age of evidence.
        recent = entry.watcher_rank is not None or evidence_at >= oldest
        if recent and evidence_at > resumed_at:
            found.append(entry)
    return found


def unconfirmed_entries(
    domain: rows.DomainEntries, before: float
) -> list[entries.Entry]:
    """Returns present unwatched entries without evidence since `before`."""
    return [
        entry
        for number in range(rows.BUCKETS)
        if domain.bucket_confirmed_at(number) < before
        for entry in domain.bucket(number)
        if not entry.gone
        and entry.watcher_rank is None
        and domain.evidence_at(entry) < before
    ]
