import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.state import cells
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers
from laburnumsill.state.tests import ledger_checks

Cell, Level = cells.Cell, cells.Level


def new_book(*racks, **guarantees):
    """Returns a book over racks, each given as its workers' accelerators."""
    pool = jobs_pool.Pool()
    cell_book = cells.CellBook(pool)
    for number, sizes in enumerate(racks):
        for place, size in enumerate(sizes):
            name = f"r{number}w{place}"
            announced = ledger_checks.worker(name, f"r{number}", size)
            pool.put(workers.WorkerRecord(announced))
        cell_book.refresh(f"r{number}")
    cell_book.set_guarantees(guarantees)
    return cell_book


def test_unbinding_makes_a_cell_available_to_its_account_again():
    cell_book = new_book((4, 4), tana=(0, 0, 1, 0))
    cell = Cell(Level.WORKER, "r0", "r0w0")
    cell_book.bind("tana", [cell])
    assert cell_book.demand() == cells.NO_CELLS
    assert cell_book.owned_mask("tana", "r0w0") == 0b1111
    with pytest.raises(cells.GuaranteeError, match="owed no more"):
        cell_book.bind("tana", [Cell(Level.WORKER, "r0", "r0w1")])
    cell_book.unbind("tana", cell)
    assert cell_book.unbound("tana") == (0, 0, 1, 0)
    assert cell_book.bound_mask("r0w0") == 0


def test_a_binding_that_breaks_another_guarantee_is_refused():
    cell_book = new_book((4, 4), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 2))
    assert cell_book.shortfall() == 1
    cell_book.set_guarantees({"tana": (1, 0, 0, 0), "fingal": (0, 0, 0, 1)})
    assert cell_book.shortfall() == 0
    one = Cell(Level.ACCELERATOR, "r0", "r0w0", 1)
    cell_book.bind("tana", [one])
    assert cell_book.shortfall() == 0
    cell_book.unbind("tana", one)
    cell_book.bind("fingal", [Cell(Level.RACK, "r1")])
    with pytest.raises(cells.GuaranteeError, match="not whole and unbound"):
        cell_book.bind("tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)])


def test_the_last_whole_rack_is_not_broken_for_a_single_one():
    cell_book = new_book((4,), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 1, 1))
    with pytest.raises(cells.GuaranteeError, match="without whole cells"):
        cell_book.bind("fingal", [Cell(Level.RACK, "r1")])
    assert not cell_book.bound
    assert cell_book.allows("fingal", [Cell(Level.RACK, "r0")])
    cell_book = new_book((4, 1), (4, 4), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1))
    cell_book.bind("tana", [Cell(Level.ACCELERATOR, "r0", "r0w0", 8)])
    assert cell_book.shortfall() == 0
    cell_book = new_book((4, 4), (1,), tana=(1, 0, 0, 0), fingal=(0, 0, 0, 1))
    big = Cell(Level.RACK, "r0")
    assert cell_book.allows("fingal", [big])
    assert cell_book.allows("tana", [Cell(Level.ACCELERATOR, "r1", "r1w0", 1)])


def test_cells_must_be_aligned_and_inside_their_worker():
    cell_book = new_book((4,), tana=(4, 4, 1, 0))
    for mask in (0b110, 0b1, 0b110000, 0):
        with pytest.raises(cells.GuaranteeError):
            cell_book.bind("tana", [Cell(Level.PAIR, "r0", "r0w0", mask)])
    with pytest.raises(cells.GuaranteeError):
        cell_book.bind("tana", [Cell(Level.WORKER, "r1", "r0w0")])
    with pytest.raises(cells.GuaranteeError):
        cell_book.bind("tana", [Cell(Level.WORKER, "r0", "nobody")])


@hypothesis.given(strategies.integers(0, 255), strategies.integers(0, 8))
def test_choose_mask_returns_the_requested_number_of_free_accelerators(
    free, count
):
    if free.bit_count() < count:
        return
    mask = workers.choose_mask(free, count)
    assert mask.bit_count() == count
    assert not mask & ~free
