"""The entries of one failure domain, with digests for anti-entropy.

Entries are divided into buckets by key. The digest of a bucket is the
exclusive or of the digests of its present members, so that adding or removing
an entry takes constant time. Tombstones (entries of members that are gone) do
not count: VMs agree whether or not they still hold the same tombstones.
"""

import collections
import math
from collections import abc

import xxhash

from laburnumsill.members import entries

BUCKETS = 64
"""Number of buckets of a domain; a power of two."""

MAX_ENTRIES = 20_000
"""Maximum entries of one domain, tombstones included."""


class DomainEntries:
    """Entries of one failure domain by key, by bucket and by group."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self._entries: dict[int, entries.Entry] = {}
        self._digests = [0] * BUCKETS
        self._confirmed_at = [-math.inf] * BUCKETS
        self._bucket_keys: list[set[int]] = [set() for _ in range(BUCKETS)]
        self._groups: dict[entries.Group, dict[int, entries.Entry]] = {}
        self._tombstones: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> abc.Iterator[entries.Entry]:
        return iter(self._entries.values())

    @property
    def is_full(self) -> bool:
        """Whether the domain has no capacity for a further member."""
        return len(self._entries) - len(self._tombstones) >= MAX_ENTRIES

    @property
    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._digests)

    @property
    def root(self) -> int:
        """The digest of all buckets, and so of all present members."""
        raw = b"".join(value.to_bytes(8, "big") for value in self._digests)
        return xxhash.xxh64_intdigest(raw)

    def get(self, key: int) -> entries.Entry | None:
        """Returns the entry of a key, which may be a tombstone."""
        return self._entries.get(key)

    def group(self, group: entries.Group) -> abc.Collection[entries.Entry]:
        """Returns the entries of one group, tombstones included."""
        return self._groups.get(group, {}).values()

    def bucket(self, number: int) -> list[entries.Entry]:
        """Returns the entries of one bucket, tombstones included."""
        return [
            self._entries[key] for key in self._bucket_keys[number % BUCKETS]
        ]

    def add(self, entry: entries.Entry, now: float) -> None:
        """Adds an entry with a new key; evicts the oldest tombstone if full."""
        if len(self._entries) >= MAX_ENTRIES and self._tombstones:
            self._remove(next(iter(self._tombstones)))
        self._entries[entry.key] = entry
        self._bucket_keys[entry.key % BUCKETS].add(entry.key)
        group = entries.group_of(entry.member)
        self._groups.setdefault(group, {})[entry.key] = entry
        if entry.gone:
            self._tombstones[entry.key] = now
        else:
            self._xor_digest(entry)

    def update(
        self,
        entry: entries.Entry,
        member: entries.Member,
        digest: int,
        gone: bool,
        now: float,
    ) -> None:
        """Replaces the report of an entry."""
        if not entry.gone:
            self._xor_digest(entry)
        entry.member = member
        entry.digest = digest
        entry.gone = gone
        self._tombstones.pop(entry.key, None)
        if gone:
            self._tombstones[entry.key] = now
        else:
            self._xor_digest(entry)

    def remove(self, entry: entries.Entry) -> None:
        """Removes an entry without leaving a tombstone."""
        if not entry.gone:
            self._xor_digest(entry)
            entry.gone = True
        self._remove(entry.key)

    def remove_tombstones(self, before: float) -> None:
        """Removes the tombstones that were created before a point in time."""
        while self._tombstones:
            key, gone_at = next(iter(self._tombstones.items()))
            if gone_at >= before:
                return
            self._remove(key)

    def confirm_bucket(self, number: int, confirmed_at: float) -> None:
        """Records that the digest of a bucket matched at a VM of the domain."""
        self._confirmed_at[number] = max(
            self._confirmed_at[number], confirmed_at
        )

    def bucket_confirmed_at(self, number: int) -> float:
        """Returns when a bucket last matched at a VM of the domain."""
        return self._confirmed_at[number]

    def evidence_at(self, entry: entries.Entry) -> float:
        """Returns the time of the latest evidence for an entry.

        Evidence is a contact, an update, or a confirmation of the entry or of
        its bucket by a VM of the domain.
        """
        return max(entry.evidence_at, self._confirmed_at[entry.key % BUCKETS])

    def _remove(self, key: int) -> None:
        entry = self._entries.pop(key)
        group = entries.group_of(entry.member)
        del self._groups[group][key]
        if not self._groups[group]:
            del self._groups[group]
        self._bucket_keys[key % BUCKETS].discard(key)
        self._tombstones.pop(key, None)

    def _xor_digest(self, entry: entries.Entry) -> None:
        self._digests[entry.key % BUCKETS] ^= entry.digest
