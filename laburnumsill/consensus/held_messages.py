"""Outgoing messages that are held back until the store has synced."""

import dataclasses

from laburnumsill.consensus import types

UNSYNCED_KINDS = frozenset(
    {
        types.MessageKind.APPEND,
        types.MessageKind.HEARTBEAT,
        types.MessageKind.HEARTBEAT_REPLY,
        types.MessageKind.PRE_VOTE,
        types.MessageKind.PRE_VOTE_REPLY,
        types.MessageKind.SNAPSHOT,
        types.MessageKind.TIMEOUT_NOW,
    }
)
"""Messages that do not acknowledge entries of the sender's log.

They may be sent before a pending sync of entries, but not before one of a term
or vote. The leader counts its own entries only after `Engine.on_synced`.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A message and the number of the change whose sync it waits for."""

    change: int
    message: types.Message


class HeldMessages:
    """The outgoing messages of a replica that wait for a sync."""

    def __init__(self) -> None:
        self._held: list[_Held] = []

    def __len__(self) -> int:
        """Returns the number of held messages."""
        return len(self._held)

    def add(self, change: int, message: types.Message) -> None:
        """Adds a message that may be sent once the change is stored."""
        self._held.append(_Held(change, message))

    def discard_after(self, stored_changes: int) -> None:
        """Discards the messages that wait for a later change."""
        self._held = [
            held for held in self._held if held.change <= stored_changes
        ]

    def release(
        self, stored_changes: int, writable: bool
    ) -> list[types.Message]:
        """Removes and returns the messages whose changes are stored, in order.

        While the store is not writable the other messages are discarded; their
        receivers retry.
        """
        ready = [
            held.message for held in self._held if held.change <= stored_changes
        ]
        remaining = [
            held for held in self._held if held.change > stored_changes
        ]
        self._held = remaining if writable else []
        return ready
