"""Linearizable reads by heartbeat rounds (ReadIndex in the Raft thesis)."""

import collections
import dataclasses

from laburnumsill.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """Reads that one heartbeat round confirms at one commit index."""

    number: int
    index: int
    read_ids: tuple[int, ...]


class ReadQueue:
    """Pending reads in order of arrival, grouped into heartbeat rounds.

    A read is linearizable if, after its arrival, a majority acknowledges the
    leader, and if everything that was committed at its arrival is applied
    before it is served.

    References:
        D. Ongaro, "Consensus: bridging theory and practice", 2014,
        section 6.4.
    """

    def __init__(self) -> None:
        self._new_reads: list[int] = []
        self._rounds: collections.deque[_Round] = collections.deque()

    @property
    def has_new_reads(self) -> bool:
        """Whether some reads are not assigned to a round yet."""
        return bool(self._new_reads)

    def add(self, read_id: int) -> None:
        """Adds a read, which joins the next round."""
        self._new_reads.append(read_id)

    def assign(self, number: int, committed: int) -> None:
        """Assigns all reads without a round to one that is being sent.

        Args:
            number: Number of the round.
            committed: The commit index, which the reads must see applied.
        """
        self._rounds.append(_Round(number, committed, tuple(self._new_reads)))
        self._new_reads.clear()

    def confirm(self, number: int) -> list[types.ConfirmedRead]:
        """Removes and returns the reads of all rounds up to `number`."""
        reads = []
        while self._rounds and self._rounds[0].number <= number:
            confirmed = self._rounds.popleft()
            reads += [
                types.ConfirmedRead(read_id, confirmed.index)
                for read_id in confirmed.read_ids
            ]
        return reads

    def drain(self) -> list[int]:
        """Removes all pending reads and returns their ids."""
        pending_ids = [
            read_id for waiting in self._rounds for read_id in waiting.read_ids
        ]
        pending_ids += self._new_reads
        self._rounds.clear()
        self._new_reads.clear()
        return pending_ids
