"""Orders of operators that leave a suspended VM and go elsewhere."""

import pytest

from laburnumsill.emulator.tests import test_site


@pytest.mark.parametrize("seed", range(8))
def test_no_acknowledged_evacuation_is_reverted_by_an_earlier_order(seed):
    """Guards against orders that a VM carries out when it resumes."""
    site = test_site.run(seed, ["reorder"])
    assert site.oracle.broken == []
