"""Follower state: receives entries, heartbeats and snapshots of a leader."""

from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import snapshot_receiver
from laburnumsill.consensus import types


class Follower:
    """Handles the messages of the leader of the current term."""

    def __init__(self, replica: replica_module.Replica) -> None:
        self._replica = replica
        self._receiver = snapshot_receiver.SnapshotReceiver()

    def on_append(self, message: types.Message) -> None:
        """Appends entries if the logs match before them, else rejects them."""
        replica = self._replica
        if message.index < replica.committed:
            message = self._strip_committed(message)
        if replica.log.term_at(message.index) != message.log_term:
            self._reject(message)
            return
        self._append_new(message.entries)
        match = message.index + len(message.entries)
        replica.commit_to(min(message.commit, match))
        self._accept(message.source, match)

    def on_heartbeat(self, message: types.Message) -> None:
        """Acknowledges a heartbeat and advances the commit index.

        The leader sends no commit index beyond this replica's match index.
        """
        replica = self._replica
        replica.commit_to(min(message.commit, replica.log.last_index))
        replica.send(
            types.MessageKind.HEARTBEAT_REPLY,
            message.source,
            round=message.round,
            full=not replica.writable,
        )

    def on_snapshot(self, message: types.Message) -> None:
        """Receives a chunk; installs the snapshot once it is complete."""
        replica = self._replica
        if message.index <= replica.committed:
            self._accept(message.source, replica.committed)
            return
        snapshot = self._receiver.add(message)
        if snapshot is None:
            replica.send(
                types.MessageKind.SNAPSHOT_REPLY,
                message.source,
                index=message.index,
                offset=self._receiver.received_bytes,
            )
            return
        if replica.log.term_at(snapshot.index) == snapshot.term:
            replica.commit_to(snapshot.index)
        else:
            replica.install(snapshot)
        self._accept(message.source, snapshot.index)

    def _strip_committed(self, message: types.Message) -> types.Message:
        """Returns an APPEND without the entries that are committed here.

        Raises:
            engine_errors.LogBrokenError: A stripped entry conflicts with the
                committed one.
        """
        replica = self._replica
        skipped = replica.committed - message.index
        for entry in message.entries[:skipped]:
            own_term = replica.log.term_at(entry.index)
            if own_term not in (None, entry.term):
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

    def _append_new(self, entries: tuple[types.Entry, ...]) -> None:
        log = self._replica.log
        for entry in entries:
            own_term = log.term_at(entry.index)
            if own_term == entry.term:
                continue
            if own_term is not None:
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

    def _reject(self, message: types.Message) -> None:
        log = self._replica.log
        hint = log.last_at_term(message.index, message.log_term)
        self._replica.send(
            types.MessageKind.APPEND_REPLY,
            message.source,
            index=message.index,
            hint=hint,
            log_term=log.term_at(hint) or 0,
        )
