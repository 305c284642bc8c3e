"""Finding the cells for a guaranteed job, and whom to stop for it.

An account's own bound cells are used first, then as small new cells as will
do, all in one rack for a gang that must be adjacent. Of several racks the
one is taken in which stopping borrowers loses the least work. A binding
that would leave another guarantee without whole cells is never planned.
"""

import dataclasses
import itertools
from collections import abc

from laburnumsill.jobs import eviction
from laburnumsill.state import cells
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import placements
from laburnumsill.state import workers

Cell = jobs_messages.Cell
Level = cells.Level

CANDIDATES = 4
"""Racks with a sufficient set of cells that are compared."""

EXAMINED = 48
"""Racks that are looked into at most for one plan."""

ANY_RACKS = 32
"""Racks that a gang which may be apart is spread over at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The room for a guaranteed job and the cells to bind for it."""

    room: eviction.Room
    bind: tuple[Cell, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Possible slots that lie in one cell; no new one where `cell` is None."""

    cell: Cell | None
    chunks: tuple[eviction.Chunk, ...]

    def cost(self, count: int) -> float:
        """Returns the mean cost of the first `count` chunks."""
        first = self.chunks[:count]
        return sum(chunk.cost for chunk in first) / len(first)


Strategy = frozenset[Level]
STRATEGIES: tuple[Strategy, ...] = (
    frozenset(),
    frozenset({Level.ACCELERATOR}),
    frozenset({Level.PAIR}),
    frozenset({Level.WORKER}),
    frozenset({Level.ACCELERATOR, Level.PAIR, Level.WORKER}),
    frozenset({Level.RACK}),
)
"""Which levels of new cells are used, from none to a whole rack."""


def find_claim(
    book: jobs_book.JobBook, job: placements.Job, now: float
) -> Claim | None:
    """Returns cells and slots for a guaranteed job, or None.

    None says that the account's guarantee is in use by its other jobs, or
    that capacity has been lost.
    """
    planner = _Planner(book, job, now)
    best: Claim | None = None
    found = 0
    for rack in _racks(book, job, new=planner.may_bind):
        claim = planner.among(list(rack.workers.values()))
        if claim is None:
            continue
        found += 1
        if best is None or claim.room.cost < best.room.cost:
            best = claim
        if claim.room.ready or found >= CANDIDATES:
            break
    if best is None and job.spec.adjacency == "any":
        best = planner.among(_spread(book, job))
    return best


def could_hold(owed: cells.Numbers, spec: jobs_messages.JobSpec) -> bool:
    """Returns whether a guarantee has any room for such a task at all."""
    singles, pairs, whole, racks = owed
    if racks or whole:
        return True
    if spec.accelerators <= 1:
        return bool(singles or pairs)
    return spec.accelerators <= 2 and bool(pairs)


def _racks(
    book: jobs_book.JobBook, job: placements.Job, new: bool
) -> abc.Iterator[jobs_pool.Rack]:
    """Yields the racks to look into: own cells, then free, then others.

    Args:
        book: The domain's state.
        job: The job to place.
        new: Whether to look further than the account's own cells.
    """
    spec = job.spec
    names: dict[str, None] = {}
    for cell in book.cells.bound.get(spec.account, ()):
        names[cell.rack] = None
    for name in names:
        if name in book.pool.racks:
            yield book.pool.racks[name]
    if not new:
        return
    others = itertools.chain(
        book.pool.racks_with(spec.tasks, max(1, spec.accelerators)),
        book.pool.racks_by_size(spec.total_accelerators),
    )
    for rack in others:
        if len(names) >= EXAMINED:
            return
        if rack.name in names:
            continue
        names[rack.name] = None
        supply = book.cells.supply(rack.name)
        if supply.accelerators >= spec.total_accelerators:
            yield rack


def _spread(
    book: jobs_book.JobBook, job: placements.Job
) -> list[workers.WorkerRecord]:
    found: list[workers.WorkerRecord] = []
    for number, rack in enumerate(_racks(book, job, new=True)):
        if number >= ANY_RACKS:
            break
        found += rack.workers.values()
    return found


class _Planner:
    """Plans one job's claim."""

    def __init__(
        self, book: jobs_book.JobBook, job: placements.Job, now: float
    ) -> None:
        self._book = book
        self._job = job
        self._now = now
        self._budget = book.cells.unbound(job.spec.account)
        self._costs = eviction.Costs(book, now)

    @property
    def may_bind(self) -> bool:
        """Whether the account is owed a cell that could hold a task."""
        return could_hold(self._budget, self._job.spec)

    def among(
        self, candidates: abc.Sequence[workers.WorkerRecord]
    ) -> Claim | None:
        """Returns the first strategy's claim that works on these workers."""
        fitting = [w for w in candidates if self._fits(w)]
        if not fitting:
            return None
        own = self._own(fitting, self._costs)
        tried: set[Strategy] = set()
        for levels in STRATEGIES:
            useful = levels & self._useful_levels(fitting)
            if useful in tried or (levels and not useful):
                continue
            tried.add(useful)
            claim = self._try(fitting, own, useful)
            if claim is not None:
                return claim
        return None

    def _useful_levels(
        self, candidates: abc.Iterable[workers.WorkerRecord]
    ) -> Strategy:
        """Returns the levels of cells that are owed and hold a task."""
        spec = self._job.spec
        size = min(w.footprint(spec) for w in candidates)
        holding = {Level.WORKER, Level.RACK}
        if size <= 2:
            holding.add(Level.PAIR)
        if size <= 1:
            holding.add(Level.ACCELERATOR)
        return frozenset(level for level in holding if self._budget[level])

    def _fits(self, worker: workers.WorkerRecord) -> bool:
        size = worker.footprint(self._job.spec)
        return worker.usable and 0 < size <= worker.announced.accelerators

    def _try(
        self,
        candidates: abc.Sequence[workers.WorkerRecord],
        own: abc.Sequence[Group],
        levels: Strategy,
    ) -> Claim | None:
        groups = [*own, *self._new_groups(candidates, levels, self._costs)]
        claim = self._select(groups, self._costs)
        if claim is None or len(claim.room.victims) < 2:
            return claim
        # A victim stops whole: with its other slots counted as free, fewer
        # victims may do.
        costs = eviction.Costs(self._book, self._now)
        costs.waive(claim.room.victims)
        own = self._own(candidates, costs)
        groups = [*own, *self._new_groups(candidates, levels, costs)]
        again = self._select(groups, costs)
        if again and len(again.room.victims) < len(claim.room.victims):
            cost = sum(self._costs.of(v) for v in again.room.victims)
            room = dataclasses.replace(again.room, cost=cost)
            return dataclasses.replace(again, room=room)
        return claim

    def _select(
        self, groups: abc.Iterable[Group], costs: eviction.Costs
    ) -> Claim | None:
        """Returns the claim that takes slots from the first groups."""
        wanted = self._job.spec.tasks
        left = list(self._budget)
        taken: dict[str, int] = {}
        chunks: list[eviction.Chunk] = []
        bind: list[Cell] = []
        for group in groups:
            used = self._use(group, taken, wanted - len(chunks))
            if not used:
                continue
            if group.cell is not None and group.cell not in bind:
                if not left[group.cell.level]:
                    continue
                left[group.cell.level] -= 1
                bind.append(group.cell)
            for chunk in used:
                mask = taken.get(chunk.worker_id, 0)
                taken[chunk.worker_id] = mask | chunk.mask
            chunks += used
        if len(chunks) < wanted:
            return None
        if bind and not self._book.cells.can_bind(self._job.spec.account, bind):
            return None
        room = eviction.settle(self._book, self._job, chunks, costs)
        return Claim(room, tuple(bind)) if room is not None else None

    @staticmethod
    def _use(
        group: Group, taken: dict[str, int], wanted: int
    ) -> list[eviction.Chunk]:
        free = (
            chunk
            for chunk in group.chunks
            if not chunk.mask & taken.get(chunk.worker_id, 0)
        )
        return [chunk for chunk, _ in zip(free, range(wanted), strict=False)]

    def _new_groups(
        self,
        candidates: abc.Sequence[workers.WorkerRecord],
        levels: Strategy,
        costs: eviction.Costs,
    ) -> list[Group]:
        """Returns the possible slots in new cells, the best cells first."""
        new: list[Group] = []
        for worker in candidates:
            for cell, mask in self._new_cells(worker, levels):
                new += self._group(worker, mask, cell, costs)
        wanted = self._job.spec.tasks
        new.sort(key=lambda group: self._rank(group, wanted))
        return new

    def _rank(self, group: Group, wanted: int) -> tuple[float, bool, int]:
        """Orders new cells: cheap first, then those that break no worker."""
        worker_id = group.chunks[0].worker_id
        untouched = not self._book.cells.bound_mask(worker_id)
        small = group.cell is not None and group.cell.level < Level.WORKER
        return group.cost(wanted), small and untouched, -len(group.chunks)

    def _own(
        self,
        candidates: abc.Iterable[workers.WorkerRecord],
        costs: eviction.Costs,
    ) -> list[Group]:
        """Returns the possible slots in own cells, the cheapest first."""
        book = self._book
        account = self._job.spec.account
        own: list[Group] = []
        for worker in candidates:
            mask = book.cells.owned_mask(account, worker.announced.worker_id)
            if mask:
                mask &= ~book.guaranteed_mask(worker)
                own += self._group(worker, mask, None, costs)
        own.sort(key=lambda group: group.cost(self._job.spec.tasks))
        return own

    def _group(
        self,
        worker: workers.WorkerRecord,
        mask: int,
        cell: Cell | None,
        costs: eviction.Costs,
    ) -> list[Group]:
        size = worker.footprint(self._job.spec)
        if mask.bit_count() < size:
            return []
        chunks = eviction.chunks_on(worker, mask, size, costs)
        return [Group(cell, tuple(chunks))]

    def _new_cells(
        self, worker: workers.WorkerRecord, levels: Strategy
    ) -> abc.Iterator[tuple[Cell, int]]:
        """Yields unbound cells that the worker is, has or lies in."""
        book = self._book
        own = worker.announced
        full = worker.full_mask
        free = full & ~book.cells.bound_mask(own.worker_id)
        if Level.RACK in levels and book.cells.supply(own.rack).whole:
            yield Cell(Level.RACK, own.rack), full
        if Level.WORKER in levels and free == full:
            yield Cell(Level.WORKER, own.rack, own.worker_id), full
        if Level.PAIR in levels:
            for low in range(0, own.accelerators - 1, 2):
                mask = 3 << low
                if free & mask == mask:
                    yield Cell(Level.PAIR, own.rack, own.worker_id, mask), mask
        if Level.ACCELERATOR in levels:
            for low in range(own.accelerators):
                mask = 1 << low
                if free & mask:
                    yield (
                        Cell(Level.ACCELERATOR, own.rack, own.worker_id, mask),
                        mask,
                    )
