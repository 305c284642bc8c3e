"""Fixtures of the tests of the roles."""

import pytest

from laburnumsill.platform.tests import role_site


@pytest.fixture
async def site(tmp_path, nursery):
    """A site of three core VMs, an entry and two workers.

    Fails the test if the oracle recorded a broken rule.
    """
    made = role_site.Site(tmp_path, nursery)
    await made.start()
    yield made
    assert made.oracle.broken == []
    await made.callers.aclose()
    await made.operator.aclose()
    nursery.cancel_scope.cancel()
