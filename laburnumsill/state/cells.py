"""Guarantees of accounts as cells, and the binding of cells to hardware.

A cell is a complete rack, a complete worker, an aligned pair of accelerators
on a worker, or one accelerator. Cells split and merge as in a buddy
allocator: two accelerators make a pair, pairs make a worker, workers make a
rack.

An account's guarantee is a number of cells of each level. A guaranteed cell
that the account does not use is unbound: no particular hardware belongs to
it. When a guaranteed job needs the cell, it is bound to a physical cell of its
level. On a bound cell, only guaranteed jobs of its account and borrowing jobs
may be placed. The cell is unbound when the last of these guaranteed jobs has
been released.

Invariant: without the borrowing jobs, the unbound hardware suffices for all
unbound cells. The accelerators missing for that are the shortfall, and a
binding that would increase it is refused.

References:
    H. Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning with
    Guarantees", OSDI 2020.
"""

import collections
import dataclasses
import enum
from collections import abc

import sortedcontainers

from laburnumsill.core import errors
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers

Numbers = tuple[int, int, int, int]
"""Number of cells of each level, in the order of `Level`."""

NO_CELLS: Numbers = (0, 0, 0, 0)


Cell = jobs_messages.Cell


class Level(enum.IntEnum):
    """The size of a cell."""

    ACCELERATOR = 0
    PAIR = 1
    WORKER = 2
    RACK = 3


class GuaranteeError(errors.ConflictError):
    """A binding that the guarantees do not allow."""

    slug = "guarantee"
    title = "A guarantee does not allow it"


@dataclasses.dataclass(slots=True)
class RackSupply:
    """Unbound hardware of a rack.

    Attributes:
        whole: Whether the rack is unbound and usable as a whole.
        sizes: Number of workers without a bound accelerator, by their number
            of accelerators.
        pairs: Number of aligned unbound pairs, including those of whole
            workers.
        accelerators: Number of all unbound accelerators.
    """

    whole: bool = False
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    pairs: int = 0
    accelerators: int = 0


class CellAllocator:
    """The guarantees of a domain, the bound cells and the unbound hardware.

    Attributes:
        guarantees: Number of cells guaranteed to each account.
        bound: The physical cells bound to each account.
    """

    def __init__(self, pool: jobs_pool.Pool) -> None:
        self.guarantees: dict[str, Numbers] = {}
        self.bound: dict[str, list[Cell]] = {}
        self._pool = pool
        self._unbound: dict[str, Numbers] = {}
        self._unbound_total = [0, 0, 0, 0]
        self._rack_owner: dict[str, str] = {}
        self._owned: dict[str, dict[str, int]] = {}
        self._supply: dict[str, RackSupply] = {}
        self._whole_racks = sortedcontainers.SortedList()
        self._sizes: collections.Counter[int] = collections.Counter()
        self._pairs = 0
        self._accelerators = 0

    def set_guarantees(self, guarantees: dict[str, Numbers]) -> None:
        """Replaces the guarantees; bound cells stay bound."""
        self.guarantees = dict(guarantees)
        self._recount_unbound()

    def unbound(self, account: str) -> Numbers:
        """Returns the account's number of unbound cells of each level."""
        return self._unbound.get(account, NO_CELLS)

    def total_unbound(self) -> Numbers:
        """Returns the total number of unbound cells of each level."""
        return _cell_counts(self._unbound_total)

    def _recount_unbound(self) -> None:
        self._unbound = {}
        self._unbound_total = [0, 0, 0, 0]
        for account in self.guarantees:
            self._update_unbound(account)

    def _update_unbound(self, account: str) -> None:
        """Updates the unbound cells after a change of an account's cells."""
        remaining = list(self.guarantees.get(account, NO_CELLS))
        for cell in self.bound.get(account, ()):
            remaining[cell.level] -= 1
        old = self.unbound(account)
        new = _cell_counts(max(0, number) for number in remaining)
        self._unbound[account] = new
        for level in Level:
            self._unbound_total[level] += new[level] - old[level]

    def shortfall(self) -> int:
        """Returns how many accelerators are missing for all unbound cells.

        The smallest whole racks are assigned to the unbound racks, then the
        smallest whole workers to the unbound workers; the remaining hardware
        is split into pairs and single accelerators. This greedy assignment is
        optimal if all workers have the same size.
        """
        racks, whole_workers, pairs, singles = reversed(self.total_unbound())
        sizes = self._sizes.copy()
        free_pairs = self._pairs
        free = self._accelerators
        missing = 0
        for _, name in self._whole_racks[:racks]:
            supply = self._supply[name]
            sizes.subtract(supply.sizes)
            free_pairs -= supply.pairs
            free -= supply.accelerators
        missing_racks = racks - len(self._whole_racks)
        if missing_racks > 0:
            missing += missing_racks * self._largest_rack()
        for size in sorted(sizes):
            assigned = min(whole_workers, sizes[size])
            whole_workers -= assigned
            free_pairs -= assigned * (size // 2)
            free -= assigned * size
        missing += whole_workers * max(self._sizes, default=1)
        missing += 2 * max(0, pairs - free_pairs)
        free -= 2 * min(pairs, free_pairs)
        return missing + max(0, singles - free)

    def owned_mask(self, account: str, worker_id: str) -> int:
        """Returns the mask of a worker's accelerators in an account's cells."""
        return self._owned.get(worker_id, {}).get(account, 0)

    def bound_mask(self, worker_id: str) -> int:
        """Returns the mask of a worker's accelerators in bound cells."""
        return _union(self._owned.get(worker_id, {}).values())

    def supply(self, rack: str) -> RackSupply:
        """Returns the unbound hardware of a rack."""
        return self._supply.get(rack, RackSupply())

    def bind(self, account: str, cells: abc.Sequence[Cell]) -> None:
        """Binds cells to an account.

        Raises:
            GuaranteeError: A cell is not whole and unbound, the account has
                no unbound cell of its level, or the binding would increase
                the shortfall. No cell was bound.
        """
        before = self.shortfall()
        bound_cells: list[Cell] = []
        try:
            for cell in cells:
                self._check_binding(account, cell)
                self._add_cell(account, cell)
                bound_cells.append(cell)
            if bound_cells and self.shortfall() > before:
                raise GuaranteeError(
                    f"binding {cells} to {account!r} would leave other"
                    " guarantees without whole cells"
                )
        except GuaranteeError:
            for cell in reversed(bound_cells):
                self._remove_cell(account, cell)
            raise

    def can_bind(self, account: str, cells: abc.Sequence[Cell]) -> bool:
        """Returns whether `bind` would accept the cells."""
        try:
            self.bind(account, cells)
        except GuaranteeError:
            return False
        for cell in cells:
            self._remove_cell(account, cell)
        return True

    def unbind(self, account: str, cell: Cell) -> None:
        """Unbinds a cell; it counts as unbound in the guarantee again."""
        self._remove_cell(account, cell)

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker that has left and has no tasks."""
        self._owned.pop(worker_id, None)

    def overlaps(self, cell: Cell, worker_id: str, mask: int) -> bool:
        """Returns whether a cell contains some of a worker's accelerators."""
        if cell.level == Level.RACK:
            worker = self._pool.workers.get(worker_id)
            return worker is not None and worker.announced.rack == cell.rack
        if cell.worker_id != worker_id:
            return False
        return cell.level == Level.WORKER or bool(cell.mask & mask)

    def load(self, bound: dict[str, list[Cell]]) -> None:
        """Replaces the bound cells by those of a snapshot, unchecked."""
        self.bound = {}
        self._recount_unbound()
        self._owned = {}
        self._rack_owner = {}
        for account, cells in bound.items():
            for cell in cells:
                self._add_cell(account, cell)
        for rack in list(self._pool.racks):
            self.refresh(rack)

    def refresh(self, rack: str) -> None:
        """Updates the supply after a change of a rack's workers or cells."""
        owner = self._rack_owner.get(rack)
        present = self._pool.racks.get(rack)
        if owner is not None and present is not None:
            for worker_id, worker in present.workers.items():
                self._owned[worker_id] = {owner: worker.full_mask}
        self._remove_supply(rack)
        if present is None:
            return
        supply = self._count_supply(present)
        self._supply[rack] = supply
        self._sizes.update(supply.sizes)
        self._pairs += supply.pairs
        self._accelerators += supply.accelerators
        if supply.whole:
            self._whole_racks.add((supply.accelerators, rack))

    def _remove_supply(self, rack: str) -> None:
        old = self._supply.pop(rack, None)
        if old is None:
            return
        self._sizes.subtract(old.sizes)
        self._sizes = +self._sizes  # drops the sizes that are gone
        self._pairs -= old.pairs
        self._accelerators -= old.accelerators
        if old.whole:
            self._whole_racks.remove((old.accelerators, rack))

    def _count_supply(self, rack: jobs_pool.Rack) -> RackSupply:
        supply = RackSupply(whole=True)
        for worker_id, worker in rack.workers.items():
            size = worker.announced.accelerators
            if not size:
                continue
            bound = self.bound_mask(worker_id)
            if not worker.usable or bound:
                supply.whole = False
            if not worker.usable:
                continue
            free = worker.full_mask & ~bound
            supply.accelerators += free.bit_count()
            supply.pairs += whole_pairs(free)
            if not bound:
                supply.sizes[size] = supply.sizes.get(size, 0) + 1
        supply.whole = supply.whole and supply.accelerators > 0
        return supply

    def _check_binding(self, account: str, cell: Cell) -> None:
        if not self.unbound(account)[cell.level]:
            raise GuaranteeError(f"{account!r} is owed no more {cell}")
        if not self._is_unbound(cell):
            raise GuaranteeError(f"{cell} is not whole and unbound")

    def _is_unbound(self, cell: Cell) -> bool:
        if cell.level == Level.RACK:
            return self.supply(cell.rack).whole
        worker = self._pool.workers.get(cell.worker_id)
        if worker is None or not worker.usable:
            return False
        if worker.announced.rack != cell.rack:
            return False
        mask = self._mask(cell, worker)
        if cell.level != Level.WORKER and not _is_cell_mask(cell):
            return False
        inside = bool(mask) and not mask & ~worker.full_mask
        return inside and not mask & self.bound_mask(cell.worker_id)

    def _add_cell(self, account: str, cell: Cell) -> None:
        self.bound.setdefault(account, []).append(cell)
        self._update_unbound(account)
        if cell.level == Level.RACK:
            self._rack_owner[cell.rack] = account
        else:
            self._add_owned_mask(account, cell)
        self.refresh(cell.rack)

    def _remove_cell(self, account: str, cell: Cell) -> None:
        self.bound[account].remove(cell)
        if not self.bound[account]:
            del self.bound[account]
        self._update_unbound(account)
        if cell.level == Level.RACK:
            del self._rack_owner[cell.rack]
            rack = self._pool.racks.get(cell.rack)
            for worker_id in rack.workers if rack else ():
                self._owned.pop(worker_id, None)
        else:
            self._recompute_owned_mask(account, cell.worker_id)
        self.refresh(cell.rack)

    def _add_owned_mask(self, account: str, cell: Cell) -> None:
        owned = self._owned.setdefault(cell.worker_id, {})
        worker = self._pool.workers.get(cell.worker_id)
        mask = self._mask(cell, worker)
        owned[account] = owned.get(account, 0) | mask

    def _recompute_owned_mask(self, account: str, worker_id: str) -> None:
        owned = self._owned.get(worker_id, {})
        owned.pop(account, None)
        for cell in self.bound.get(account, ()):
            if cell.worker_id == worker_id:
                self._add_owned_mask(account, cell)
        if not owned:
            self._owned.pop(worker_id, None)

    def _mask(self, cell: Cell, worker: workers.WorkerRecord | None) -> int:
        if cell.level != Level.WORKER:
            return cell.mask
        return worker.full_mask if worker is not None else 0

    def _largest_rack(self) -> int:
        racks = self._pool.racks.values()
        return max((_accelerators(rack) for rack in racks), default=1)


def whole_pairs(free: int) -> int:
    """Returns the number of aligned pairs in a mask.

    Examples:
        >>> whole_pairs(0b110111)
        2
    """
    count = 0
    while free:
        count += free & 3 == 3
        free >>= 2
    return count


def _is_cell_mask(cell: Cell) -> bool:
    """Returns whether the mask is one accelerator or one aligned pair."""
    if cell.level == Level.ACCELERATOR:
        return cell.mask.bit_count() == 1
    low = (cell.mask & -cell.mask).bit_length() - 1
    return low >= 0 and low % 2 == 0 and cell.mask == 3 << low


def _accelerators(rack: jobs_pool.Rack) -> int:
    return sum(w.announced.accelerators for w in rack.workers.values())


def _union(masks: abc.Iterable[int]) -> int:
    union = 0
    for mask in masks:
        union |= mask
    return union


def _cell_counts(values: abc.Iterable[int]) -> Numbers:
    accelerators, pairs, whole, racks = values
    return accelerators, pairs, whole, racks
