"""Claims: the cells for a guaranteed job, and the borrowers to preempt.

A cell is the unit of guarantees: an accelerator, an aligned pair of them, a
worker or a rack. It is bound to hardware when a job first needs it.

The cells already bound to the account are used first, then the smallest new
cells that suffice, all in one rack for a gang that must be adjacent. Among
several racks, the claim is made in the one where preemption loses the least
work. A binding that would make another guarantee impossible to restore is
never planned.
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

MAX_COMPARED_RACKS = 4
"""Maximum number of racks with a feasible claim that are compared."""

MAX_EXAMINED_RACKS = 48
"""Maximum number of racks that are searched for one claim."""

MAX_SPREAD_RACKS = 32
"""Maximum number of racks over which a non-adjacent gang is spread."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Slots for a guaranteed job, and the cells to bind for them.

    Attributes:
        plan: The slots and the borrowers to preempt.
        bind: New cells to bind to the job's account.
    """

    plan: eviction.PreemptionPlan
    bind: tuple[Cell, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CellSlots:
    """Candidate slots of one worker in one cell, or in its bound cells.

    Attributes:
        cell: The cell to bind; None for cells already bound to the account.
        candidates: The slots, the cheapest first.
    """

    cell: Cell | None
    candidates: tuple[eviction.CandidateSlot, ...]

    def cost(self, count: int) -> float:
        """Returns the mean cost of the first `count` candidate slots."""
        first = self.candidates[:count]
        return sum(candidate.cost for candidate in first) / len(first)


Strategy = frozenset[Level]
STRATEGIES: tuple[Strategy, ...] = (
    frozenset(),
    frozenset({Level.ACCELERATOR}),
    frozenset({Level.PAIR}),
    frozenset({Level.WORKER}),
    frozenset({Level.ACCELERATOR, Level.PAIR, Level.WORKER}),
    frozenset({Level.RACK}),
)
"""Sets of levels from which new cells are bound, in the order of trial."""


def find_claim(
    book: jobs_book.JobBook, job: placements.Job, now: float
) -> Claim | None:
    """Returns a claim for a guaranteed job, or None.

    None means that other jobs of the account use its guarantee, or that
    capacity has been lost.
    """
    planner = _ClaimPlanner(book, job, now)
    best: Claim | None = None
    found = 0
    for rack in _racks_to_search(book, job, new=planner.may_bind):
        claim = planner.claim_on(list(rack.workers.values()))
        if claim is None:
            continue
        found += 1
        if best is None or claim.plan.cost < best.plan.cost:
            best = claim
        if claim.plan.ready or found >= MAX_COMPARED_RACKS:
            break
    if best is None and job.spec.adjacency == "any":
        best = planner.claim_on(_workers_to_spread_over(book, job))
    return best


def can_hold_task(counts: cells.Numbers, spec: jobs_messages.JobSpec) -> bool:
    """Returns whether any cell of a guarantee is large enough for a task."""
    singles, pairs, whole, racks = counts
    if racks or whole:
        return True
    if spec.accelerators <= 1:
        return bool(singles or pairs)
    return spec.accelerators <= 2 and bool(pairs)


def _racks_to_search(
    book: jobs_book.JobBook, job: placements.Job, new: bool
) -> abc.Iterator[jobs_pool.Rack]:
    """Yields the racks to search.

    Racks with cells bound to the account come first, then those with enough
    free slots, then all others that are large enough.

    Args:
        book: The domain's state.
        job: The job to place.
        new: Whether to include racks without cells bound to the account.
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
        if len(names) >= MAX_EXAMINED_RACKS:
            return
        if rack.name in names:
            continue
        names[rack.name] = None
        supply = book.cells.supply(rack.name)
        if supply.accelerators >= spec.total_accelerators:
            yield rack


def _workers_to_spread_over(
    book: jobs_book.JobBook, job: placements.Job
) -> list[workers.WorkerRecord]:
    found: list[workers.WorkerRecord] = []
    for number, rack in enumerate(_racks_to_search(book, job, new=True)):
        if number >= MAX_SPREAD_RACKS:
            break
        found += rack.workers.values()
    return found


class _ClaimPlanner:
    """Searches for the claim of one job."""

    def __init__(
        self, book: jobs_book.JobBook, job: placements.Job, now: float
    ) -> None:
        self._book = book
        self._job = job
        self._now = now
        self._budget = book.cells.unbound(job.spec.account)
        self._costs = eviction.PreemptionCosts(book, now)

    @property
    def may_bind(self) -> bool:
        """Whether an unbound cell of the account could hold a task."""
        return can_hold_task(self._budget, self._job.spec)

    def claim_on(
        self, records: abc.Sequence[workers.WorkerRecord]
    ) -> Claim | None:
        """Returns the claim of the first feasible strategy, or None."""
        fitting = [w for w in records if self._fits(w)]
        if not fitting:
            return None
        own = self._own_cell_slots(fitting, self._costs)
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
        self, records: abc.Iterable[workers.WorkerRecord]
    ) -> Strategy:
        """Returns the levels of unbound cells that can hold a task."""
        spec = self._job.spec
        size = min(w.footprint(spec) for w in records)
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
        records: abc.Sequence[workers.WorkerRecord],
        own: abc.Sequence[CellSlots],
        levels: Strategy,
    ) -> Claim | None:
        groups = [*own, *self._new_cell_slots(records, levels, self._costs)]
        claim = self._select(groups, self._costs)
        if claim is None or len(claim.plan.victims) < 2:
            return claim
        # Preempting a gang frees all its slots. With the slots of the victims
        # counted as free, fewer victims may suffice.
        costs = eviction.PreemptionCosts(self._book, self._now)
        costs.waive(claim.plan.victims)
        own = self._own_cell_slots(records, costs)
        groups = [*own, *self._new_cell_slots(records, levels, costs)]
        again = self._select(groups, costs)
        if again and len(again.plan.victims) < len(claim.plan.victims):
            cost = sum(self._costs.of(v) for v in again.plan.victims)
            plan = dataclasses.replace(again.plan, cost=cost)
            return dataclasses.replace(again, plan=plan)
        return claim

    def _select(
        self, groups: abc.Iterable[CellSlots], costs: eviction.PreemptionCosts
    ) -> Claim | None:
        """Returns the claim that fills slots from the groups in order."""
        wanted = self._job.spec.tasks
        left = list(self._budget)
        taken: dict[str, int] = {}
        candidates: list[eviction.CandidateSlot] = []
        bind: list[Cell] = []
        for cell_slots in groups:
            used = self._pick(cell_slots, taken, wanted - len(candidates))
            if not used:
                continue
            if cell_slots.cell is not None and cell_slots.cell not in bind:
                if not left[cell_slots.cell.level]:
                    continue
                left[cell_slots.cell.level] -= 1
                bind.append(cell_slots.cell)
            for candidate in used:
                mask = taken.get(candidate.worker_id, 0)
                taken[candidate.worker_id] = mask | candidate.mask
            candidates += used
        if len(candidates) < wanted:
            return None
        if bind and not self._book.cells.can_bind(self._job.spec.account, bind):
            return None
        plan = eviction.plan_preemption(
            self._book, self._job, candidates, costs
        )
        return Claim(plan, tuple(bind)) if plan is not None else None

    @staticmethod
    def _pick(
        cell_slots: CellSlots, taken: dict[str, int], wanted: int
    ) -> list[eviction.CandidateSlot]:
        free = (
            candidate
            for candidate in cell_slots.candidates
            if not candidate.mask & taken.get(candidate.worker_id, 0)
        )
        return [
            candidate for candidate, _ in zip(free, range(wanted), strict=False)
        ]

    def _new_cell_slots(
        self,
        records: abc.Sequence[workers.WorkerRecord],
        levels: Strategy,
        costs: eviction.PreemptionCosts,
    ) -> list[CellSlots]:
        """Returns the candidate slots in new cells, best cells first."""
        new: list[CellSlots] = []
        for worker in records:
            for cell, mask in self._new_cells(worker, levels):
                new += self._slots_in_cell(worker, mask, cell, costs)
        wanted = self._job.spec.tasks
        new.sort(key=lambda cell_slots: self._rank(cell_slots, wanted))
        return new

    def _rank(
        self, cell_slots: CellSlots, wanted: int
    ) -> tuple[float, bool, int]:
        """Returns the sort key of a new cell.

        Cheaper cells come first; of those with equal cost, the ones that do
        not split a worker without bound cells.
        """
        worker_id = cell_slots.candidates[0].worker_id
        untouched = not self._book.cells.bound_mask(worker_id)
        small = (
            cell_slots.cell is not None and cell_slots.cell.level < Level.WORKER
        )
        return (
            cell_slots.cost(wanted),
            small and untouched,
            -len(cell_slots.candidates),
        )

    def _own_cell_slots(
        self,
        records: abc.Iterable[workers.WorkerRecord],
        costs: eviction.PreemptionCosts,
    ) -> list[CellSlots]:
        """Returns the candidate slots in bound cells, cheapest first."""
        book = self._book
        account = self._job.spec.account
        own: list[CellSlots] = []
        for worker in records:
            mask = book.cells.owned_mask(account, worker.announced.worker_id)
            if mask:
                mask &= ~book.guaranteed_mask(worker)
                own += self._slots_in_cell(worker, mask, None, costs)
        own.sort(key=lambda cell_slots: cell_slots.cost(self._job.spec.tasks))
        return own

    def _slots_in_cell(
        self,
        worker: workers.WorkerRecord,
        mask: int,
        cell: Cell | None,
        costs: eviction.PreemptionCosts,
    ) -> list[CellSlots]:
        size = worker.footprint(self._job.spec)
        if mask.bit_count() < size:
            return []
        candidates = eviction.split_into_slots(worker, mask, size, costs)
        return [CellSlots(cell, tuple(candidates))]

    def _new_cells(
        self, worker: workers.WorkerRecord, levels: Strategy
    ) -> abc.Iterator[tuple[Cell, int]]:
        """Yields the unbound cells on a worker or around it, with masks."""
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
