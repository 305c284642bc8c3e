"""The entries of one failure domain, with digests for comparing them.

Entries fall into buckets by key. A bucket's digest is the exclusive or of
the digests of its present members, so that adding and removing one costs the
same whatever the size. Members that are gone do not count: two VMs agree
whether or not they still remember them.
"""

import collections
import math
from collections import abc

import xxhash

from laburnumsill.members import entries

BUCKETS = 64
"""Buckets of a domain; a power of two."""

MAX_ENTRIES = 20_000
"""Entries of one domain, gone ones included."""


class DomainRows:
    """All that is known of one failure domain's members."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self._entries: dict[int, entries.Entry] = {}
        self._digests = [0] * BUCKETS
        self._agreed_at = [-math.inf] * BUCKETS
        self._keys: list[set[int]] = [set() for _ in range(BUCKETS)]
        self._groups: dict[entries.Group, dict[int, entries.Entry]] = {}
        self._gone: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> abc.Iterator[entries.Entry]:
        return iter(self._entries.values())

    @property
    def full(self) -> bool:
        """Whether no further member can be known."""
        return len(self._entries) - len(self._gone) >= MAX_ENTRIES

    @property
    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._digests)

    @property
    def root(self) -> int:
        """The digest of all present members."""
        raw = b"".join(value.to_bytes(8, "big") for value in self._digests)
        return xxhash.xxh64_intdigest(raw)

    def get(self, key: int) -> entries.Entry | None:
        """Returns the entry of a key, gone or not."""
        return self._entries.get(key)

    def group(self, group: entries.Group) -> abc.Collection[entries.Entry]:
        """Returns the entries of one service, or all workers."""
        return self._groups.get(group, {}).values()

    def bucket(self, number: int) -> list[entries.Entry]:
        """Returns the entries of one bucket."""
        return [self._entries[key] for key in self._keys[number % BUCKETS]]

    def add(self, entry: entries.Entry, now: float) -> None:
        """Adds an entry whose key is not here."""
        if len(self._entries) >= MAX_ENTRIES and self._gone:
            self._remove(next(iter(self._gone)))
        self._entries[entry.key] = entry
        self._keys[entry.key % BUCKETS].add(entry.key)
        group = entries.group_of(entry.member)
        self._groups.setdefault(group, {})[entry.key] = entry
        if entry.gone:
            self._gone[entry.key] = now
        else:
            self._toggle(entry)

    def update(
        self,
        entry: entries.Entry,
        member: entries.Member,
        digest: int,
        gone: bool,
        now: float,
    ) -> None:
        """Replaces the report in an entry that is here."""
        if not entry.gone:
            self._toggle(entry)
        entry.member = member
        entry.digest = digest
        entry.gone = gone
        self._gone.pop(entry.key, None)
        if gone:
            self._gone[entry.key] = now
        else:
            self._toggle(entry)

    def forget(self, entry: entries.Entry) -> None:
        """Removes an entry as if it had never been known."""
        if not entry.gone:
            self._toggle(entry)
            entry.gone = True
        self._remove(entry.key)

    def forget_gone(self, before: float) -> None:
        """Removes members that were gone before a point in time."""
        while self._gone:
            key, gone_at = next(iter(self._gone.items()))
            if gone_at >= before:
                return
            self._remove(key)

    def agree(self, number: int, at: float) -> None:
        """Notes that a VM of the domain knew the same of a bucket."""
        self._agreed_at[number] = max(self._agreed_at[number], at)

    def agreed_at(self, number: int) -> float:
        """Returns when a bucket was last the same at a VM of the domain."""
        return self._agreed_at[number]

    def evidence_at(self, entry: entries.Entry) -> float:
        """Returns when there last was a reason to believe an entry."""
        return max(entry.evidence_at, self._agreed_at[entry.key % BUCKETS])

    def _remove(self, key: int) -> None:
        entry = self._entries.pop(key)
        group = entries.group_of(entry.member)
        del self._groups[group][key]
        if not self._groups[group]:
            del self._groups[group]
        self._keys[key % BUCKETS].discard(key)
        self._gone.pop(key, None)

    def _toggle(self, entry: entries.Entry) -> None:
        self._digests[entry.key % BUCKETS] ^= entry.digest
