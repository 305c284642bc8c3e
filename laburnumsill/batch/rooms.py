"""What is free on workers, while a plan is being made."""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model


@dataclasses.dataclass(slots=True)
class Room:
    """One worker that may be given runs.

    Attributes:
        worker: The worker.
        free: What nobody occupies or has reserved.
        kept: What is not free since it is kept for a gang that waits.
        leaving: What runs occupy that are being stopped.
        lasting: What runs occupy that last until their job is cancelled.
        slowness: Run time on the worker relative to others.
        runs: How many runs it has.
        holds_suspect: Whether one of them may crash it.
    """

    worker: model.Worker
    free: model.Resources
    kept: model.Resources = dataclasses.field(default_factory=model.Resources)
    leaving: model.Resources = dataclasses.field(
        default_factory=model.Resources
    )
    lasting: model.Resources = dataclasses.field(
        default_factory=model.Resources
    )
    slowness: float = 1.0
    runs: int = 0
    holds_suspect: bool = False

    @property
    def soon_free(self) -> model.Resources:
        """What will be free once all that is being stopped has ended."""
        return self.free + self.leaving

    @property
    def free_or_kept(self) -> model.Resources:
        """What nobody occupies, whoever waits for it."""
        return self.free + self.kept

    @property
    def free_at_best(self) -> model.Resources:
        """What will be free once all has ended that ends by itself."""
        return self.worker.capacity - self.lasting

    def take(self, needs: model.Resources) -> None:
        """Occupies an amount, or keeps it where it will be free soon."""
        self.free -= needs

    def keep(self, needs: model.Resources) -> None:
        """Keeps an amount for a gang that waits."""
        self.free -= needs
        self.kept += needs


def rooms_of(
    ledger: ledgers.BatchLedger,
    usable: abc.Set[str],
    stopping: abc.Set[model.RunId],
    slowness: abc.Callable[[str], float],
) -> dict[str, Room]:
    """Returns the usable workers with what is free and what is leaving.

    Args:
        ledger: What is placed there.
        usable: The workers that may be given runs.
        stopping: Runs that were told to stop and have not ended.
        slowness: Run time on a worker relative to others.
    """
    rooms = {}
    for worker_id in sorted(usable):
        worker = ledger.workers.get(worker_id)
        if worker is None or worker.draining:
            continue
        rooms[worker_id] = Room(
            worker,
            ledger.free_on(worker_id),
            slowness=slowness(worker_id),
            runs=len(ledger.runs_on(worker_id)),
        )
    _mark_suspects(ledger, rooms)
    _add_leaving(ledger, stopping, rooms)
    _add_lasting(ledger, stopping, rooms)
    return rooms


def _mark_suspects(
    ledger: ledgers.BatchLedger, rooms: abc.Mapping[str, Room]
) -> None:
    """Marks the rooms in which a task runs that may crash its worker."""
    for task in ledger.crashes.suspects:
        run = ledger.live_run(task)
        record = ledger.runs.get(run) if run is not None else None
        room = rooms.get(record.worker_id) if record is not None else None
        if room is not None:
            room.holds_suspect = True


def _add_leaving(
    ledger: ledgers.BatchLedger,
    stopping: abc.Set[model.RunId],
    rooms: abc.Mapping[str, Room],
) -> None:
    """Adds to rooms what runs occupy there that were told to stop."""
    for run in stopping:
        record = ledger.runs.get(run)
        room = rooms.get(record.worker_id) if record is not None else None
        if room is not None:
            room.leaving += ledger.needs_of(run)


def _add_lasting(
    ledger: ledgers.BatchLedger,
    stopping: abc.Set[model.RunId],
    rooms: abc.Mapping[str, Room],
) -> None:
    """Adds to rooms what runs occupy there that do not end by themselves."""
    for (job_id, _, number), runs in ledger.runs_of_steps.items():
        step = ledger.jobs[job_id].job.steps[number]
        if not step.long_running:
            continue
        for run in runs.values():
            room = rooms.get(run.worker_id)
            if room is not None and run.run not in stopping:
                room.lasting += step.needs


def by_rack(rooms: abc.Iterable[Room]) -> dict[str, list[Room]]:
    """Returns rooms by the rack that they stand in."""
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        racks.setdefault(room.worker.rack, []).append(room)
    return racks
