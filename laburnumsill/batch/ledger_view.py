"""What a placement is checked against: the ledger, for reading only."""

import abc
from collections import abc as collections_abc

from laburnumsill.batch import model
from laburnumsill.batch import records


class LedgerView(abc.ABC):
    """Jobs, workers and live runs, as far as checks look at them."""

    @property
    @abc.abstractmethod
    def jobs(self) -> collections_abc.Mapping[str, records.JobRecord]:
        """All jobs that are remembered, by id."""

    @property
    @abc.abstractmethod
    def workers(self) -> collections_abc.Mapping[str, model.Worker]:
        """The workers that are known, by id."""

    @abc.abstractmethod
    def runs_on(
        self, worker_id: str
    ) -> collections_abc.Mapping[model.RunId, records.RunRecord]:
        """Returns the runs that may be running on a worker."""

    @abc.abstractmethod
    def live_run(self, task: model.TaskId) -> model.RunId | None:
        """Returns the run of a task that may be running, or None."""

    @abc.abstractmethod
    def free_on(self, worker_id: str) -> model.Resources:
        """Returns what no live run occupies on a worker."""
