"""Calls that must be answered while a soak plays planned work.

Planned work is a SIGTERM, a SIGHUP or a configuration; it may cut no call.
"""

import json
import math
import random
from collections import abc

import trio

from laburnumsill.platform.tests import crowds
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import touches
from laburnumsill.platform.tests.soak import witness as witnesses
from laburnumsill.testing import kept_connections

CALLERS = 5
"""Number of callers that keep a connection to each VM."""

PAUSES_S = (0.005, 0.6)
"""Range of the pause between an answer and the next call; its logarithm is
uniform."""

LATE_SHARE = 0.1
"""Share of the submissions whose last bytes are late."""

LATE_S = 0.4

LATE_BYTES = 5


class KeptCallers:
    """Callers that keep their connections until the process is gone.

    They call the VMs directly: a proxy accepts calls that no daemon has read.
    They submit only jobs that were accepted before, which changes nothing.

    Args:
        site: The site.
        fates: The jobs known to the callers, which grow in number.
    """

    def __init__(
        self, site: sites.SoakSite, fates: abc.Sequence[witnesses.Fate]
    ) -> None:
        self._site = site
        self._fates = fates
        # A generator of its own leaves the other draws of a seed as they were.
        self._random = random.Random(f"{site.seed} kept connections")
        self._crowds = {
            vm: crowds.crowd(
                one.own_outside,
                self._query if one.role == "core" else self._call,
                pause_s=self._pause_s,
                sees_ends=True,
            )
            for vm, one in site.vms.items()
        }

    @property
    def answered(self) -> int:
        """Number of calls with a whole answer."""
        return sum(sum(one.statuses.values()) for one in self._crowds.values())

    @property
    def broken(self) -> list[str]:
        """One line for each call that was lost for no unplanned cause."""
        return [
            _line(lost, vm, self._site.touches)
            for vm, crowd in self._crowds.items()
            for lost in crowd.lost
            if lost.may_have_been_read and not self._is_excused(lost, vm)
        ]

    async def run(self) -> None:
        """Makes calls until cancelled."""
        async with trio.open_nursery() as nursery:
            for crowd in self._crowds.values():
                nursery.start_soon(crowd.run, CALLERS)

    def _is_excused(self, lost: kept_connections.LostCall, vm: str) -> bool:
        """Returns whether an unplanned disruption explains a lost call."""
        disrupted = self._site.touches.disrupted(lost.began_at, lost.ended_at)
        core = self._site.core
        return vm in disrupted or 2 * len(disrupted & {*core}) > len(core)

    def _pause_s(self) -> float:
        shortest, longest = map(math.log, PAUSES_S)
        return math.exp(self._random.uniform(shortest, longest))

    def _query(self, number: int) -> kept_connections.Call:
        del number  # all calls of a core VM are the same
        return kept_connections.Call("GET", "/-/config")

    def _call(self, number: int) -> kept_connections.Call:
        """Returns a query or a repeated submission of an accepted job."""
        accepted = [
            fate
            for fate in self._fates
            if fate.accepted_at is not None and not fate.cancel_sent
        ]
        if not accepted:
            return kept_connections.Call("GET", "/batch/")
        fate = self._random.choice(accepted)
        if number % 2:
            return kept_connections.Call("GET", fate.path)
        body = json.dumps(standin.job_body(fate.job)).encode()
        pieces = (body,)
        if self._random.random() < LATE_SHARE:
            pieces = (body[:-LATE_BYTES], body[-LATE_BYTES:])
        return kept_connections.Call("POST", fate.path, pieces, LATE_S)


def _line(
    lost: kept_connections.LostCall, vm: str, record: touches.Touches
) -> str:
    """Returns the line of a lost call, with the planned work on its VM."""
    how = "reset" if lost.was_reset else "closed"
    work = ", ".join(record.planned_before(vm, lost.ended_at))
    return (
        f"{lost.ended_at:.3f} LOST {lost.path}: no answer from {vm},"
        f" {how} {lost.after_s:.3f} s after the last byte, which came"
        f" {lost.sent_at - lost.began_at:.3f} s after the first,"
        f" {lost.served} answers before, {work}"
    )
