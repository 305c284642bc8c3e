"""Assembles a snapshot that a leader sends in chunks."""

from laburnumsill.consensus import types
from laburnumsill.core import codec


def membership_entry(snapshot: types.Snapshot) -> types.Entry:
    """Returns the entry that holds a snapshot's membership in a message."""
    return types.Entry(
        snapshot.index,
        snapshot.term,
        types.EntryKind.MEMBERSHIP,
        codec.encode(snapshot.membership),
    )


class SnapshotReceiver:
    """Collects the chunks of one snapshot from one leader.

    Two leaders may encode the same state differently, so a chunk from another
    leader, or of another snapshot, discards the chunks received before.
    """

    def __init__(self) -> None:
        self._key: tuple[types.ReplicaId, int, int, int] | None = None
        self._data = bytearray()
        self._membership: types.Membership | None = None

    @property
    def received_bytes(self) -> int:
        """Bytes received, which is the offset of the next chunk."""
        return len(self._data)

    def add(self, message: types.Message) -> types.Snapshot | None:
        """Adds a chunk; returns the snapshot once it is complete.

        A chunk at any other offset than the next one is ignored.
        """
        key = (message.source, message.term, message.index, message.log_term)
        if key != self._key:
            self.clear()
            self._key = key
        if message.offset != len(self._data):
            return None
        if message.entries:
            self._membership = codec.decode(message.entries[0].data)
        self._data += message.data
        if not message.last or self._membership is None:
            return None
        snapshot = types.Snapshot(
            message.index,
            message.log_term,
            self._membership,
            bytes(self._data),
        )
        self.clear()
        return snapshot

    def clear(self) -> None:
        """Discards all chunks."""
        self._key = None
        self._data = bytearray()
        self._membership = None
