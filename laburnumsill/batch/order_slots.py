"""Limit of the orders in flight that are not urgent.

Answers plans that place or stop hundreds of runs at once, as after the start of
a site. Sent all at the same time, the orders keep the loop of the leader busy
for longer than their timeouts, so that orders which were carried out count as
unanswered, their workers as unreachable, and gangs start incomplete. Urgent
orders are few and do not wait: while workers are cut off, orders to them hold
their slots for a whole timeout.
"""

import contextlib
import heapq
import itertools
from collections import abc

import trio

from laburnumsill.batch import packing

MAX_ORDERS_IN_FLIGHT = 64
"""A leader completes about a thousand orders a second, so this many end within
the shortest timeout of an order, 0.1 s."""


class OrderSlots:
    """Slots for orders in flight; those of high priority get theirs first.

    Args:
        limit: The number of slots.
    """

    def __init__(self, limit: int = MAX_ORDERS_IN_FLIGHT) -> None:
        self._free = limit
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of orders that wait for a slot."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def slot(self, priority: int) -> abc.AsyncIterator[None]:
        """Holds a slot for one order; urgent orders need none.

        Args:
            priority: Priority of the order; 0 is the highest.
        """
        if priority <= packing.URGENT_PRIORITY:
            yield
            return
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self._free > 0:
            self._free -= 1
            return
        granted = trio.Event()
        entry = (priority, next(self._numbers), granted)
        heapq.heappush(self._waiting, entry)
        try:
            await granted.wait()
        except trio.Cancelled:
            if granted.is_set():
                self._release()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _release(self) -> None:
        """Passes the slot on to the next order, or frees it."""
        if self._waiting:
            _, _, granted = heapq.heappop(self._waiting)
            granted.set()
        else:
            self._free += 1
