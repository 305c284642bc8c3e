"""Run times, measured from the commands that place and end runs."""

import dataclasses
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model

MAX_TRACKED_RUNS = 4_096
"""Number of tracked runs above which those that are not live are dropped."""

RunFilter = abc.Callable[[model.Step, commands.Group], bool]
"""Returns whether to measure the runs of a step that are placed in a group."""


@dataclasses.dataclass(frozen=True, slots=True)
class DoneRun:
    """A run that has completed its task.

    Attributes:
        task: The task of the run.
        worker_id: The worker on which it ran.
        took_ms: Time from its placement to the recording of its end, in ms;
            at least 1.
    """

    task: model.TaskId
    worker_id: str
    took_ms: int


class RunTimer:
    """Measures the run times of runs in a ledger.

    Runs that resume from saved progress are not measured: they are shorter by
    an unknown amount.

    Args:
        ledger: The ledger that the commands were applied to.
        run_filter: Selects the runs to measure when they are placed.
    """

    def __init__(
        self, ledger: ledgers.BatchLedger, run_filter: RunFilter
    ) -> None:
        self._ledger = ledger
        self._run_filter = run_filter
        self._placed: dict[model.RunId, tuple[str, int]] = {}

    def observe(self, command: object) -> list[DoneRun]:
        """Processes an applied command; returns the runs that it completed."""
        if isinstance(command, commands.PlaceRuns):
            self._track(command)
        elif isinstance(command, commands.NoteEnds):
            return list(self._completed(command))
        return []

    def _track(self, command: commands.PlaceRuns) -> None:
        for group in command.groups:
            for placement in group:
                run = placement.run
                if run in self._ledger.runs and self._is_selected(run, group):
                    placed = (placement.worker_id, command.at_ms)
                    self._placed[run] = placed
        if len(self._placed) > MAX_TRACKED_RUNS:
            live = self._ledger.runs
            self._placed = {
                run: placed
                for run, placed in self._placed.items()
                if run in live
            }

    def _is_selected(self, run: model.RunId, group: commands.Group) -> bool:
        record = self._ledger.jobs[run.task.job_id]
        task = record.task(run.task)
        if task is None or task.saved:
            return False
        return self._run_filter(record.job.steps[run.task.step], group)

    def _completed(self, command: commands.NoteEnds) -> abc.Iterator[DoneRun]:
        for end in command.ends:
            worker_id, placed_ms = self._placed.pop(end.run, ("", 0))
            done = end.kind is commands.EndKind.DONE
            if done and worker_id == command.worker_id:
                took_ms = max(1, command.at_ms - placed_ms)
                yield DoneRun(end.run.task, worker_id, took_ms)
