"""What the parts of the consensus engine share."""

import random
import typing

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import log
from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import types


class Replica:
    """Identity, term, log and pending output of one replica.

    Attributes:
        group: Name of the group.
        me: This replica.
        options: Its settings.
        random: Source of the spread of election timeouts.
        now: The newest point of the monotonic clock that was passed in.
        log: The log.
        committed: The highest index known to be committed.
        durable: The highest index that the host has stored.
        writable: Whether the host can store anything now.
        has_disk: Whether what is stored is on a synced disk.
    """

    def __init__(
        self,
        group: str,
        me: types.ReplicaId,
        stored: types.Stored,
        options: options_module.Options,
        now: float,
        source: random.Random,
    ) -> None:
        self.group = group
        self.me = me
        self.options = options
        self.random = source
        self.now = now
        self.log = log.Log(stored.snapshot, stored.entries)
        self.committed = stored.snapshot.index if stored.snapshot else 0
        self.durable = self.log.last_index
        self.writable = True
        self.has_disk = stored.with_disk
        self._hard_state = stored.hard_state
        self._unsaved = False
        self._install: types.Snapshot | None = None
        self._append_from = self.log.last_index + 1
        self._handed = self.committed
        self._messages: list[types.Message] = []
        self._reads: list[types.ConfirmedRead] = []
        self._lost_reads: list[int] = []

    @property
    def term(self) -> int:
        """The newest term this replica has entered."""
        return self._hard_state.term

    @property
    def vote(self) -> types.ReplicaId | None:
        """Whom this replica voted for in its term."""
        return self._hard_state.vote

    @property
    def handed(self) -> int:
        """The highest index handed out to be applied."""
        return self._handed

    @property
    def votes(self) -> bool:
        """Whether this replica is a voter as far as it knows."""
        return self.me in self.log.membership.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may be needed as a leader.

        One whose removal is not committed may hold entries that the others
        lack and refuse them its vote; then only it can lead and commit its
        own removal.
        """
        return self.log.voted_since(self.committed, self.me)

    @property
    def leads_committed(self) -> bool:
        """Whether an entry of the present term is committed."""
        return self.log.term_at(self.committed) == self.term

    def enter_term(self, term: int) -> None:
        """Enters a newer term, in which no vote was given yet."""
        self._hard_state = types.HardState(term, None)
        self._unsaved = True

    def vote_for(self, candidate: types.ReplicaId) -> None:
        """Gives this term's vote."""
        if self._hard_state.vote != candidate:
            self._hard_state = types.HardState(self.term, candidate)
            self._unsaved = True

    def send(
        self,
        kind: types.MessageKind,
        target: types.ReplicaId,
        *,
        term: int | None = None,
        **fields: typing.Any,
    ) -> None:
        """Adds a message to the output, of the present term by default."""
        sent_term = self.term if term is None else term
        self._messages.append(
            types.Message(kind, self.me, target, sent_term, **fields)
        )

    def append(self, entry: types.Entry) -> None:
        """Adds an entry to the log and to the output."""
        self._append_from = min(self._append_from, entry.index)
        self.log.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes entries that the leader does not have.

        Raises:
            engine_errors.LogBrokenError: They were committed.
        """
        if index <= self.committed:
            raise engine_errors.LogBrokenError(
                f"group {self.group}: entry {index} of term"
                f" {self.log.term_at(index)} is committed and was to be"
                f" replaced in term {self.term}"
            )
        self.log.truncate_from(index)
        self.durable = min(self.durable, index - 1)

    def commit_to(self, index: int) -> None:
        """Notes that everything up to `index` is committed."""
        self.committed = max(self.committed, index)

    def install(self, snapshot: types.Snapshot) -> None:
        """Replaces the log and the applied state by a snapshot."""
        self.log.reset(snapshot)
        self._install = snapshot
        self._append_from = snapshot.index + 1
        self.committed = snapshot.index
        self._handed = snapshot.index
        self.durable = snapshot.index

    def confirm_reads(self, reads: list[types.ConfirmedRead]) -> None:
        """Adds reads that may be served to the output."""
        self._reads += reads

    def lose_reads(self, read_ids: list[int]) -> None:
        """Adds reads that cannot be confirmed to the output."""
        self._lost_reads += read_ids

    def take_output(self) -> types.Output:
        """Returns everything that the host has to do, and forgets it."""
        output = types.Output(
            self._hard_state if self._unsaved else None,
            self._install,
            self.log.between(self._append_from, self.log.last_index),
            tuple(self._messages),
            self.log.between(self._handed + 1, self.committed),
            tuple(self._reads),
            tuple(self._lost_reads),
        )
        self._unsaved = False
        self._install = None
        self._append_from = self.log.last_index + 1
        self._handed = self.committed
        self._messages.clear()
        self._reads.clear()
        self._lost_reads.clear()
        return output
