"""What a leader knows of one other member."""

import collections
import enum

from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import types


class Mode(enum.Enum):
    """How a leader sends entries to a member."""

    PROBE = "probe"
    """One APPEND at a time, to find where the logs agree."""
    REPLICATE = "replicate"
    """Many APPENDs in flight."""
    SNAPSHOT = "snapshot"
    """One chunk of a snapshot at a time."""


class Progress:
    """Position and flow control of one member.

    Attributes:
        match: Highest index known to be equal in both logs.
        next: Next index to send.
        synced: Highest index on the member's synced disk.
        mode: How entries are sent.
        heard_at: When a message came last.
        round: Newest heartbeat round it has answered.
        sent_commit: Commit index last sent.
        snapshot: The snapshot being sent, or None.
        offset: Position of the next chunk of it.
        writable: Whether the member said that it can write.
    """

    def __init__(
        self, next_index: int, now: float, options: options_module.Options
    ) -> None:
        self.match = 0
        self.next = next_index
        self.synced = 0
        self.mode = Mode.PROBE
        self.heard_at = now
        self.round = 0
        self.sent_commit = 0
        self.snapshot: types.Snapshot | None = None
        self.offset = 0
        self.writable = True
        self._options = options
        self._waiting = False
        self._waiting_since = now
        self._in_flight: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._in_flight_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no answer is outstanding."""
        return not self._waiting and not self._in_flight

    @property
    def may_send(self) -> bool:
        """Whether flow control lets another message go."""
        if not self.writable:
            return False
        if self.mode is not Mode.REPLICATE:
            return not self._waiting
        return (
            len(self._in_flight) < self._options.max_in_flight
            and self._in_flight_bytes < self._options.max_in_flight_bytes
        )

    def stalled(self, now: float) -> bool:
        """Returns whether an answer is overdue from a member that is there.

        A member that is not heard from is sent heartbeats only.
        """
        overdue = self._waiting_since + self._options.election_timeout_s / 2
        return (
            not self.idle
            and now >= overdue
            and self.heard_at > self._waiting_since
        )

    def sent(self, entries: tuple[types.Entry, ...], now: float) -> None:
        """Notes an APPEND that went out."""
        if self.idle:
            self._waiting_since = now
        if self.mode is Mode.PROBE:
            self._waiting = True
            return
        if not entries:
            return
        size = sum(len(entry.data) for entry in entries)
        self._in_flight.append((entries[-1].index, size))
        self._in_flight_bytes += size
        self.next = entries[-1].index + 1

    def sent_chunk(self, now: float) -> None:
        """Notes a SNAPSHOT that went out."""
        self._waiting = True
        self._waiting_since = now

    def accept(self, match: int, synced: int, now: float) -> None:
        """Notes that the logs agree up to `match`."""
        self.match = max(self.match, match)
        self.synced = max(self.synced, synced)
        self.next = max(self.next, self.match + 1)
        self._waiting_since = now
        while self._in_flight and self._in_flight[0][0] <= self.match:
            _, size = self._in_flight.popleft()
            self._in_flight_bytes -= size
        if self.mode is Mode.SNAPSHOT:
            if self.snapshot and self.match < self.snapshot.index:
                return
            self.snapshot = None
        self._waiting = False
        self.mode = Mode.REPLICATE

    def refuse(self, index: int, agreed: int) -> None:
        """Notes that the member has no such entry before the ones sent.

        Args:
            index: The index that was refused.
            agreed: Highest index at which the logs may agree.
        """
        if self.mode is Mode.SNAPSHOT or index <= self.match:
            return
        if self.mode is Mode.PROBE and index != self.next - 1:
            return
        self.probe(min(index, agreed + 1))

    def probe(self, next_index: int) -> None:
        """Goes back to probing, from `next_index` or after the match."""
        self.mode = Mode.PROBE
        self.next = max(next_index, self.match + 1)
        self.snapshot = None
        self._clear()

    def retry(self) -> None:
        """Sends again what was not answered."""
        if self.mode is Mode.REPLICATE:
            self.probe(self.match + 1)
        else:
            self._waiting = False

    def send_snapshot(self, snapshot: types.Snapshot) -> None:
        """Begins to send a snapshot."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = snapshot
        self.offset = 0
        self._clear()

    def note_writable(self, writable: bool) -> None:
        """Notes whether the member can write; repeats what it dropped."""
        if writable and not self.writable:
            self.retry()
        self.writable = writable

    def accept_chunk(self, index: int, offset: int) -> None:
        """Notes how much of the snapshot at `index` has arrived."""
        if self.snapshot and self.snapshot.index == index:
            self.offset = min(offset, len(self.snapshot.data))
            self._waiting = False

    def _clear(self) -> None:
        self._waiting = False
        self._in_flight.clear()
        self._in_flight_bytes = 0
