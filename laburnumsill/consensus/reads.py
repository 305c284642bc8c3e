"""Reads that wait until a leader knows that it still leads."""

import collections
import dataclasses

from laburnumsill.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """Reads that one heartbeat round confirms."""

    number: int
    index: int
    read_ids: tuple[int, ...]


class ReadQueue:
    """Reads in the order they came, gathered into heartbeat rounds.

    A read is linearizable if the leader learns, after the read came, that
    a majority still follows it, and if everything committed when the read
    came is applied before it is served.

    References:
        D. Ongaro, "Consensus: bridging theory and practice", 2014,
        section 6.4.
    """

    def __init__(self) -> None:
        self._new: list[int] = []
        self._rounds: collections.deque[_Round] = collections.deque()
        self._number = 0

    @property
    def number(self) -> int:
        """Number of the newest heartbeat round."""
        return self._number

    @property
    def waiting(self) -> bool:
        """Whether reads wait for a round to begin."""
        return bool(self._new)

    def add(self, read_id: int) -> None:
        """Adds a read."""
        self._new.append(read_id)

    def begin_round(self, committed: int) -> None:
        """Begins a round for all reads that wait for one."""
        self._number += 1
        self._rounds.append(_Round(self._number, committed, tuple(self._new)))
        self._new.clear()

    def confirm(self, number: int) -> list[types.ConfirmedRead]:
        """Returns the reads of all rounds up to `number`."""
        found = []
        while self._rounds and self._rounds[0].number <= number:
            done = self._rounds.popleft()
            found += [
                types.ConfirmedRead(read_id, done.index)
                for read_id in done.read_ids
            ]
        return found

    def drain(self) -> list[int]:
        """Returns the ids of all reads and forgets them."""
        lost = [one for done in self._rounds for one in done.read_ids]
        lost += self._new
        self._rounds.clear()
        self._new.clear()
        return lost
