"""Guarantees as cells, and whether each can still be restored.

A cell is a whole rack, a whole worker, an aligned pair of accelerators on a
worker, or one accelerator. Cells split and merge as buddies: two
accelerators make a pair, pairs make a worker, workers make a rack.

An account's guarantee is a number of cells of each level. While the account
does not use a cell it is unbound: it is owed, but it is no particular
hardware. When a guaranteed job needs it, it is bound to a physical cell of
its level, in which only that account's guaranteed jobs, and borrowers, may
sit, and it is unbound when the last of these jobs has left it.

The invariant: with borrowers counted as absent, the physical cells that are
not bound suffice for all unbound ones. A binding that would make this worse
is refused.

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
"""A number of cells for each level, in the order of `Level`."""

NO_CELLS: Numbers = (0, 0, 0, 0)


Cell = jobs_messages.Cell


class Level(enum.IntEnum):
    """The size of a cell."""

    ACCELERATOR = 0
    PAIR = 1
    WORKER = 2
    RACK = 3


class GuaranteeError(errors.ConflictError):
    """A binding that some guarantee does not allow."""

    slug = "guarantee"
    title = "A guarantee does not allow it"


@dataclasses.dataclass(slots=True)
class RackSupply:
    """What a rack offers to unbound cells.

    Attributes:
        whole: Whether nothing of it is bound or unusable.
        sizes: Number of wholly unbound workers by accelerators.
        pairs: Aligned unbound pairs, those of whole workers included.
        accelerators: Unbound accelerators, all of them.
    """

    whole: bool = False
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    pairs: int = 0
    accelerators: int = 0


class CellBook:
    """The guarantees of a domain, what is bound, and what is left for it.

    Attributes:
        guarantees: Cells owed to each account.
        bound: The physical cells that each account uses.
    """

    def __init__(self, pool: jobs_pool.Pool) -> None:
        self.guarantees: dict[str, Numbers] = {}
        self.bound: dict[str, list[Cell]] = {}
        self._pool = pool
        self._unbound: dict[str, Numbers] = {}
        self._demand = [0, 0, 0, 0]
        self._rack_owner: dict[str, str] = {}
        self._owned: dict[str, dict[str, int]] = {}
        self._supply: dict[str, RackSupply] = {}
        self._whole = sortedcontainers.SortedList()
        self._sizes: collections.Counter[int] = collections.Counter()
        self._pairs = 0
        self._accelerators = 0

    def set_guarantees(self, guarantees: dict[str, Numbers]) -> None:
        """Replaces what is owed; cells in use stay bound."""
        self.guarantees = dict(guarantees)
        self._recount()

    def unbound(self, account: str) -> Numbers:
        """Returns how many cells of each level the account is still owed."""
        return self._unbound.get(account, NO_CELLS)

    def demand(self) -> Numbers:
        """Returns the unbound cells of all accounts together."""
        return _numbers(self._demand)

    def _recount(self) -> None:
        self._unbound = {}
        self._demand = [0, 0, 0, 0]
        for account in self.guarantees:
            self._count_unbound(account)

    def _count_unbound(self, account: str) -> None:
        """Brings what is unbound up to date after a change of an account."""
        owed = list(self.guarantees.get(account, NO_CELLS))
        for cell in self.bound.get(account, ()):
            owed[cell.level] -= 1
        before = self.unbound(account)
        now = _numbers(max(0, number) for number in owed)
        self._unbound[account] = now
        for level in Level:
            self._demand[level] += now[level] - before[level]

    def shortfall(self) -> int:
        """Returns how many accelerators are missing to restore everything.

        The smallest whole racks and then the smallest whole workers go to
        those owed racks and workers; what is left splits into pairs and
        accelerators. For workers of one size no other choice does better.
        """
        racks, whole, pairs, singles = reversed(self.demand())
        sizes = self._sizes.copy()
        free_pairs = self._pairs
        free = self._accelerators
        missing = 0
        for _, name in self._whole[:racks]:
            supply = self._supply[name]
            sizes.subtract(supply.sizes)
            free_pairs -= supply.pairs
            free -= supply.accelerators
        lacking = racks - len(self._whole)
        if lacking > 0:
            missing += lacking * self._typical_rack()
        for size in sorted(sizes):
            taken = min(whole, sizes[size])
            whole -= taken
            free_pairs -= taken * (size // 2)
            free -= taken * size
        missing += whole * max(self._sizes, default=1)
        missing += 2 * max(0, pairs - free_pairs)
        free -= 2 * min(pairs, free_pairs)
        return missing + max(0, singles - free)

    def owned_mask(self, account: str, worker_id: str) -> int:
        """Returns the accelerators of a worker in cells of an account."""
        return self._owned.get(worker_id, {}).get(account, 0)

    def bound_mask(self, worker_id: str) -> int:
        """Returns the accelerators of a worker in cells of any account."""
        return _union(self._owned.get(worker_id, {}).values())

    def supply(self, rack: str) -> RackSupply:
        """Returns what a rack offers to unbound cells."""
        return self._supply.get(rack, RackSupply())

    def bind(self, account: str, cells: abc.Sequence[Cell]) -> None:
        """Binds cells to an account.

        Raises:
            GuaranteeError: A cell is not whole and unbound, the account is
                not owed it, or another guarantee could not be restored any
                more. Nothing has changed then.
        """
        before = self.shortfall()
        done: list[Cell] = []
        try:
            for cell in cells:
                self._check(account, cell)
                self._add(account, cell)
                done.append(cell)
            if done and self.shortfall() > before:
                raise GuaranteeError(
                    f"binding {cells} to {account!r} would leave other"
                    " guarantees without whole cells"
                )
        except GuaranteeError:
            for cell in reversed(done):
                self._remove(account, cell)
            raise

    def allows(self, account: str, cells: abc.Sequence[Cell]) -> bool:
        """Returns whether `bind` would accept the cells."""
        try:
            self.bind(account, cells)
        except GuaranteeError:
            return False
        for cell in cells:
            self._remove(account, cell)
        return True

    def unbind(self, account: str, cell: Cell) -> None:
        """Gives a cell back, so that it is owed again."""
        self._remove(account, cell)

    def forget_worker(self, worker_id: str) -> None:
        """Forgets a worker that has left, with nothing on it."""
        self._owned.pop(worker_id, None)

    def covers(self, cell: Cell, worker_id: str, mask: int) -> bool:
        """Returns whether a cell has some of a worker's accelerators."""
        if cell.level == Level.RACK:
            worker = self._pool.workers.get(worker_id)
            return worker is not None and worker.announced.rack == cell.rack
        if cell.worker_id != worker_id:
            return False
        return cell.level == Level.WORKER or bool(cell.mask & mask)

    def load(self, bound: dict[str, list[Cell]]) -> None:
        """Replaces what is bound, without checks, after a snapshot."""
        self.bound = {}
        self._recount()
        self._owned = {}
        self._rack_owner = {}
        for account, cells in bound.items():
            for cell in cells:
                self._add(account, cell)
        for rack in list(self._pool.racks):
            self.refresh(rack)

    def refresh(self, rack: str) -> None:
        """Brings the supply up to date after a change of a rack's workers."""
        owner = self._rack_owner.get(rack)
        present = self._pool.racks.get(rack)
        if owner is not None and present is not None:
            for worker_id, worker in present.workers.items():
                self._owned[worker_id] = {owner: worker.full_mask}
        self._forget(rack)
        if present is None:
            return
        supply = self._count(present)
        self._supply[rack] = supply
        self._sizes.update(supply.sizes)
        self._pairs += supply.pairs
        self._accelerators += supply.accelerators
        if supply.whole:
            self._whole.add((supply.accelerators, rack))

    def _forget(self, rack: str) -> None:
        old = self._supply.pop(rack, None)
        if old is None:
            return
        self._sizes.subtract(old.sizes)
        self._pairs -= old.pairs
        self._accelerators -= old.accelerators
        if old.whole:
            self._whole.remove((old.accelerators, rack))

    def _count(self, rack: jobs_pool.Rack) -> RackSupply:
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

    def _check(self, account: str, cell: Cell) -> None:
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

    def _add(self, account: str, cell: Cell) -> None:
        self.bound.setdefault(account, []).append(cell)
        self._count_unbound(account)
        if cell.level == Level.RACK:
            self._rack_owner[cell.rack] = account
        else:
            self._mark(account, cell)
        self.refresh(cell.rack)

    def _remove(self, account: str, cell: Cell) -> None:
        self.bound[account].remove(cell)
        if not self.bound[account]:
            del self.bound[account]
        self._count_unbound(account)
        if cell.level == Level.RACK:
            del self._rack_owner[cell.rack]
            rack = self._pool.racks.get(cell.rack)
            for worker_id in rack.workers if rack else ():
                self._owned.pop(worker_id, None)
        else:
            self._remark(account, cell.worker_id)
        self.refresh(cell.rack)

    def _mark(self, account: str, cell: Cell) -> None:
        owned = self._owned.setdefault(cell.worker_id, {})
        worker = self._pool.workers.get(cell.worker_id)
        mask = self._mask(cell, worker)
        owned[account] = owned.get(account, 0) | mask

    def _remark(self, account: str, worker_id: str) -> None:
        owned = self._owned.get(worker_id, {})
        owned.pop(account, None)
        for cell in self.bound.get(account, ()):
            if cell.worker_id == worker_id:
                self._mark(account, cell)
        if not owned:
            self._owned.pop(worker_id, None)

    def _mask(self, cell: Cell, worker: workers.WorkerRecord | None) -> int:
        if cell.level != Level.WORKER:
            return cell.mask
        return worker.full_mask if worker is not None else 0

    def _typical_rack(self) -> int:
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


def _numbers(values: abc.Iterable[int]) -> Numbers:
    accelerators, pairs, whole, racks = values
    return accelerators, pairs, whole, racks
