"""Replication progress of one member, as its leader sees it."""

import collections
import enum

from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import types


class Mode(enum.Enum):
    """Replication mode of a member."""

    PROBE = "probe"
    """One APPEND at a time, to find the last index at which the logs match."""
    REPLICATE = "replicate"
    """Pipelined APPENDs, up to the limits on messages in flight."""
    SNAPSHOT = "snapshot"
    """One chunk of a snapshot at a time."""


class Progress:
    """Replication position and flow control of one member.

    Attributes:
        match: Highest index at which both logs are known to match.
        next: Next index to send.
        synced: Highest index on the member's synced disk.
        mode: Replication mode.
        last_contact_at: Monotonic time of the last reply.
        round: Latest heartbeat round that the member acknowledged.
        sent_commit: Commit index last sent.
        snapshot: The snapshot being sent, or None.
        offset: Byte offset of the next chunk of the snapshot.
        writable: Whether the member reported that it can write.
    """

    def __init__(
        self, next_index: int, now: float, options: options_module.Options
    ) -> None:
        self.match = 0
        self.next = next_index
        self.synced = 0
        self.mode = Mode.PROBE
        self.last_contact_at = now
        self.round = 0
        self.sent_commit = 0
        self.snapshot: types.Snapshot | None = None
        self.offset = 0
        self.writable = True
        self._options = options
        self._awaiting_reply = False
        self._awaiting_since = now
        self._in_flight: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._in_flight_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no reply is outstanding."""
        return not self._awaiting_reply and not self._in_flight

    @property
    def may_send(self) -> bool:
        """Whether flow control permits another message."""
        if not self.writable:
            return False
        if self.mode is not Mode.REPLICATE:
            return not self._awaiting_reply
        return (
            len(self._in_flight) < self._options.max_in_flight
            and self._in_flight_bytes < self._options.max_in_flight_bytes
        )

    def is_stalled(self, now: float) -> bool:
        """Returns whether a reply is overdue from a reachable member.

        A member that replies to nothing is sent heartbeats only.
        """
        overdue = self._awaiting_since + self._options.election_timeout_s / 2
        return (
            not self.idle
            and now >= overdue
            and self.last_contact_at > self._awaiting_since
        )

    def on_append_sent(
        self, entries: tuple[types.Entry, ...], now: float
    ) -> None:
        """Records an APPEND that was sent."""
        if self.idle:
            self._awaiting_since = now
        if self.mode is Mode.PROBE:
            self._awaiting_reply = True
            return
        if not entries:
            return
        size = sum(len(entry.data) for entry in entries)
        self._in_flight.append((entries[-1].index, size))
        self._in_flight_bytes += size
        self.next = entries[-1].index + 1

    def on_chunk_sent(self, now: float) -> None:
        """Records a SNAPSHOT chunk that was sent."""
        self._awaiting_reply = True
        self._awaiting_since = now

    def on_append_accepted(self, match: int, synced: int, now: float) -> None:
        """Records that the logs match up to `match`."""
        self.match = max(self.match, match)
        self.synced = max(self.synced, synced)
        self.next = max(self.next, self.match + 1)
        self._awaiting_since = now
        while self._in_flight and self._in_flight[0][0] <= self.match:
            _, size = self._in_flight.popleft()
            self._in_flight_bytes -= size
        if self.mode is Mode.SNAPSHOT:
            if self.snapshot and self.match < self.snapshot.index:
                return
            self.snapshot = None
        self._awaiting_reply = False
        self.mode = Mode.REPLICATE

    def on_append_rejected(self, index: int, match_hint: int) -> None:
        """Handles a rejection: the member lacks the entry before those sent.

        Args:
            index: Index of the entry that the member lacks.
            match_hint: Highest index at which the logs may match.
        """
        if self.mode is Mode.SNAPSHOT or index <= self.match:
            return
        if self.mode is Mode.PROBE and index != self.next - 1:
            return
        self.probe(min(index, match_hint + 1))

    def probe(self, next_index: int) -> None:
        """Returns to probing from `next_index`, or after `match` if higher."""
        self.mode = Mode.PROBE
        self.next = max(next_index, self.match + 1)
        self.snapshot = None
        self._clear()

    def retry(self) -> None:
        """Schedules unacknowledged messages for retransmission."""
        if self.mode is Mode.REPLICATE:
            self.probe(self.match + 1)
        else:
            self._awaiting_reply = False

    def send_snapshot(self, snapshot: types.Snapshot) -> None:
        """Begins to send `snapshot`."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = snapshot
        self.offset = 0
        self._clear()

    def on_writable(self, writable: bool) -> None:
        """Records whether the member can write.

        Entries that it dropped while it could not are sent again.
        """
        if writable and not self.writable:
            self.retry()
        self.writable = writable

    def on_chunk_accepted(self, index: int, offset: int) -> None:
        """Records how many bytes of the snapshot at `index` were received."""
        if self.snapshot and self.snapshot.index == index:
            self.offset = min(offset, len(self.snapshot.data))
            self._awaiting_reply = False

    def _clear(self) -> None:
        self._awaiting_reply = False
        self._in_flight.clear()
        self._in_flight_bytes = 0
