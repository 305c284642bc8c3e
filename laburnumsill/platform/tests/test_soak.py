"""A short soak of real daemons; docs/OPERATIONS.md tells of long ones."""

import pathlib

import pytest

from laburnumsill.platform.tests.soak import main as soaks

SHORT_S = 6.0
SHORT_SEED = 20261202

BROKEN_ONCE: dict[int, str] = {}
"""Seeds that ever broke a promise, each with its cause."""


@pytest.mark.parametrize("seed", [SHORT_SEED, *BROKEN_ONCE])
async def test_no_promise_is_broken(tmp_path: pathlib.Path, seed: int):
    verdict = await soaks.soak(seed, SHORT_S, tmp_path)
    assert verdict.broken == [], verdict.line()
    assert verdict.kinds
    assert verdict.completed
