"""Random sites."""

import pytest

from laburnumsill.batch import model
from laburnumsill.emulator import days
from laburnumsill.emulator import drawn
from laburnumsill.emulator import load as loads
from laburnumsill.emulator import main

SEEDS = range(40)


def scarcest(kind: loads.Kind, capacity: model.Resources) -> str:
    shares = {
        "cores": kind.cpu_millis / capacity.cpu_millis,
        "memory": kind.memory_mb / capacity.memory_mb,
    }
    return max(shares, key=lambda name: shares[name])


@pytest.mark.parametrize("seed", SEEDS)
def test_each_task_fits_on_a_worker(seed):
    shape = drawn.site(seed)
    for kind in shape.kinds:
        for accelerators in kind.accelerators:
            needs = model.Resources(
                kind.cpu_millis, kind.memory_mb, accelerators
            )
            assert needs.fits_in(shape.capacity)


def test_sites_differ_in_scarce_resource_and_size():
    shapes = [drawn.site(seed) for seed in SEEDS]
    assert {scarcest(shape.kinds[0], shape.capacity) for shape in shapes} == {
        "cores",
        "memory",
    }
    sizes = {shape.racks * shape.per_rack for shape in shapes}
    assert min(sizes) < 30 < 50 < max(sizes)
    assert min(s.stop_grace_s for s in shapes) < 0.4
    assert max(s.stop_grace_s for s in shapes) > 1.0


def test_a_seed_repeats_its_day():
    shape = drawn.site(5)
    results = [days.run(days.Day(shape, 1, 0.1)) for _ in range(2)]
    assert results[0].earned == results[1].earned
    assert results[0].broken == []


def test_command_line_runs_a_drawn_site(capsys):
    main.Emulator().days(
        count=1, site="drawn", site_seed=5, load=0.1, output="json"
    )
    assert '"broken": 0' in capsys.readouterr().out


def test_memory_is_scarce_on_the_site_further():
    renewal = loads.FURTHER.kinds[0]
    assert 2 * renewal.memory_mb > loads.FURTHER.capacity.memory_mb
    assert renewal.cpu_millis * 2 < loads.FURTHER.capacity.cpu_millis
