"""Conversion between engine messages and the RaftMessage of peer.thrift."""

from laburnumsill.consensus import types
from laburnumsill.core import errors
from laburnumsill.wire.generated.peer import ttypes

_NUMBERS = ("index", "log_term", "commit", "hint", "round", "synced", "offset")

_FULL = "disk-full"
"""Value of `detail` in a message whose sender cannot write now."""


class MalformedRaftMessageError(errors.LaburnumsillError):
    """A Raft message from a peer has a missing or out-of-range field."""

    slug = "malformed-raft-message"
    title = "Malformed Raft message"


def to_thrift(group: str, message: types.Message) -> ttypes.RaftMessage:
    """Converts a message of `group` to its wire form.

    Fields with their default value stay unset, so they take no bytes.

    Examples:
        >>> a, b = types.ReplicaId("a", "i1"), types.ReplicaId("b", "i2")
        >>> message = types.Message(
        ...     types.MessageKind.HEARTBEAT, a, b, 3, commit=7)
        >>> from_thrift(to_thrift("root", message)) == message
        True
    """
    raft = ttypes.RaftMessage(
        kind=int(message.kind),
        group=group,
        source=message.source.vm,
        source_incarnation=message.source.incarnation,
        target=message.target.vm,
        target_incarnation=message.target.incarnation,
        term=message.term,
    )
    for name in _NUMBERS:
        value = getattr(message, name)
        if value:
            setattr(raft, name, value)
    if message.entries:
        raft.entries = [_entry_to_thrift(entry) for entry in message.entries]
    if message.granted:
        raft.granted = True
    if message.data:
        raft.data = message.data
    if message.last:
        raft.last = True
    if message.full:
        raft.detail = _FULL
    return raft


def from_thrift(raft: ttypes.RaftMessage) -> types.Message:
    """Converts a message from its wire form.

    Raises:
        MalformedRaftMessageError: A field is missing or out of range.
    """
    try:
        return types.Message(
            kind=types.MessageKind(raft.kind),
            source=types.ReplicaId(raft.source, raft.source_incarnation),
            target=types.ReplicaId(raft.target, raft.target_incarnation),
            term=raft.term,
            entries=tuple(map(_entry_from_thrift, raft.entries or ())),
            granted=bool(raft.granted),
            data=raft.data or b"",
            last=bool(raft.last),
            full=raft.detail == _FULL,
            **{name: getattr(raft, name) or 0 for name in _NUMBERS},
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise MalformedRaftMessageError(f"{error} in {raft!r:.200}") from error


def _entry_to_thrift(entry: types.Entry) -> ttypes.Entry:
    return ttypes.Entry(entry.index, entry.term, int(entry.kind), entry.data)


def _entry_from_thrift(entry: ttypes.Entry) -> types.Entry:
    kind = types.EntryKind(entry.kind)
    return types.Entry(entry.index, entry.term, kind, entry.data)
