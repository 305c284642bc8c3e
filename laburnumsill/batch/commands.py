"""Commands of the job ledger that only its scheduler gives."""

import enum

import msgspec

from laburnumsill.batch import model
from laburnumsill.core import codec


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_ENDED = "lease-ended"
    MEMBER_ENDED = "member-ended"
    """Another member of its gang ended."""
    INCOMPLETE_GANG = "incomplete-gang"
    """The other members did not come in time."""


@codec.register("batch.placement")
class Placement(msgspec.Struct, frozen=True):
    """The worker on which a run is to be started."""

    run: model.RunId
    worker_id: str


Group = tuple[Placement, ...]
"""Runs that are placed together: all of a gang, or one."""


@codec.register("batch.place")
class PlaceRuns(msgspec.Struct, frozen=True):
    """Assigns runs to workers; each group is taken whole or not at all."""

    groups: tuple[Group, ...]
    at_ms: int


@codec.register("batch.placed")
class Placed(msgspec.Struct, frozen=True):
    """Whether each group was taken, and why not where it was not."""

    refusals: tuple[str, ...]


@codec.register("batch.ended-run")
class EndedRun(msgspec.Struct, frozen=True):
    """The end of a run as its worker lists it.

    Attributes:
        number: The place in the worker's list, rising.
        run: Which run.
        kind: How it ended.
        saved: The progress from which a later run can go on, or "".
    """

    number: int
    run: model.RunId
    kind: EndKind
    saved: str = ""


@codec.register("batch.note-ends")
class NoteEnds(msgspec.Struct, frozen=True):
    """Takes note of ends; only then may the worker forget them."""

    worker_id: str
    ends: tuple[EndedRun, ...]
    at_ms: int


@codec.register("batch.release")
class Release(msgspec.Struct, frozen=True):
    """A run that certainly does not run and never will.

    Attributes:
        run: Which run.
        worker_id: Where it was placed.
        reason: Why that is certain.
        saved: The newest progress seen, or "".
        is_lost: Whether the worker has not told what became of it.
    """

    run: model.RunId
    worker_id: str
    reason: str
    saved: str = ""
    is_lost: bool = False


@codec.register("batch.release-runs")
class ReleaseRuns(msgspec.Struct, frozen=True):
    """Frees what runs held that were never started or are lost."""

    releases: tuple[Release, ...]
    at_ms: int


@codec.register("batch.seen-run")
class SeenRun(msgspec.Struct, frozen=True):
    """A run that its worker listed as running."""

    run: model.RunId
    saved: str = ""


@codec.register("batch.note-running")
class NoteRunning(msgspec.Struct, frozen=True):
    """Takes note of runs that were seen running, and of their progress."""

    seen: tuple[SeenRun, ...]


@codec.register("batch.put-worker")
class PutWorker(msgspec.Struct, frozen=True):
    """Makes a worker known, or changes what is known of it.

    Attributes:
        worker: The worker.
        sequence: Of the announcement that said so; an announcement that was
            overtaken by another changes nothing.
        at_ms: When the leader heard of it, ms since 1970.
    """

    worker: model.Worker
    sequence: int = 0
    at_ms: int = 0


@codec.register("batch.remove-worker")
class RemoveWorker(msgspec.Struct, frozen=True):
    """Forgets a worker that is gone; its runs are lost.

    Attributes:
        worker_id: The worker.
        reason: Why, for people.
        saved: Newest progress of its runs.
        ended_ms: When its incarnation has certainly ended, ms since 1970: it
            is never known again then. 0 if it may only be cut off.
        crashed: Whether it has ended without having said so before.
        successor: The incarnation that has its name now, which may carry out
            orders for its runs; "" if there is none.
        never_began: Runs that were placed on it and certainly not ordered.
    """

    worker_id: str
    reason: str
    saved: tuple[SeenRun, ...] = ()
    ended_ms: int = 0
    crashed: bool = False
    successor: str = ""
    never_began: tuple[model.RunId, ...] = ()


@codec.register("batch.forget-jobs")
class ForgetJobs(msgspec.Struct, frozen=True):
    """Forgets the jobs and workers that ended before a time."""

    ended_before_ms: int
