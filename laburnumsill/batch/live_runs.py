"""Index of the live runs by worker, task and step."""

from collections import abc

from laburnumsill.batch import model
from laburnumsill.batch import records

Runs = dict[model.RunId, records.RunRecord]
"""Records of live runs by run id."""


class LiveRuns:
    """The live runs by id, worker, task and step, and the resources in use.

    All indices are updated incrementally, since the planner reads them for each
    worker and step of the site.

    Examples:
        >>> live = LiveRuns()
        >>> run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
        >>> live.add(records.RunRecord(run, "w", 0), model.Resources(500, 1, 0))
        >>> live.used_on("w").cpu_millis, live.of_task(run.task) == run
        (500, True)
        >>> live.remove(run) is None, live.used_on("w").cpu_millis
        (False, 0)
    """

    def __init__(self) -> None:
        self._runs: Runs = {}
        self._needs: dict[model.RunId, model.Resources] = {}
        self._on_worker: dict[str, Runs] = {}
        self._of_step: dict[model.StepKey, Runs] = {}
        self._of_task: dict[model.TaskId, model.RunId] = {}
        self._used: dict[str, model.Resources] = {}

    @property
    def all(self) -> abc.Mapping[model.RunId, records.RunRecord]:
        """All live runs, by id."""
        return self._runs

    @property
    def by_step(
        self,
    ) -> abc.Mapping[
        model.StepKey, abc.Mapping[model.RunId, records.RunRecord]
    ]:
        """The live runs of each step that has any."""
        return self._of_step

    def on_worker(
        self, worker_id: str
    ) -> abc.Mapping[model.RunId, records.RunRecord]:
        """Returns the live runs on a worker."""
        return self._on_worker.get(worker_id, {})

    def of_task(self, task: model.TaskId) -> model.RunId | None:
        """Returns the newest live run of a task, or None."""
        return self._of_task.get(task)

    def used_on(self, worker_id: str) -> model.Resources:
        """Returns the resources that the live runs on a worker occupy."""
        return self._used.get(worker_id, _NO_RESOURCES)

    def add(self, record: records.RunRecord, needs: model.Resources) -> None:
        """Adds a live run that occupies `needs`."""
        run = record.run
        worker_id = record.worker_id
        self._runs[run] = record
        self._needs[run] = needs
        self._on_worker.setdefault(worker_id, {})[run] = record
        self._of_step.setdefault(run.task.step_key, {})[run] = record
        self._of_task[run.task] = run
        self._used[worker_id] = self.used_on(worker_id) + needs

    def remove(self, run: model.RunId) -> records.RunRecord | None:
        """Removes a run; returns its record, or None if it is not live."""
        record = self._runs.pop(run, None)
        if record is None:
            return None
        worker_id = record.worker_id
        self._used[worker_id] -= self._needs.pop(run)
        _discard(self._on_worker, worker_id, run)
        _discard(self._of_step, run.task.step_key, run)
        if worker_id not in self._on_worker:
            del self._used[worker_id]
        if self._of_task.get(run.task) == run:
            del self._of_task[run.task]
        return record


_NO_RESOURCES = model.Resources()


def _discard(groups: dict, key: object, run: model.RunId) -> None:
    """Removes a run from its group, and the group if it becomes empty."""
    group = groups[key]
    del group[run]
    if not group:
        del groups[key]
