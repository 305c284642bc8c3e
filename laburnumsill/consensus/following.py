"""How a replica takes entries and snapshots from a leader."""

from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import snapshot_receiver
from laburnumsill.consensus import types


class Follower:
    """Answers the messages of the present term's leader."""

    def __init__(self, replica: replica_module.Replica) -> None:
        self._replica = replica
        self._receiver = snapshot_receiver.SnapshotReceiver()

    def on_append(self, message: types.Message) -> None:
        """Takes entries that follow on from this log, or refuses them."""
        replica = self._replica
        if message.index < replica.committed:
            message = self._without_committed(message)
        if replica.log.term_at(message.index) != message.log_term:
            self._refuse(message)
            return
        self._merge(message.entries)
        match = message.index + len(message.entries)
        replica.commit_to(min(message.commit, match))
        self._accept(message.source, match)

    def on_heartbeat(self, message: types.Message) -> None:
        """Notes the commit index, which the leader knows to be held here."""
        replica = self._replica
        replica.commit_to(min(message.commit, replica.log.last_index))
        replica.send(
            types.MessageKind.HEARTBEAT_REPLY,
            message.source,
            round=message.round,
            full=not replica.writable,
        )

    def on_snapshot(self, message: types.Message) -> None:
        """Takes a chunk; installs the snapshot once it is whole."""
        replica = self._replica
        if message.index <= replica.committed:
            self._accept(message.source, replica.committed)
            return
        whole = self._receiver.add(message)
        if whole is None:
            replica.send(
                types.MessageKind.SNAPSHOT_REPLY,
                message.source,
                index=message.index,
                offset=self._receiver.received,
            )
            return
        if replica.log.term_at(whole.index) == whole.term:
            replica.commit_to(whole.index)
        else:
            replica.install(whole)
        self._accept(message.source, whole.index)

    def _without_committed(self, message: types.Message) -> types.Message:
        """Cuts off what is committed here; it must be equal in both logs."""
        replica = self._replica
        skipped = replica.committed - message.index
        for entry in message.entries[:skipped]:
            known = replica.log.term_at(entry.index)
            if known not in (None, entry.term):
                replica.truncate_from(entry.index)
        return types.Message(
            message.kind,
            message.source,
            message.target,
            message.term,
            index=replica.committed,
            log_term=replica.log.term_at(replica.committed) or 0,
            commit=message.commit,
            entries=message.entries[skipped:],
        )

    def _merge(self, entries: tuple[types.Entry, ...]) -> None:
        log = self._replica.log
        for entry in entries:
            present = log.term_at(entry.index)
            if present == entry.term:
                continue
            if present is not None:
                self._replica.truncate_from(entry.index)
            self._replica.append(entry)

    def _accept(self, leader: types.ReplicaId, match: int) -> None:
        self._replica.send(
            types.MessageKind.APPEND_REPLY,
            leader,
            granted=True,
            index=match,
            synced=match if self._replica.has_disk else 0,
        )

    def _refuse(self, message: types.Message) -> None:
        log = self._replica.log
        hint = log.last_at_term(message.index, message.log_term)
        self._replica.send(
            types.MessageKind.APPEND_REPLY,
            message.source,
            index=message.index,
            hint=hint,
            log_term=log.term_at(hint) or 0,
        )
