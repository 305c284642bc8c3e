"""Commands to the job ledger that only the scheduler issues."""

import enum

import msgspec

from laburnumsill.batch import model
from laburnumsill.core import codec


class EndKind(enum.StrEnum):
    """The way in which a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_ENDED = "lease-ended"
    MEMBER_ENDED = "member-ended"
    """The run was ended because another member of its gang had ended."""
    INCOMPLETE_GANG = "incomplete-gang"
    """The other members of the gang did not start in time."""


RESTARTS_LONG_RUNNING = 1
"""Semantics from which the end of a run as done does not complete a
long-running task, and such a task can be placed after it."""

SEMANTICS = RESTARTS_LONG_RUNNING
"""Semantics of the commands that this version of the program issues.

All replicas, and each restart that reads the log again, have to apply a command
in the same way. A change of what a command does therefore gets the next number,
and a command that carries a lower one keeps its former effect.
"""


@codec.register("batch.placement")
class Placement(msgspec.Struct, frozen=True):
    """The assignment of a run to a worker."""

    run: model.RunId
    worker_id: str


Group = tuple[Placement, ...]
"""Placements that succeed or fail together: a whole gang, or one run."""


@codec.register("batch.place")
class PlaceRuns(msgspec.Struct, frozen=True):
    """Places groups of runs; each group is placed as a whole or refused.

    Attributes:
        groups: The groups.
        at_ms: When they were planned, ms since 1970.
        spares_long_running: Whether crashes of workers end no job by a
            long-running task; False in commands of earlier versions of this
            program.
        semantics: See `SEMANTICS`; 0 in commands of earlier versions.
    """

    groups: tuple[Group, ...]
    at_ms: int
    spares_long_running: bool = False
    semantics: int = 0


@codec.register("batch.placed")
class Placed(msgspec.Struct, frozen=True):
    """The result of `PlaceRuns`.

    Attributes:
        refusals: For each group the reason why it was refused, or "" if it
            was placed.
    """

    refusals: tuple[str, ...]


@codec.register("batch.ended-run")
class EndedRun(msgspec.Struct, frozen=True):
    """The end of a run as its worker reports it.

    Attributes:
        number: Sequence number among the worker's ends; increasing.
        run: Id of the run.
        kind: How it ended.
        saved: Saved progress from which a later run can resume, or "".
    """

    number: int
    run: model.RunId
    kind: EndKind
    saved: str = ""


@codec.register("batch.note-ends")
class NoteEnds(msgspec.Struct, frozen=True):
    """Records ends of runs; the worker may discard them only afterwards.

    Attributes:
        worker_id: The worker.
        ends: The ends.
        at_ms: When they were reported, ms since 1970.
        semantics: See `SEMANTICS`; 0 in commands of earlier versions.
    """

    worker_id: str
    ends: tuple[EndedRun, ...]
    at_ms: int
    semantics: int = 0


@codec.register("batch.release")
class Release(msgspec.Struct, frozen=True):
    """The release of a run that is not running and can no longer start.

    Attributes:
        run: Id of the run.
        worker_id: The worker on which it was placed.
        reason: Why it cannot run any more.
        saved: Newest saved progress that was seen, or "".
        is_lost: Whether the worker has not reported how the run ended.
        is_unconfirmed: Whether the run is not known to have begun; False in
            commands of earlier versions of this program.
    """

    run: model.RunId
    worker_id: str
    reason: str
    saved: str = ""
    is_lost: bool = False
    is_unconfirmed: bool = False


@codec.register("batch.release-runs")
class ReleaseRuns(msgspec.Struct, frozen=True):
    """Frees the resources of runs that were never started or are lost."""

    releases: tuple[Release, ...]
    at_ms: int


@codec.register("batch.seen-run")
class SeenRun(msgspec.Struct, frozen=True):
    """A run that its worker listed as running, with its saved progress."""

    run: model.RunId
    saved: str = ""


@codec.register("batch.note-running")
class NoteRunning(msgspec.Struct, frozen=True):
    """Records that runs were seen running, and their saved progress."""

    seen: tuple[SeenRun, ...]


@codec.register("batch.put-worker")
class PutWorker(msgspec.Struct, frozen=True):
    """Adds a worker, or updates its description.

    Attributes:
        worker: The worker.
        sequence: Sequence number of its announcement; an announcement that
            arrives after a later one is ignored.
        at_ms: When the leader received the announcement, ms since 1970.
        spares_long_running: As in `PlaceRuns`.
    """

    worker: model.Worker
    sequence: int = 0
    at_ms: int = 0
    spares_long_running: bool = False


@codec.register("batch.note-departure")
class NoteDeparture(msgspec.Struct, frozen=True):
    """Records that a worker has announced its end; its runs stay live.

    Attributes:
        worker_id: The worker.
        at_ms: When the leader received the announcement, ms since 1970.
    """

    worker_id: str
    at_ms: int


@codec.register("batch.remove-worker")
class RemoveWorker(msgspec.Struct, frozen=True):
    """Removes a worker that is gone; its runs are lost.

    Attributes:
        worker_id: The worker.
        reason: Why it is removed, for operators.
        saved: Newest saved progress of its runs.
        ended_ms: When its incarnation ended, ms since 1970; later
            announcements of this incarnation are ignored. 0 if it is not
            known to have ended and may only be unreachable.
        crashed: Whether it ended without announcing that it would leave.
        successor: The incarnation that has its name now and may carry out
            the orders for its runs; "" if there is none.
        never_began: Runs that were placed on it but never ordered from it.
        spares_long_running: As in `PlaceRuns`.
        unconfirmed: Runs that were ordered from it and are not known to have
            begun; empty in commands of earlier versions of this program.
        outlived_losses: Whether it has reported since the last of its runs
            was lost, so that it has not crashed under them; False in commands
            of earlier versions of this program.
    """

    worker_id: str
    reason: str
    saved: tuple[SeenRun, ...] = ()
    ended_ms: int = 0
    crashed: bool = False
    successor: str = ""
    never_began: tuple[model.RunId, ...] = ()
    spares_long_running: bool = False
    unconfirmed: tuple[model.RunId, ...] = ()
    outlived_losses: bool = False


@codec.register("batch.forget-jobs")
class ForgetJobs(msgspec.Struct, frozen=True):
    """Deletes the records of jobs and workers that ended before a time."""

    ended_before_ms: int
