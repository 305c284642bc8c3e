"""Send queues of one connection, and the filling of frames from them.

Messages queued during a write are sent together in the next frame, up to
`FRAME_TARGET_BYTES`. Raft messages and all other messages have separate
queues, so that bulk in one queue does not delay the other for long.
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
"""Maximum size of a frame, unless a single message is larger."""

MAX_FRAME_ITEMS = 4096
"""Limit of the messages that one queue puts into a frame."""

MAX_ITEM_BYTES = frames.MAX_FRAME_BYTES - 1024 * 1024
"""Maximum size of a message; 1 MiB of the frame is left for other fields."""

MAX_RAFT_QUEUE_BYTES = 4 * 1024 * 1024
"""Beyond this size the oldest Raft messages are dropped."""

MAX_QUEUE_BYTES = 8 * 1024 * 1024
"""Beyond this size calls are refused and notices are dropped.

An empty queue accepts one message of any size. Both limits together keep the
queues of seven peers below 128 MB.
"""

_ITEM_OVERHEAD_BYTES = 96
_ENTRY_OVERHEAD_BYTES = 40


@dataclasses.dataclass(slots=True)
class Item:
    """A queued message.

    Attributes:
        field: The list field of `ttypes.Frame` that carries it.
        value: The message.
        size: An upper bound of its encoded length.
        maybe_sent: Whether it was put into a frame, so may have been sent.
        withdrawn: Whether it must not be sent.
    """

    field: str
    value: typing.Any
    size: int
    maybe_sent: bool = False
    withdrawn: bool = False


class Outbox:
    """The send queues of one connection.

    Attributes:
        dropped: Number of messages dropped because a queue was full.
    """

    def __init__(self) -> None:
        self._raft: collections.deque[Item] = collections.deque()
        self._other: collections.deque[Item] = collections.deque()
        self._raft_bytes = 0
        self._other_bytes = 0
        self._raft_first = True
        self.dropped = 0

    def __bool__(self) -> bool:
        return bool(self._raft or self._other)

    def add_raft(self, messages: abc.Iterable[ttypes.RaftMessage]) -> None:
        """Queues Raft messages and drops the oldest over the limit.

        Raises:
            failures.FrameTooLargeError: A message is over the size limit;
                those before it are queued.
        """
        for message in messages:
            item = _item("raft", message, _raft_size(message))
            self._raft.append(item)
            self._raft_bytes += item.size
        while self._raft_bytes > MAX_RAFT_QUEUE_BYTES and len(self._raft) > 1:
            self._raft_bytes -= self._raft.popleft().size
            self.dropped += 1

    def add_call(self, call: ttypes.Call) -> Item:
        """Queues a call and returns its item, by which it can be withdrawn.

        Raises:
            errors.OverloadedError: The queue is full; the call is not sent.
            failures.FrameTooLargeError: The call is over the size limit.
        """
        item = _item("calls", call, len(call.payload) + _ITEM_OVERHEAD_BYTES)
        if not self._fits(item):
            raise errors.OverloadedError(
                f"{self._other_bytes} bytes wait for the peer"
            )
        self._add(item)
        return item

    def add_reply(self, reply: ttypes.Reply) -> None:
        """Queues a reply, which is never dropped.

        Raises:
            failures.FrameTooLargeError: The reply is over the size limit.
        """
        size = len(reply.payload) + _ITEM_OVERHEAD_BYTES
        self._add(_item("replies", reply, size))

    def add_notice(self, notice: bytes) -> None:
        """Queues a notice, or drops it if the queue is full.

        Raises:
            failures.FrameTooLargeError: The notice is over the size limit.
        """
        item = _item("notices", notice, len(notice) + _ITEM_OVERHEAD_BYTES)
        if not self._fits(item):
            self.dropped += 1
            return
        self._add(item)

    def next_frame(self) -> ttypes.Frame:
        """Removes messages from the queues and returns them as a frame.

        The frame may be empty. The two queues alternate in being first, and
        the first may send one message of any size, so neither starves.
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
        """Moves messages from one queue to `frame` and returns its new size."""
        queue = self._raft if raft else self._other
        for _ in range(MAX_FRAME_ITEMS):
            if not queue or (size and size + queue[0].size > limit):
                break
            item = queue.popleft()
            if raft:
                self._raft_bytes -= item.size
            else:
                self._other_bytes -= item.size
            if not item.withdrawn:
                _add_to_frame(frame, item)
                size += item.size
        return size

    def _fits(self, item: Item) -> bool:
        queue_size = self._other_bytes + item.size
        return not self._other or queue_size <= MAX_QUEUE_BYTES

    def _add(self, item: Item) -> None:
        self._other.append(item)
        self._other_bytes += item.size


def _add_to_frame(frame: ttypes.Frame, item: Item) -> None:
    item.maybe_sent = True
    values = getattr(frame, item.field)
    if values is None:
        setattr(frame, item.field, [item.value])
    else:
        values.append(item.value)


def _item(field: str, value: typing.Any, size: int) -> Item:
    """Returns the item of a message.

    Raises:
        failures.FrameTooLargeError: The message is over the size limit.
    """
    if size > MAX_ITEM_BYTES:
        raise failures.FrameTooLargeError(
            f"{field}: {size} bytes, {MAX_ITEM_BYTES} are allowed"
        )
    return Item(field, value, size)


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
