"""All entries of one VM, by failure domain, and who hears of changes."""

import enum
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.members import changes
from laburnumsill.members import entries
from laburnumsill.members import rows


class Merge(enum.Enum):
    """What a report did to the store."""

    OLDER = "older"
    """Nothing: it is no newer than what is known, or cannot be kept."""
    NEWER = "newer"
    """It only raised the sequence."""
    CHANGED = "changed"
    """It changed what others need to know."""


class MemberStore:
    """Joins reports by version; see `entries` for the order."""

    def __init__(
        self,
        domains: abc.Iterable[str],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._domains = {name: rows.DomainRows(name) for name in domains}
        self._domain_of: dict[int, str] = {}
        self._observers: list[changes.Observer] = []

    @property
    def domains(self) -> dict[str, rows.DomainRows]:
        """The entries of each failure domain."""
        return self._domains

    def observe(self, observer: changes.Observer) -> None:
        """Calls `observer` with each change."""
        self._observers.append(observer)

    def get(self, key: int) -> entries.Entry | None:
        """Returns the entry of a key, gone or not."""
        domain = self._domains.get(self._domain_of.get(key, ""))
        return domain.get(key) if domain is not None else None

    def merge(
        self, member: entries.Member, gone: bool, gone_ms: int = 0
    ) -> Merge:
        """Joins one report.

        Args:
            member: What the member announced.
            gone: Whether it was declared gone since.
            gone_ms: How long ago that was, in milliseconds.
        """
        merged = self._merge(member, gone)
        if merged is Merge.CHANGED and gone:
            entry = self.get(entries.member_key(member))
            if entry is not None:
                entry.gone_at = self._clock.monotonic() - gone_ms / 1000
        return merged

    def _merge(self, member: entries.Member, gone: bool) -> Merge:
        domain = self._domains.get(member.domain)
        if domain is None:
            return Merge.OLDER
        key = entries.member_key(member)
        entry = self.get(key)
        if entry is not None:
            if entries.version(member, gone) <= entry.version:
                return Merge.OLDER
            if entry.member.domain == member.domain:
                return self._replace(domain, entry, member, gone)
            self.forget(entry)
        return self._add(domain, key, member, gone)

    def forget(self, entry: entries.Entry) -> None:
        """Removes an entry without a trace; observers hear it is gone."""
        was_gone = entry.gone
        domain = self._domains[entry.member.domain]
        domain.forget(entry)
        del self._domain_of[entry.key]
        if not was_gone:
            self._tell(changes.What.GONE, entry.member)

    def forget_gone(self, before: float) -> None:
        """Removes all that were gone before a point in time."""
        for domain in self._domains.values():
            domain.forget_gone(before)
        if len(self._domain_of) > sum(len(d) for d in self._domains.values()):
            self._domain_of = {
                entry.key: name
                for name, domain in self._domains.items()
                for entry in domain
            }

    def _add(
        self,
        domain: rows.DomainRows,
        key: int,
        member: entries.Member,
        gone: bool,
    ) -> Merge:
        if domain.full:
            self._metrics.count("members_refused_total", domain=domain.domain)
            return Merge.OLDER
        now = self._clock.monotonic()
        digest = entries.content_digest(member)
        entry = entries.Entry(key, member, digest, gone, learnt_at=now)
        entry.broadcast_busy = entries.busy_of(member)
        domain.add(entry, now)
        self._domain_of[key] = domain.domain
        if not gone:
            self._tell(changes.What.JOINED, member)
        return Merge.CHANGED

    def _replace(
        self,
        domain: rows.DomainRows,
        entry: entries.Entry,
        member: entries.Member,
        gone: bool,
    ) -> Merge:
        now = self._clock.monotonic()
        old, was_gone = entry.member, entry.gone
        digest = entries.content_digest(member)
        if digest == entry.digest and gone == was_gone:
            entry.member = member
            entry.learnt_at = now
            return Merge.NEWER
        domain.update(entry, member, digest, gone, now)
        entry.learnt_at = now
        for what, about in changes.between(old, was_gone, member, gone):
            self._tell(what, about)
        return Merge.CHANGED

    def _tell(self, what: changes.What, member: entries.Member) -> None:
        kind = entries.kind_of(member)
        logs.event(
            f"member-{what.value}",
            kind=kind,
            member=entries.member_id(member),
            domain=member.domain,
            incarnation=member.incarnation,
            sequence=member.sequence,
        )
        self._metrics.count(
            "member_changes_total", kind=kind, change=what.value
        )
        change = changes.Change(kind, what, member)
        for observer in self._observers:
            observer(change)
