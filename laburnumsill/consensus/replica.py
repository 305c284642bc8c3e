"""Replica state shared by the parts of the consensus engine."""

import random
import typing

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import log
from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import types


class Replica:
    """Identity, hard state, log and pending output of one replica.

    Attributes:
        group: Name of the group.
        replica_id: Id of this replica.
        options: Settings of the engine.
        random: Random source of the election timeouts.
        now: The latest monotonic time that the host passed in.
        log: The log.
        committed: The commit index.
        durable: The highest index that the host has stored, and synced where
            there is a disk.
        writable: Whether the host can store entries and votes now.
        has_disk: Whether the host syncs to a disk.
    """

    def __init__(
        self,
        group: str,
        replica_id: types.ReplicaId,
        stored: types.StoredState,
        options: options_module.Options,
        now: float,
        source: random.Random,
    ) -> None:
        self.group = group
        self.replica_id = replica_id
        self.options = options
        self.random = source
        self.now = now
        self.log = log.Log(stored.snapshot, stored.entries)
        self.committed = stored.snapshot.index if stored.snapshot else 0
        self.durable = self.log.last_index
        self.writable = True
        self.has_disk = stored.with_disk
        self._hard_state = stored.hard_state
        self._hard_state_changed = False
        self._pending_snapshot: types.Snapshot | None = None
        self._first_new_index = self.log.last_index + 1
        self._delivered = self.committed
        self._messages: list[types.Message] = []
        self._reads: list[types.ConfirmedRead] = []
        self._failed_reads: list[int] = []

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def vote(self) -> types.ReplicaId | None:
        """The candidate that received this replica's vote in its term."""
        return self._hard_state.vote

    @property
    def delivered(self) -> int:
        """The highest index delivered to the host for application."""
        return self._delivered

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its latest membership."""
        return self.replica_id in self.log.membership.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may become a candidate.

        A replica whose removal is not committed still may: if it holds
        entries that the other voters lack, it refuses them its vote, and only
        it can become leader and commit its own removal.
        """
        return self.log.is_voter_at_or_after(self.committed, self.replica_id)

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed."""
        return self.log.term_at(self.committed) == self.term

    def enter_term(self, term: int) -> None:
        """Enters a newer term, without a vote."""
        self._hard_state = types.HardState(term, None)
        self._hard_state_changed = True

    def vote_for(self, candidate: types.ReplicaId) -> None:
        """Votes for `candidate` in the current term."""
        if self._hard_state.vote != candidate:
            self._hard_state = types.HardState(self.term, candidate)
            self._hard_state_changed = True

    def send(
        self,
        kind: types.MessageKind,
        target: types.ReplicaId,
        *,
        term: int | None = None,
        **fields: typing.Any,
    ) -> None:
        """Adds a message to the output, by default with the current term."""
        message_term = self.term if term is None else term
        self._messages.append(
            types.Message(kind, self.replica_id, target, message_term, **fields)
        )

    def append(self, entry: types.Entry) -> None:
        """Adds an entry to the log and to the output."""
        self._first_new_index = min(self._first_new_index, entry.index)
        self.log.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later ones, on conflict.

        Raises:
            engine_errors.LogBrokenError: The entry is committed.
        """
        if index <= self.committed:
            raise engine_errors.LogBrokenError(
                f"group {self.group}: committed entry {index} of term"
                f" {self.log.term_at(index)} conflicts with the leader of"
                f" term {self.term}"
            )
        self.log.truncate_from(index)
        self.durable = min(self.durable, index - 1)

    def commit_to(self, index: int) -> None:
        """Advances the commit index to `index`, unless it is higher already."""
        self.committed = max(self.committed, index)

    def install(self, snapshot: types.Snapshot) -> None:
        """Replaces the log and the applied state by a snapshot."""
        self.log.reset(snapshot)
        self._pending_snapshot = snapshot
        self._first_new_index = snapshot.index + 1
        self.committed = snapshot.index
        self._delivered = snapshot.index
        self.durable = snapshot.index

    def confirm_reads(self, reads: list[types.ConfirmedRead]) -> None:
        """Adds confirmed reads to the output."""
        self._reads += reads

    def fail_reads(self, read_ids: list[int]) -> None:
        """Adds reads that failed to the output, by their ids."""
        self._failed_reads += read_ids

    def take_output(self) -> types.Output:
        """Returns the pending output and clears it."""
        output = types.Output(
            self._hard_state if self._hard_state_changed else None,
            self._pending_snapshot,
            self.log.between(self._first_new_index, self.log.last_index),
            tuple(self._messages),
            self.log.between(self._delivered + 1, self.committed),
            tuple(self._reads),
            tuple(self._failed_reads),
        )
        self._hard_state_changed = False
        self._pending_snapshot = None
        self._first_new_index = self.log.last_index + 1
        self._delivered = self.committed
        self._messages.clear()
        self._reads.clear()
        self._failed_reads.clear()
        return output
