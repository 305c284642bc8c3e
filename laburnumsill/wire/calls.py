"""Calls on one connection that wait for their replies."""

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
    """A call that waits for its reply.

    Attributes:
        item: The queued message of the call.
        done: Set once the reply has come or the connection is lost.
        reply: The reply, None without one.
    """

    item: outbox.Item
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: ttypes.Reply | None = None


class PendingCalls:
    """The pending calls of one connection, each with an id unique on it."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}

    def next_id(self) -> int:
        """Returns a fresh call id."""
        return next(self._ids)

    def add(self, item: outbox.Item) -> PendingCall:
        """Registers the call in `item` to receive its reply."""
        pending = PendingCall(item)
        self._pending[item.value.call_id] = pending
        return pending

    def discard(self, pending: PendingCall) -> None:
        """Withdraws the call if it is unsent; a later reply is dropped."""
        self._pending.pop(pending.item.value.call_id, None)
        pending.item.withdrawn = True

    def resolve(self, reply: ttypes.Reply) -> bool:
        """Passes a reply to its call; returns whether the call was pending."""
        pending = self._pending.pop(reply.call_id, None)
        if pending is None:
            return False
        pending.reply = reply
        pending.done.set()
        return True

    def fail_all(self) -> None:
        """Ends all pending calls without a reply."""
        for pending in self._pending.values():
            pending.item.withdrawn = True
            pending.done.set()
        self._pending.clear()


def result(vm: str, pending: PendingCall) -> typing.Any:
    """Returns the result of the peer's handler, or raises its error.

    Raises:
        errors.PeerUnreachableError: The call was certainly not sent.
        errors.OutcomeUnknownError: The call may have been sent, and no
            complete reply was received.
        errors.LaburnumsillError: The peer's handler raised this error.
    """
    reply = pending.reply
    if reply is None and not pending.item.maybe_sent:
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
    except TypeError:  # the constructor of its class takes other arguments
        return errors.LaburnumsillError(f"{record.slug}: {record.detail}")
