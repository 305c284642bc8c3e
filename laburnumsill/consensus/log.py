"""The in-memory copy of the replicated log."""

import bisect

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import types
from laburnumsill.core import codec

NO_MEMBERSHIP = types.Membership(())
"""The membership of a replica that has not received one yet."""


class Log:
    """Log entries after a base position, and the latest snapshot.

    The base is at the snapshot's index or before it, because some entries are
    retained behind a snapshot for followers that lag slightly. A membership
    takes effect as soon as its entry is in the log, and is undone if that
    entry is replaced.

    Attributes:
        snapshot: The latest snapshot, or None.
        base_index: Index of the last dropped entry, 0 if there is none.
        base_term: Term of that entry.

    Examples:
        >>> log = Log(None, ())
        >>> log.append(types.Entry(1, 1, types.EntryKind.EMPTY, b""))
        >>> log.last_index, log.term_at(1), log.term_at(2)
        (1, 1, None)
    """

    def __init__(
        self,
        snapshot: types.Snapshot | None,
        entries: tuple[types.Entry, ...],
    ) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[types.Entry] = []
        self._memberships: list[tuple[int, types.Membership]] = []
        if snapshot:
            self._memberships.append((snapshot.index, snapshot.membership))
        for entry in entries:
            if entry.index > self.base_index:
                self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> types.Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1] if self._memberships else NO_MEMBERSHIP

    @property
    def membership_index(self) -> int:
        """Index of the latest membership's entry; 0 if there is none."""
        return self._memberships[-1][0] if self._memberships else 0

    def membership_at(self, index: int) -> types.Membership:
        """Returns the membership in effect once `index` is the last entry."""
        position = bisect.bisect_right(
            self._memberships, index, key=lambda entry: entry[0]
        )
        return self._memberships[position - 1][1] if position else NO_MEMBERSHIP

    def is_voter_at_or_after(
        self, index: int, replica: types.ReplicaId
    ) -> bool:
        """Returns whether a replica is a voter at `index` or later.

        Args:
            index: An index of the log.
            replica: The replica to find in the memberships.
        """
        return replica in self.membership_at(index).voters or any(
            replica in membership.voters
            for changed_at, membership in self._memberships
            if changed_at > index
        )

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`, or None if unknown."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def last_at_term(self, index: int, term: int) -> int:
        """Returns the highest index whose term is at most `term`.

        The result is at most `index` and at least `base_index`.
        """
        index = min(index, self.last_index)
        while index > self.base_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index

    def between(self, first: int, last: int) -> tuple[types.Entry, ...]:
        """Returns the entries from `first` to `last`, both inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def batch(self, first: int, max_bytes: int) -> tuple[types.Entry, ...]:
        """Returns the entries from `first` on that fit in `max_bytes`.

        The first entry is returned even if it is larger.
        """
        size = 0
        end = first - self.base_index - 1
        while end < len(self._entries):
            size += len(self._entries[end].data)
            if size > max_bytes and end >= first - self.base_index:
                break
            end += 1
        return tuple(self._entries[first - self.base_index - 1 : end])

    def append(self, entry: types.Entry) -> None:
        """Appends an entry.

        Raises:
            engine_errors.LogBrokenError: `entry` leaves a gap.
        """
        if entry.index != self.last_index + 1:
            raise engine_errors.LogBrokenError(
                f"entry {entry.index} does not follow entry {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind is types.EntryKind.MEMBERSHIP:
            self._memberships.append((entry.index, codec.decode(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        while self._memberships and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, snapshot: types.Snapshot, retained_bytes: int) -> None:
        """Drops the entries that a snapshot covers, except the last ones.

        Args:
            snapshot: A snapshot at an index that the log still holds.
            retained_bytes: Entry bytes to retain behind the snapshot.
        """
        self.snapshot = snapshot
        base = snapshot.index
        size = 0
        while base > self.base_index:
            size += len(self._entries[base - self.base_index - 1].data) + 1
            if size > retained_bytes:
                break
            base -= 1
        term = self.term_at(base)
        del self._entries[: base - self.base_index]
        self.base_index = base
        self.base_term = term or 0
        while len(self._memberships) > 1 and self._memberships[1][0] <= base:
            del self._memberships[0]

    def reset(self, snapshot: types.Snapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries.clear()
        self._memberships = [(snapshot.index, snapshot.membership)]
