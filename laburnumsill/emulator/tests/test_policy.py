"""No invariant depends on any one mechanism of the planner."""

import pytest

from laburnumsill.batch import policy as policies
from laburnumsill.emulator import days
from laburnumsill.emulator import main as emulator_main
from laburnumsill.emulator import troubles

SEED = 3


@pytest.mark.parametrize("name", policies.MECHANISMS)
def test_day_without_a_mechanism_violates_no_invariant(name):
    day = days.Day(
        days.SHAPES["further"],
        SEED,
        kinds=tuple(troubles.KINDS),
        policy=policies.without([name]),
    )
    result = days.run(day)
    assert result.broken == []
    assert result.states.get("completed")


def test_unknown_mechanism_is_refused(capsys):
    with pytest.raises(SystemExit) as ended:
        emulator_main.Emulator().day(without="luck")
    assert ended.value.code == emulator_main.BAD_ARGUMENT
    assert "no mechanism 'luck'; there are headroom," in capsys.readouterr().err
