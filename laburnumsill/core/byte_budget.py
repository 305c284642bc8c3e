"""A limit of the bytes that several holders keep in memory together.

Where the limit is reached, the holder that has kept the process waiting for
longest is given up. What arrives without pauses keeps none waiting for long, so
callers that hold their bytes or send slowly cannot shut the others out.

What has arrived whole is never given up. So the refusal of what is given up
says truly that nothing was done.
"""

import abc
import math


class Holder(abc.ABC):
    """Something that keeps bytes of a caller."""

    @property
    @abc.abstractmethod
    def waiting_since(self) -> float | None:
        """Time since which its caller keeps it waiting, None if it does not."""

    @abc.abstractmethod
    def give_up(self) -> None:
        """Frees what it keeps, at the next turn of the loop at the latest."""


class ByteBudget(abc.ABC):
    """Bounds the bytes of all holders; one that was given up counts no more.

    Args:
        max_bytes: The limit.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of all holders that count."""
        return self._held_bytes

    @property
    def holders(self) -> int:
        """Number of holders that count."""
        return len(self._held)

    def add(self, holder: Holder) -> None:
        """Adds a holder, which keeps no bytes yet."""
        self._held[holder] = 0

    def remove(self, holder: Holder) -> None:
        """Removes a holder with its bytes."""
        self._held_bytes -= self._held.pop(holder, 0)

    def take(self, holder: Holder, size: int) -> None:
        """Adds bytes to a holder; others may be given up for it, or it."""
        if holder not in self._held:
            return
        self._held[holder] += size
        self._held_bytes += size
        while self._held_bytes > self._max_bytes:
            self._give_up(self._longest_waiting(needs_bytes=True) or holder)

    def release(self, holder: Holder) -> None:
        """Takes all bytes off a holder."""
        if holder in self._held:
            self._held_bytes -= self._held[holder]
            self._held[holder] = 0

    def _longest_waiting(self, needs_bytes: bool) -> Holder | None:
        """Returns the holder whose caller has kept it waiting for longest."""
        chosen: Holder | None = None
        oldest = math.inf
        for holder, held in self._held.items():
            since = holder.waiting_since
            if since is None or (needs_bytes and not held):
                continue
            if since < oldest:
                chosen, oldest = holder, since
        return chosen

    def _give_up(self, holder: Holder) -> None:
        self._on_give_up(self._held[holder])
        self.remove(holder)
        holder.give_up()

    @abc.abstractmethod
    def _on_give_up(self, held_bytes: int) -> None:
        """Records that a holder with so many bytes is given up."""
