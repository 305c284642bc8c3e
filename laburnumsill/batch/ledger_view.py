"""Read-only interface of the ledger, for the validation of placements."""

import abc
from collections import abc as collections_abc

from laburnumsill.batch import model
from laburnumsill.batch import records


class LedgerView(abc.ABC):
    """The jobs, workers and live runs that placements are validated against."""

    @property
    @abc.abstractmethod
    def jobs(self) -> collections_abc.Mapping[str, records.JobRecord]:
        """All jobs whose records are kept, by id."""

    @property
    @abc.abstractmethod
    def workers(self) -> collections_abc.Mapping[str, model.Worker]:
        """The present workers, by id."""

    @abc.abstractmethod
    def pool_of(self, job: model.Job) -> str:
        """Returns the pool whose workers run the tasks of a job."""

    @abc.abstractmethod
    def is_evacuated(self, domain: str) -> bool:
        """Returns whether a failure domain is evacuated."""

    @abc.abstractmethod
    def runs_on(
        self, worker_id: str
    ) -> collections_abc.Mapping[model.RunId, records.RunRecord]:
        """Returns the live runs on a worker."""

    @abc.abstractmethod
    def live_run(self, task: model.TaskId) -> model.RunId | None:
        """Returns the live run of a task, or None."""

    @abc.abstractmethod
    def free_on(self, worker_id: str) -> model.Resources:
        """Returns the free capacity of a worker."""
