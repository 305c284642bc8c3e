"""Calls that wait for their replies on one connection."""

import dataclasses
import itertools
import typing

import trio

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.wire import outbox
from laburnumsill.wire.generated.peer import ttypes


@dataclasses.dataclass(slots=True)
class PendingCall:
    """One call without a reply yet.

    Attributes:
        item: Its place in the outbox.
        done: Set when there is a reply or the connection is lost.
        reply: The reply, or None.
    """

    item: outbox.Item
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: ttypes.Reply | None = None


class PendingCalls:
    """The calls of one connection; ids are never used twice on it."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}

    def next_id(self) -> int:
        """Returns a fresh call id."""
        return next(self._ids)

    def add(self, item: outbox.Item) -> PendingCall:
        """Waits for the reply to the call in `item`."""
        pending = PendingCall(item)
        self._pending[item.value.call_id] = pending
        return pending

    def forget(self, pending: PendingCall) -> None:
        """Drops the reply if it still comes; withdraws an unsent call."""
        self._pending.pop(pending.item.value.call_id, None)
        pending.item.withdrawn = True

    def settle(self, reply: ttypes.Reply) -> bool:
        """Hands a reply to its call; returns whether one waited for it."""
        pending = self._pending.pop(reply.call_id, None)
        if pending is None:
            return False
        pending.reply = reply
        pending.done.set()
        return True

    def fail_all(self) -> None:
        """Wakes all calls without a reply, since none can come any more."""
        for pending in self._pending.values():
            pending.item.withdrawn = True
            pending.done.set()
        self._pending.clear()


def result(vm: str, pending: PendingCall) -> typing.Any:
    """Returns what the peer's handler returned, or raises what it raised.

    Raises:
        errors.PeerUnreachableError: No byte of the call can have been sent.
        errors.OutcomeUnknownError: It may have been sent and no whole reply
            came.
        errors.LaburnumsillError: The peer's handler raised it.
    """
    reply = pending.reply
    if reply is None and not pending.item.taken:
        raise errors.PeerUnreachableError(f"{vm}: not sent", vm=vm)
    if reply is None:
        raise errors.OutcomeUnknownError(f"{vm}: no reply came", vm=vm)
    try:
        value = codec.decode(reply.payload) if reply.payload else None
    except codec.UndecodableMessageError as error:
        raise errors.OutcomeUnknownError(
            f"{vm}: undecodable reply: {error.detail}", vm=vm
        ) from error
    if reply.ok:
        return value
    raise _error(vm, value)


def _error(vm: str, record: object) -> errors.LaburnumsillError:
    if not isinstance(record, errors.ErrorRecord):
        return errors.OutcomeUnknownError(f"{vm}: a failure without record")
    try:
        return errors.LaburnumsillError.from_record(record)
    except TypeError:  # a type that cannot be made from a record
        return errors.LaburnumsillError(f"{record.slug}: {record.detail}")
