import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.state import cells
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers
from laburnumsill.state.tests import ledger_checks

Cell, Level = cells.Cell, cells.Level


def new_allocator(*racks, **guarantees):
    """Returns an allocator for racks of workers with given accelerators."""
    pool = jobs_pool.Pool()
    allocator = cells.CellAllocator(pool)
    for number, sizes in enumerate(racks):
        for place, size in enumerate(sizes):
            name = f"r{number}w{place}"
            announced = ledger_checks.worker(name, f"r{number}", size)
            pool.put(workers.WorkerRecord(announced))
        allocator.refresh(f"r{number}")
    allocator.set_guarantees(guarantees)
    return allocator


def test_shortfall_does_not_depend_on_workers_that_have_left():
    """A replica that loaded a snapshot never saw those workers."""
    allocator = new_allocator((4,), (8,), tana=(0, 0, 2, 0))
    allocator._pool.remove("r1w0")
    allocator.remove_worker("r1w0")
    allocator.refresh("r1")
    fresh = new_allocator((4,), tana=(0, 0, 2, 0))
    assert fresh.shortfall() == 4
    assert allocator.shortfall() == fresh.shortfall()


def test_unbinding_makes_a_cell_available_to_its_account_again():
    allocator = new_allocator((4, 4), tana=(0, 0, 1, 0))
    cell = Cell(Level.WORKER, "r0", "r0w0")
    allocator.bind("tana", [cell])
    assert allocator.total_unbound() == cells.NO_CELLS
    assert allocator.owned_mask("tana", "r0w0") == 0b1111
    with pytest.raises(cells.GuaranteeError, match="owed no more"):
        allocator.bind("tana", [Cell(Level.WORKER, "r0", "r0w1")])
    allocator.unbind("tana", cell)
    assert allocator.unbound("tana") == (0, 0, 1, 0)
    assert allocator.bound_mask("r0w0") == 0


def test_a_binding_that_breaks_another_guarantee_is_refused():
    allocator = new_allocator(
        (4, 4), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 2)
    )
    assert allocator.shortfall() == 1
    allocator.set_guarantees({"tana": (1, 0, 0, 0), "fingal": (0, 0, 0, 1)})
    assert allocator.shortfall() == 0
    one = Cell(Level.ACCELERATOR, "r0", "r0w0", 1)
    allocator.bind("tana", [one])
    assert allocator.shortfall() == 0
    allocator.unbind("tana", one)
    allocator.bind("fingal", [Cell(Level.RACK, "r1")])
    with pytest.raises(cells.GuaranteeError, match="not whole and unbound"):
        allocator.bind("tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)])


def test_the_last_whole_rack_is_not_broken_for_a_single_one():
    allocator = new_allocator(
        (4,), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 1, 1)
    )
    with pytest.raises(cells.GuaranteeError, match="without whole cells"):
        allocator.bind("fingal", [Cell(Level.RACK, "r1")])
    assert not allocator.bound
    assert allocator.can_bind("fingal", [Cell(Level.RACK, "r0")])
    allocator = new_allocator(
        (4, 1), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1)
    )
    allocator.bind("tana", [Cell(Level.ACCELERATOR, "r0", "r0w0", 8)])
    assert allocator.shortfall() == 0
    allocator = new_allocator(
        (4, 4), (1,), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1)
    )
    big = Cell(Level.RACK, "r0")
    assert allocator.can_bind("fingal", [big])
    assert allocator.can_bind(
        "tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)]
    )


def test_cells_must_be_aligned_and_inside_their_worker():
    allocator = new_allocator((4,), tana=(4, 4, 1, 0))
    for mask in (0b110, 0b1, 0b110000, 0):
        with pytest.raises(cells.GuaranteeError):
            allocator.bind("tana", [Cell(Level.PAIR, "r0", "r0w0", mask)])
    with pytest.raises(cells.GuaranteeError):
        allocator.bind("tana", [Cell(Level.WORKER, "r1", "r0w0")])
    with pytest.raises(cells.GuaranteeError):
        allocator.bind("tana", [Cell(Level.WORKER, "r0", "nobody")])


@hypothesis.given(strategies.integers(0, 255), strategies.integers(0, 8))
def test_choose_mask_returns_the_requested_number_of_free_accelerators(
    free, count
):
    if free.bit_count() < count:
        return
    mask = workers.choose_mask(free, count)
    assert mask.bit_count() == count
    assert not mask & ~free
