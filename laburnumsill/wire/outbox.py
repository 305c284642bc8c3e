"""What waits to be sent to one peer, and what goes into the next frame.

Everything that was queued while the last write ran goes out in one frame,
up to a size that keeps a frame short. Raft messages and the rest have a
queue each, so that bulk in one never holds up the other for long.
"""

import collections
import dataclasses
import typing
from collections import abc

from laburnumsill.core import errors
from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire.generated.peer import ttypes

FRAME_TARGET_BYTES = 256 * 1024
"""A frame is not filled beyond this size, unless one message is larger."""

FRAME_MAX_ITEMS = 4096
"""Most messages that are put into one frame."""

MAX_ITEM_BYTES = frames.MAX_FRAME_BYTES - 1024 * 1024
"""Largest message; the rest of the frame is left for its other fields."""

RAFT_QUEUE_BYTES = 4 * 1024 * 1024
"""Beyond this size the oldest Raft messages are dropped."""

QUEUE_BYTES = 8 * 1024 * 1024
"""Beyond this size no further call or notice is taken.

One message may always wait, however large. Both bounds together keep what
waits for seven peers below 128 MB.
"""

_ITEM_OVERHEAD_BYTES = 96
_ENTRY_OVERHEAD_BYTES = 40


@dataclasses.dataclass(slots=True)
class Item:
    """One message that waits.

    Attributes:
        field: The list of `ttypes.Frame` that it goes into.
        value: The message.
        size: An upper bound of its encoded length.
        taken: Whether it was put into a frame, so may have been sent.
        withdrawn: Whether it must not be sent any more.
    """

    field: str
    value: typing.Any
    size: int
    taken: bool = False
    withdrawn: bool = False


class Outbox:
    """The queues of one connection.

    Attributes:
        dropped: Messages that were dropped because a queue was full.
    """

    def __init__(self) -> None:
        self._raft: collections.deque[Item] = collections.deque()
        self._rest: collections.deque[Item] = collections.deque()
        self._raft_bytes = 0
        self._rest_bytes = 0
        self._raft_first = True
        self.dropped = 0

    def __bool__(self) -> bool:
        return bool(self._raft or self._rest)

    def add_raft(self, messages: abc.Iterable[ttypes.RaftMessage]) -> None:
        """Queues Raft messages; the oldest are dropped beyond the bound.

        Raises:
            failures.FrameTooLargeError: A message can never be sent; those
                before it are queued.
        """
        for message in messages:
            item = Item("raft", message, _raft_size(message))
            _check_size(item)
            self._raft.append(item)
            self._raft_bytes += item.size
        while self._raft_bytes > RAFT_QUEUE_BYTES and len(self._raft) > 1:
            self._raft_bytes -= self._raft.popleft().size
            self.dropped += 1

    def add_call(self, call: ttypes.Call) -> Item:
        """Queues a call and returns its place, for withdrawing it.

        Raises:
            errors.OverloadedError: The queue is full; it is not sent.
            failures.FrameTooLargeError: It can never be sent.
        """
        item = Item("calls", call, len(call.payload) + _ITEM_OVERHEAD_BYTES)
        if not self._has_room(item):
            raise errors.OverloadedError(
                f"{self._rest_bytes} bytes wait for the peer"
            )
        self._add(item)
        return item

    def add_reply(self, reply: ttypes.Reply) -> None:
        """Queues a reply, which is never dropped.

        Raises:
            failures.FrameTooLargeError: It can never be sent.
        """
        size = len(reply.payload) + _ITEM_OVERHEAD_BYTES
        self._add(Item("replies", reply, size))

    def add_notice(self, notice: bytes) -> None:
        """Queues a notice; it is dropped when the queue is full.

        Raises:
            failures.FrameTooLargeError: It can never be sent.
        """
        item = Item("notices", notice, len(notice) + _ITEM_OVERHEAD_BYTES)
        if not self._has_room(item):
            self.dropped += 1
            return
        self._add(item)

    def gather(self) -> ttypes.Frame:
        """Takes out what goes into the next frame, maybe nothing.

        The two queues take turns in being first, and the first may always
        send one message however large, so neither starves.
        """
        frame = ttypes.Frame()
        size = 0
        limit = FRAME_TARGET_BYTES // 2
        for raft in (self._raft_first, not self._raft_first):
            size = self._move(raft, frame, size, limit)
            limit = FRAME_TARGET_BYTES
        self._raft_first = not self._raft_first
        return frame

    def _move(
        self, raft: bool, frame: ttypes.Frame, size: int, limit: int
    ) -> int:
        """Fills `frame` from one queue and returns its new size."""
        queue = self._raft if raft else self._rest
        for _ in range(FRAME_MAX_ITEMS):
            if not queue or (size and size + queue[0].size > limit):
                break
            item = queue.popleft()
            if raft:
                self._raft_bytes -= item.size
            else:
                self._rest_bytes -= item.size
            if not item.withdrawn:
                _put(frame, item)
                size += item.size
        return size

    def _has_room(self, item: Item) -> bool:
        wanted = self._rest_bytes + item.size
        return not self._rest or wanted <= QUEUE_BYTES

    def _add(self, item: Item) -> None:
        _check_size(item)
        self._rest.append(item)
        self._rest_bytes += item.size


def _put(frame: ttypes.Frame, item: Item) -> None:
    item.taken = True
    values = getattr(frame, item.field)
    if values is None:
        setattr(frame, item.field, [item.value])
    else:
        values.append(item.value)


def _check_size(item: Item) -> None:
    if item.size > MAX_ITEM_BYTES:
        raise failures.FrameTooLargeError(
            f"{item.field}: {item.size} bytes, {MAX_ITEM_BYTES} are allowed"
        )


def _raft_size(message: ttypes.RaftMessage) -> int:
    """Returns an upper bound of the encoded length of `message`."""
    size = 2 * _ITEM_OVERHEAD_BYTES
    for text in (message.group, message.source, message.target):
        size += len(text or "")
    for data in (message.data, message.detail):
        size += len(data or "")
    entries = message.entries or ()
    if len(entries) > frames.MAX_LIST_LENGTH:
        raise failures.FrameTooLargeError(
            f"{len(entries)} entries, {frames.MAX_LIST_LENGTH} are allowed"
        )
    for entry in entries:
        size += len(entry.data) + _ENTRY_OVERHEAD_BYTES
    return size
