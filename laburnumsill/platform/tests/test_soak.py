"""A short soak of real daemons; docs/OPERATIONS.md tells of long ones."""

import pathlib

import pytest

from laburnumsill.platform.tests.soak import main as soaks

SHORT_S = 6.0
SHORT_SEED = 20261202

OPEN = "open: all of one run by hand were without progress for 45 s"
BROKEN_ONCE = {
    2: "the soak forgot calls that its own end had cut off",
    17: OPEN,
    18: OPEN,
    19: OPEN,
    20: "the soak took a second disk before the first was replaced; and "
    + OPEN,
}
"""Seeds that ever broke a promise, each with its cause; see also
docs/FINDINGS.md."""


@pytest.mark.parametrize("seed", [SHORT_SEED, *BROKEN_ONCE])
async def test_no_promise_is_broken(tmp_path: pathlib.Path, seed: int):
    verdict = await soaks.soak(seed, SHORT_S, tmp_path)
    assert verdict.broken == [], verdict.line()
    assert verdict.kinds
    assert verdict.completed
