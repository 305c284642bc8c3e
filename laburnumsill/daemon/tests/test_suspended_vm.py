"""Validity of a VM's configuration lease after a suspension of the VM."""

import time

import trio

from laburnumsill.config import site
from laburnumsill.core import clock as clocks
from laburnumsill.daemon import configuration_lease
from laburnumsill.daemon import configuration_sharing
from laburnumsill.state import highest_version

REVOKED_MS = 5_000


class AnsweringOnce(configuration_sharing.Source):
    """Source that confirms the configuration once and then never answers."""

    def __init__(self):
        self._held = highest_version.HighestVersion()
        self._held.put(
            highest_version.PutDocument(1, highest_version.pack(b"1"))
        )
        self._questions = 0

    async def ask(self, query, deadline):
        self._questions += 1
        if self._questions > 2:
            await trio.sleep_forever()
        part = self._held.part(query)
        return configuration_sharing.Confirmed(part, part.version, 0.0)


async def test_a_suspended_entry_does_not_use_keys_beyond_their_lease(
    monkeypatch,
):
    """A key may have been revoked while the VM was suspended."""
    lease = configuration_lease.ConfigurationLease(
        AnsweringOnce(),
        lambda raw: site.SiteConfiguration(int(raw), (), (), ()),
        REVOKED_MS,
        clocks.SystemClock(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.run)
        with trio.fail_after(5):
            while lease.current is None:  # noqa: ASYNC110
                await trio.sleep(0.01)
        steady, boot = time.monotonic(), time.clock_gettime
        monkeypatch.setattr(time, "monotonic", lambda: steady)
        monkeypatch.setattr(
            time, "clock_gettime", lambda clock: boot(clock) + REVOKED_MS / 1000
        )
        assert lease.current is None
        assert not lease.fresh
        nursery.cancel_scope.cancel()
