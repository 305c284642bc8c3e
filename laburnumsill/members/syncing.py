"""Anti-entropy: each VM compares what it knows with a VM of each domain.

At the interval `timing.probe_interval_s` a VM sends the digest of what it
knows of a domain to one of that domain's VMs, each in turn. If they agree,
that VM has confirmed all of it; if not, the VM pulls what it lacks from the
buckets that differ and learns which of its entries are not known there. So a
VM that restarted, or that changes have passed by, catches up, and an entry
that no VM of its domain confirms is used no more. Nothing is ever pushed:
what a VM believes wrongly stays with it.
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

REMEMBERED_PROBES = 8
"""Probes of a domain whose answers still count."""


@dataclasses.dataclass(slots=True)
class _Round:
    """The probes of one domain.

    Attributes:
        number: Number of the last one.
        next_at: When the next one is due.
        sent_at: When the last ones were sent, by number.
    """

    number: int = 0
    next_at: float = -math.inf
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Syncer:
    """Sends and answers probes."""

    def __init__(
        self,
        me: str,
        store: stores.MemberStore,
        outbox: outboxes.Outbox,
        clock: clocks.Clock,
        merged: abc.Callable[[messages.Row], None],
    ) -> None:
        """Makes a syncer.

        Args:
            me: This VM.
            store: What this VM knows.
            outbox: Where notices go.
            clock: The clock of this process.
            merged: Joins one row that was pulled.
        """
        self._me = me
        self._store = store
        self._outbox = outbox
        self._clock = clock
        self._merged = merged
        self._interval_s = timing.probe_interval_s(len(store.domains))
        self._rounds = {name: _Round() for name in store.domains}

    def probe(self, reachable: abc.Mapping[str, abc.Sequence[str]]) -> None:
        """Sends the probes that are due.

        Args:
            reachable: For each domain its VMs that can be reached.
        """
        now = self._clock.monotonic()
        for name, turn in self._rounds.items():
            others = [vm for vm in reachable.get(name, ()) if vm != self._me]
            if not others or now < turn.next_at:
                continue
            turn.number += 1
            turn.sent_at[turn.number] = now
            turn.sent_at.pop(turn.number - REMEMBERED_PROBES, None)
            # An answer puts the next one off.
            turn.next_at = now + timing.PROBE_RETRY_S
            target = others[turn.number % len(others)]
            root = self._store.domains[name].root
            notice = messages.Probe(self._me, name, turn.number, root)
            self._outbox.send(target, notice)

    def probe_soon(self) -> None:
        """Makes the probes of all domains due."""
        for turn in self._rounds.values():
            turn.next_at = -math.inf

    def on_probe(self, notice: messages.Probe) -> None:
        """Compares the sender's digest with what is known here."""
        domain = self._store.domains.get(notice.domain)
        if domain is None:
            return
        answer: object
        if domain.root == notice.root:
            answer = messages.Agreed(notice.domain, notice.number, notice.root)
        else:
            answer = messages.Differs(
                self._me, notice.domain, notice.number, domain.digests
            )
        self._outbox.send(notice.sender, answer)

    def on_agreed(self, notice: messages.Agreed) -> None:
        """Takes the answer that both know the same."""
        sent_at = self._answered(notice.domain, notice.number)
        if sent_at is None:
            return
        domain = self._store.domains[notice.domain]
        for number in range(rows.BUCKETS):
            domain.agree(number, sent_at)

    def on_differs(self, notice: messages.Differs) -> None:
        """Pulls the buckets that differ."""
        sent_at = self._answered(notice.domain, notice.number)
        if sent_at is None or len(notice.buckets) != rows.BUCKETS:
            return
        domain = self._store.domains[notice.domain]
        differing = []
        for number, digest in enumerate(notice.buckets):
            if digest == domain.digests[number]:
                domain.agree(number, sent_at)
            else:
                differing.append(number)
        if differing:
            self._pull(notice.sender, domain, notice.number, differing)

    def on_pull(self, notice: messages.Pull) -> None:
        """Answers with what the sender lacks, gone members first."""
        domain = self._store.domains.get(notice.domain)
        if domain is None:
            return
        now = self._clock.monotonic()
        have = set(notice.have)
        found = [e for b in notice.buckets for e in domain.bucket(b)]
        mine = {e.digest for e in found if not e.gone}
        lacking = [e for e in found if e.gone or e.digest not in have]
        lacking.sort(key=lambda entry: not entry.gone)
        sent = lacking[: outboxes.MAX_ITEMS]
        self._outbox.send(
            notice.sender,
            messages.Pulled(
                self._me,
                notice.domain,
                notice.number,
                notice.buckets,
                tuple(entry.row(now) for entry in sent),
                tuple(have - mine),
                len(sent) < len(lacking),
            ),
        )

    def on_pulled(self, notice: messages.Pulled) -> None:
        """Joins what was pulled; what is known there too is confirmed."""
        sent_at = self._answered(notice.domain, notice.number)
        if sent_at is None:
            return
        domain = self._store.domains[notice.domain]
        unknown = set(notice.unknown)
        for number in notice.buckets:
            for entry in domain.bucket(number):
                if not entry.gone and entry.digest not in unknown:
                    entry.confirmed_at = max(entry.confirmed_at, sent_at)
        for row in notice.rows:
            self._merged(row)
        if notice.more:
            self._pull(
                notice.sender, domain, notice.number, list(notice.buckets)
            )

    def _pull(
        self,
        vm: str,
        domain: rows.DomainRows,
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
            self._me, domain.domain, number, tuple(buckets), have
        )
        self._outbox.send(vm, notice)

    def _answered(self, domain: str, number: int) -> float | None:
        """Returns when a probe was sent, None if that is long ago.

        The answer to the last probe puts the next one off.
        """
        turn = self._rounds.get(domain)
        if turn is None or number not in turn.sent_at:
            return None
        sent_at = turn.sent_at[number]
        if number == turn.number:
            turn.next_at = sent_at + self._interval_s
        return sent_at


def usable(
    domain: rows.DomainRows,
    group: entries.Group,
    now: float,
    stalled_at: float,
) -> list[entries.Entry]:
    """Returns the members of a group that may get work from this VM.

    Args:
        domain: All that is known of a domain that can be reached.
        group: The members asked for.
        now: The present point.
        stalled_at: When this VM last went on after it had stood still.
    """
    oldest = now - timing.CONFIRM_S
    found = []
    for entry in domain.group(group):
        if entry.gone or entry.member.leaving:
            continue
        evidence_at = domain.evidence_at(entry)
        # A watcher goes by its deadline, others by the age of the evidence.
        recent = entry.rank is not None or evidence_at >= oldest
        if recent and evidence_at > stalled_at:
            found.append(entry)
    return found


def unconfirmed(domain: rows.DomainRows, before: float) -> list[entries.Entry]:
    """Returns present entries that nothing has spoken for since `before`."""
    return [
        entry
        for number in range(rows.BUCKETS)
        if domain.agreed_at(number) < before
        for entry in domain.bucket(number)
        if not entry.gone
        and entry.rank is None
        and domain.evidence_at(entry) < before
    ]
