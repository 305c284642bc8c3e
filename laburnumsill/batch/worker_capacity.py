"""Capacity of the workers while a plan is being made."""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker on which runs may be placed, with its capacity.

    Attributes:
        worker: The worker.
        free: Capacity that is neither used nor allocated nor reserved;
            negative if more is allocated than is free until runs end.
        reserved: Capacity that is reserved for a waiting gang.
        held: Capacity that an urgent unit holds until runs that are being
            stopped have ended.
        used_by_stopping: Capacity used by runs that are being stopped.
        used_by_long_running: Capacity used by runs that go on until their job
            is cancelled.
        slowness: Run time on the worker relative to other workers.
        run_count: Number of runs on the worker.
        has_suspect: Whether one of them is suspected of crashing workers.
    """

    worker: model.Worker
    free: model.Resources
    reserved: model.Resources = dataclasses.field(
        default_factory=model.Resources
    )
    held: model.Resources = dataclasses.field(default_factory=model.Resources)
    used_by_stopping: model.Resources = dataclasses.field(
        default_factory=model.Resources
    )
    used_by_long_running: model.Resources = dataclasses.field(
        default_factory=model.Resources
    )
    slowness: float = 1.0
    run_count: int = 0
    has_suspect: bool = False

    @property
    def soon_free(self) -> model.Resources:
        """Free capacity once the runs that are being stopped have ended."""
        return self.free + self.used_by_stopping

    @property
    def free_or_reserved(self) -> model.Resources:
        """Free capacity, including what is reserved for a gang."""
        return self.free + self.reserved

    @property
    def idle(self) -> model.Resources:
        """Capacity that no run uses, whatever it is kept for."""
        return self.free + self.reserved + self.held

    @property
    def max_free(self) -> model.Resources:
        """Capacity that is free when only long-running runs remain."""
        return self.worker.capacity - self.used_by_long_running

    def allocate(self, needs: model.Resources) -> None:
        """Allocates resources that are free now or will be free soon."""
        self.free -= needs

    def hold(self, needs: model.Resources) -> None:
        """Holds resources for an urgent unit until runs have ended."""
        self.free -= needs
        self.held += needs

    def reserve(self, needs: model.Resources) -> None:
        """Reserves resources for a waiting gang."""
        self.free -= needs
        self.reserved += needs


def find_candidates(
    ledger: ledgers.BatchLedger,
    usable: abc.Set[str],
    stopping: abc.Set[model.RunId],
    slowness: abc.Callable[[str], float],
) -> dict[str, Candidate]:
    """Returns the candidates among the usable workers, by worker id.

    Args:
        ledger: The workers and their runs.
        usable: Ids of the workers on which runs may be placed.
        stopping: Runs that were ordered to stop and have not ended yet.
        slowness: Returns the run time on a worker relative to other workers.
    """
    candidates = {}
    for worker_id in sorted(usable):
        worker = ledger.workers.get(worker_id)
        if worker is None or worker.draining:
            continue
        candidates[worker_id] = Candidate(
            worker,
            ledger.free_on(worker_id),
            slowness=slowness(worker_id),
            run_count=len(ledger.runs_on(worker_id)),
        )
    _mark_suspects(ledger, candidates)
    _add_stopping(ledger, stopping, candidates)
    _add_long_running(ledger, stopping, candidates)
    return candidates


def _mark_suspects(
    ledger: ledgers.BatchLedger, candidates: abc.Mapping[str, Candidate]
) -> None:
    """Marks the candidates that run a task suspected of crashing workers."""
    for task in ledger.crashes.suspects:
        run = ledger.live_run(task)
        record = ledger.runs.get(run) if run is not None else None
        candidate = (
            candidates.get(record.worker_id) if record is not None else None
        )
        if candidate is not None:
            candidate.has_suspect = True


def _add_stopping(
    ledger: ledgers.BatchLedger,
    stopping: abc.Set[model.RunId],
    candidates: abc.Mapping[str, Candidate],
) -> None:
    """Adds the capacity used by runs that are being stopped."""
    for run in stopping:
        record = ledger.runs.get(run)
        candidate = (
            candidates.get(record.worker_id) if record is not None else None
        )
        if candidate is not None:
            candidate.used_by_stopping += ledger.needs_of(run)


def _add_long_running(
    ledger: ledgers.BatchLedger,
    stopping: abc.Set[model.RunId],
    candidates: abc.Mapping[str, Candidate],
) -> None:
    """Adds the capacity used by long-running runs, except stopping ones."""
    for (job_id, _, number), runs in ledger.runs_by_step.items():
        step = ledger.jobs[job_id].job.steps[number]
        if not step.long_running:
            continue
        for run in runs.values():
            candidate = candidates.get(run.worker_id)
            if candidate is not None and run.run not in stopping:
                candidate.used_by_long_running += step.needs


def by_rack(candidates: abc.Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Returns candidates by rack."""
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.worker.rack, []).append(candidate)
    return racks
