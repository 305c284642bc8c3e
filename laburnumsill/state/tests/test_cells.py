import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.state import cells
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers
from laburnumsill.state.tests import ledger_checks

Cell, Level = cells.Cell, cells.Level


def book(*racks, **owed):
    """A book over racks given as the accelerators of their workers."""
    pool = jobs_pool.Pool()
    found = cells.CellBook(pool)
    for number, sizes in enumerate(racks):
        for place, size in enumerate(sizes):
            name = f"r{number}w{place}"
            announced = ledger_checks.worker(name, f"r{number}", size)
            pool.put(workers.WorkerRecord(announced))
        found.refresh(f"r{number}")
    found.set_guarantees(owed)
    return found


def test_a_cell_is_owed_until_it_is_bound_and_again_afterwards():
    found = book((4, 4), tana=(0, 0, 1, 0))
    cell = Cell(Level.WORKER, "r0", "r0w0")
    found.bind("tana", [cell])
    assert found.demand() == cells.NO_CELLS
    assert found.owned_mask("tana", "r0w0") == 0b1111
    with pytest.raises(cells.GuaranteeError, match="owed no more"):
        found.bind("tana", [Cell(Level.WORKER, "r0", "r0w1")])
    found.unbind("tana", cell)
    assert found.unbound("tana") == (0, 0, 1, 0)
    assert found.bound_mask("r0w0") == 0


def test_a_binding_that_breaks_another_guarantee_is_refused():
    found = book((4, 4), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 2))
    assert found.shortfall() == 1
    found.set_guarantees({"tana": (1, 0, 0, 0), "fingal": (0, 0, 0, 1)})
    assert found.shortfall() == 0
    one = Cell(Level.ACCELERATOR, "r0", "r0w0", 1)
    found.bind("tana", [one])
    assert found.shortfall() == 0
    found.unbind("tana", one)
    found.bind("fingal", [Cell(Level.RACK, "r1")])
    with pytest.raises(cells.GuaranteeError, match="not whole and unbound"):
        found.bind("tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)])


def test_the_last_whole_rack_is_not_broken_for_a_single_one():
    found = book((4,), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 1, 1))
    with pytest.raises(cells.GuaranteeError, match="without whole cells"):
        found.bind("fingal", [Cell(Level.RACK, "r1")])
    assert not found.bound
    assert found.allows("fingal", [Cell(Level.RACK, "r0")])
    found = book((4, 1), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1))
    found.bind("tana", [Cell(Level.ACCELERATOR, "r0", "r0w0", 8)])
    assert found.shortfall() == 0
    found = book((4, 4), (1,), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1))
    big = Cell(Level.RACK, "r0")
    assert found.allows("fingal", [big])
    assert found.allows("tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)])


def test_cells_must_be_aligned_and_inside_their_worker():
    found = book((4,), tana=(4, 4, 1, 0))
    for mask in (0b110, 0b1, 0b110000, 0):
        with pytest.raises(cells.GuaranteeError):
            found.bind("tana", [Cell(Level.PAIR, "r0", "r0w0", mask)])
    with pytest.raises(cells.GuaranteeError):
        found.bind("tana", [Cell(Level.WORKER, "r1", "r0w0")])
    with pytest.raises(cells.GuaranteeError):
        found.bind("tana", [Cell(Level.WORKER, "r0", "nobody")])


@hypothesis.given(strategies.integers(0, 255), strategies.integers(0, 8))
def test_chosen_accelerators_are_free_and_as_many_as_asked_for(free, count):
    if free.bit_count() < count:
        return
    mask = workers.choose_mask(free, count)
    assert mask.bit_count() == count
    assert not mask & ~free
