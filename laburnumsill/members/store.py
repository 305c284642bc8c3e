"""Storage of all entries of one VM by failure domain, with observers."""

import enum
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.members import changes
from laburnumsill.members import entries
from laburnumsill.members import rows


class MergeResult(enum.Enum):
    """Result of merging a report into the store."""

    OLDER = "older"
    """Not stored: not newer than the entry, domain unknown or table full."""
    NEWER = "newer"
    """Newer version without a change of content, such as a heartbeat."""
    CHANGED = "changed"
    """New member, or a change that other VMs need to know."""


class MemberStore:
    """Merges reports by version; see `entries` for their order."""

    def __init__(
        self,
        domains: abc.Iterable[str],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._domains = {name: rows.DomainEntries(name) for name in domains}
        self._domain_of: dict[int, str] = {}
        self._observers: list[changes.Observer] = []

    @property
    def domains(self) -> dict[str, rows.DomainEntries]:
        """The entries of each failure domain."""
        return self._domains

    def observe(self, observer: changes.Observer) -> None:
        """Registers an observer that is called with each change."""
        self._observers.append(observer)

    def get(self, key: int) -> entries.Entry | None:
        """Returns the entry of a key, which may be a tombstone."""
        domain = self._domains.get(self._domain_of.get(key, ""))
        return domain.get(key) if domain is not None else None

    def merge(
        self, member: entries.Member, gone: bool, gone_ms: int = 0
    ) -> MergeResult:
        """Merges one report.

        Args:
            member: The member as announced.
            gone: Whether the member has been declared gone since.
            gone_ms: Time since that declaration in milliseconds.
        """
        merged = self._merge(member, gone)
        if merged is MergeResult.CHANGED and gone:
            entry = self.get(entries.member_key(member))
            if entry is not None:
                entry.gone_at = self._clock.monotonic() - gone_ms / 1000
        return merged

    def _merge(self, member: entries.Member, gone: bool) -> MergeResult:
        domain = self._domains.get(member.domain)
        if domain is None:
            return MergeResult.OLDER
        key = entries.member_key(member)
        entry = self.get(key)
        if entry is not None:
            if entries.version(member, gone) <= entry.version:
                return MergeResult.OLDER
            if entry.member.domain == member.domain:
                return self._replace(domain, entry, member, gone)
            self.remove(entry)
        return self._add(domain, key, member, gone)

    def remove(self, entry: entries.Entry) -> None:
        """Removes an entry without a tombstone; observers see it as gone."""
        was_gone = entry.gone
        domain = self._domains[entry.member.domain]
        domain.remove(entry)
        del self._domain_of[entry.key]
        if not was_gone:
            self._notify_observers(changes.ChangeType.GONE, entry.member)

    def remove_tombstones(self, before: float) -> None:
        """Removes the tombstones that were created before a point in time."""
        for domain in self._domains.values():
            domain.remove_tombstones(before)
        if len(self._domain_of) > sum(len(d) for d in self._domains.values()):
            self._domain_of = {
                entry.key: name
                for name, domain in self._domains.items()
                for entry in domain
            }

    def _add(
        self,
        domain: rows.DomainEntries,
        key: int,
        member: entries.Member,
        gone: bool,
    ) -> MergeResult:
        if domain.is_full:
            self._metrics.count("members_refused_total", domain=domain.domain)
            return MergeResult.OLDER
        now = self._clock.monotonic()
        digest = entries.content_digest(member)
        entry = entries.Entry(key, member, digest, gone, updated_at=now)
        entry.broadcast_busy = entries.busy_of(member)
        domain.add(entry, now)
        self._domain_of[key] = domain.domain
        if not gone:
            self._notify_observers(changes.ChangeType.JOINED, member)
        return MergeResult.CHANGED

    def _replace(
        self,
        domain: rows.DomainEntries,
        entry: entries.Entry,
        member: entries.Member,
        gone: bool,
    ) -> MergeResult:
        now = self._clock.monotonic()
        old, was_gone = entry.member, entry.gone
        digest = entries.content_digest(member)
        if digest == entry.digest and gone == was_gone:
            entry.member = member
            entry.updated_at = now
            return MergeResult.NEWER
        domain.update(entry, member, digest, gone, now)
        entry.updated_at = now
        for change_type, changed in changes.between(
            old, was_gone, member, gone
        ):
            self._notify_observers(change_type, changed)
        return MergeResult.CHANGED

    def _notify_observers(
        self, change_type: changes.ChangeType, member: entries.Member
    ) -> None:
        kind = entries.kind_of(member)
        logs.event(
            f"member-{change_type.value}",
            kind=kind,
            member=entries.member_id(member),
            domain=member.domain,
            incarnation=member.incarnation,
            sequence=member.sequence,
        )
        self._metrics.count(
            "member_changes_total", kind=kind, change=change_type.value
        )
        change = changes.Change(kind, change_type, member)
        for observer in self._observers:
            observer(change)
