"""Committing which workers are there, from what the members announce.

A worker that is missing from the view gets no new work at once. It is gone,
and what ran on it is stopped, when it has been missing and silent for a
while.
"""

import dataclasses
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import members as members_module
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages
from laburnumsill.state import workers

GONE_AFTER_S = 2.0
"""How long a worker must be missing from the view, and silent, to be gone.

The view itself waits for the worker's announcements to run out; this only
covers a view that is not whole yet, as after a restart.
"""

BATCH = 256
"""Workers in one command at most."""


class WorkerSync:
    """Compares the view of members with the ledger's workers.

    Attributes:
        contacts: Monotonic point of the last answer of each worker.
    """

    def __init__(
        self,
        domain: str,
        view: members_module.MemberView,
        clock: clocks.Clock,
        contacts: abc.Mapping[str, float],
    ) -> None:
        self._domain = domain
        self._view = view
        self._clock = clock
        self._contacts = contacts
        self._missing_since: dict[str, float] = {}
        self._young_until = clock.monotonic() + GONE_AFTER_S

    def changes(
        self, ledger: jobs.JobLedger
    ) -> jobs_messages.PutWorkers | None:
        """Returns the command that brings the ledger up to date, or None."""
        known = ledger.book.pool.workers
        present = self._view.workers(self._domain)
        seen = {worker.worker_id for worker in present}
        missing = self._missing(seen, known)
        if not seen and self._clock.monotonic() < self._young_until:
            return None
        changed = [
            worker
            for worker in present
            if _is_news(known.get(worker.worker_id), worker)
        ]
        for name in missing:
            announced = known[name].announced
            if not announced.leaving:
                changed.append(dataclasses.replace(announced, leaving=True))
        gone = self._gone(missing)
        if not changed and not gone:
            return None
        return jobs_messages.PutWorkers(
            tuple(changed[:BATCH]), tuple(gone[:BATCH]), self._clock.wall()
        )

    def _missing(
        self,
        seen: abc.Set[str],
        known: abc.Mapping[str, workers.WorkerRecord],
    ) -> list[str]:
        now = self._clock.monotonic()
        missing = [
            name
            for name, record in known.items()
            if name not in seen and not record.gone
        ]
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in missing
        }
        return missing

    def _gone(self, missing: abc.Iterable[str]) -> list[str]:
        now = self._clock.monotonic()
        gone = []
        for name in missing:
            silent_since = max(
                self._missing_since[name], self._contacts.get(name, 0.0)
            )
            if now - silent_since >= GONE_AFTER_S:
                gone.append(name)
        return gone


def _is_news(
    record: workers.WorkerRecord | None, announced: members_module.Worker
) -> bool:
    if record is None:
        return True
    return not record.gone and differs(record.announced, announced)


def differs(
    known: members_module.Worker, announced: members_module.Worker
) -> bool:
    """Returns whether an announcement says more than that it is alive."""
    if known is announced:
        return False
    return (
        not jobs.same_worker(known, announced)
        or known.address != announced.address
        or known.leaving != announced.leaving
    )
