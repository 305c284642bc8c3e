"""How long runs took, told from the commands that placed and ended them."""

import dataclasses
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model

MAX_UNFINISHED = 4_096
"""Runs that were placed and whose end is waited for, at most."""

Tells = abc.Callable[[model.Step, commands.Group], bool]
"""Returns whether the time of a step's run, placed in a group, is wanted."""


@dataclasses.dataclass(frozen=True, slots=True)
class DoneRun:
    """A run that was done.

    Attributes:
        task: Its task.
        worker_id: Where it ran.
        took_ms: From its placement to its end, at least 1.
    """

    task: model.TaskId
    worker_id: str
    took_ms: int


class PlacedRuns:
    """The runs of a ledger that are waited for.

    Runs that go on from saved progress are left out: they are shorter, and how
    much is up to the run.

    Args:
        ledger: The ledger that the commands were applied to.
        tells: Which other runs are of interest; asked when they are placed.
    """

    def __init__(self, ledger: ledgers.BatchLedger, tells: Tells) -> None:
        self._ledger = ledger
        self._tells = tells
        self._placed: dict[model.RunId, tuple[str, int]] = {}

    def done_by(self, command: object) -> list[DoneRun]:
        """Takes note of a command; returns the runs that it says are done."""
        if isinstance(command, commands.PlaceRuns):
            self._place(command)
        elif isinstance(command, commands.NoteEnds):
            return list(self._end(command))
        return []

    def _place(self, command: commands.PlaceRuns) -> None:
        for group in command.groups:
            for placement in group:
                run = placement.run
                if run in self._ledger.runs and self._is_wanted(run, group):
                    place = (placement.worker_id, command.at_ms)
                    self._placed[run] = place
        if len(self._placed) > MAX_UNFINISHED:
            live = self._ledger.runs
            self._placed = {
                run: place for run, place in self._placed.items() if run in live
            }

    def _is_wanted(self, run: model.RunId, group: commands.Group) -> bool:
        record = self._ledger.jobs[run.task.job_id]
        task = record.task(run.task)
        if task is None or task.saved:
            return False
        return self._tells(record.job.steps[run.task.step], group)

    def _end(self, command: commands.NoteEnds) -> abc.Iterator[DoneRun]:
        for end in command.ends:
            worker_id, placed_ms = self._placed.pop(end.run, ("", 0))
            done = end.kind is commands.EndKind.DONE
            if done and worker_id == command.worker_id:
                took_ms = max(1, command.at_ms - placed_ms)
                yield DoneRun(end.run.task, worker_id, took_ms)
