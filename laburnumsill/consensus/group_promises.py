"""Messages that wait until what they promise is stored."""

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
"""Messages that promise nothing about the sender's own log.

They may overtake a sync of entries, but not one of a term or vote. The
leader counts its own log only from `Engine.synced` on.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A message that waits for the sync of a change."""

    after: int
    message: types.Message


class HeldMessages:
    """The messages of one replica that wait for its store."""

    def __init__(self) -> None:
        self._held: list[_Held] = []

    def __len__(self) -> int:
        """How many wait."""
        return len(self._held)

    def add(self, after: int, message: types.Message) -> None:
        """Adds a message that may go once the change `after` is kept."""
        self._held.append(_Held(after, message))

    def drop_after(self, kept: int) -> None:
        """Drops what waits for a change after `kept`."""
        self._held = [one for one in self._held if one.after <= kept]

    def take(self, kept: int, writable: bool) -> list[types.Message]:
        """Returns the messages whose changes are kept, in their order.

        While nothing can be written the others are dropped: whoever waits
        for them asks again.
        """
        ready = [one.message for one in self._held if one.after <= kept]
        still = [one for one in self._held if one.after > kept]
        self._held = still if writable else []
        return ready
