"""Applying committed entries to the state machine of a replica."""

from laburnumsill.consensus import forwarded
from laburnumsill.consensus import types
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication


class CommandFailedError(errors.LaburnumsillError):
    """The state machine raised an unexpected exception."""

    slug = "command-failed"
    title = "The command failed"


class Applier:
    """Applies committed entries to the state machine of a replica.

    Attributes:
        applied: Index of the last applied entry.
        snapshot_index: Index of the last entry that the last snapshot covers.
    """

    def __init__(
        self,
        group: str,
        machine: replication.StateMachine,
        stored: types.StoredState,
    ) -> None:
        self.applied = 0
        self.snapshot_index = 0
        self._group = group
        self._machine = machine
        if stored.snapshot is not None:
            self.install(stored.snapshot)

    def install(self, snapshot: types.Snapshot) -> None:
        """Replaces the state by that of a snapshot."""
        self._machine.load(snapshot.data)
        self.applied = snapshot.index
        self.snapshot_index = snapshot.index

    def apply(self, entry: types.Entry) -> forwarded.Outcome:
        """Applies the next entry and returns its result or refusal.

        Any exception other than a `LaburnumsillError` is a bug. It occurs on
        every replica alike, so it is logged and the group continues.
        """
        self.applied = entry.index
        if entry.kind is not types.EntryKind.COMMAND:
            return forwarded.Outcome()
        try:
            command = codec.decode(entry.data)
            return forwarded.Outcome(self._machine.apply(command))
        except errors.LaburnumsillError as error:
            return forwarded.Outcome(refusal=error)
        except Exception as error:  # would otherwise stop all replicas
            return self._failed(entry.index, error)

    def query(self, query: object) -> forwarded.Outcome:
        """Answers a query from the current state."""
        try:
            return forwarded.Outcome(self._machine.query(query))
        except errors.LaburnumsillError as error:
            return forwarded.Outcome(refusal=error)
        except Exception as error:
            return self._failed(self.applied, error)

    def _failed(self, index: int, error: Exception) -> forwarded.Outcome:
        logs.event(
            "state-machine-failed",
            level="ERROR",
            group=self._group,
            index=index,
            error=repr(error),
        )
        return forwarded.Outcome(
            refusal=CommandFailedError(f"{self._group} at {index}")
        )
