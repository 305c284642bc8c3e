"""Reconciliation of the ledger's workers with the member view.

A worker that is missing from the view is marked as leaving at once, so that
it gets no new tasks. After `REMOVAL_DELAY_S` without contact it is removed
and its tasks are stopped.
"""

import dataclasses
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import members as members_module
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages
from laburnumsill.state import workers

REMOVAL_DELAY_S = 2.0
"""Time without contact after which a missing worker is removed, in seconds.

The view itself keeps a worker until its announcements expire; this delay only
covers a view that is still incomplete, such as after a restart.
"""

MAX_WORKERS_PER_COMMAND = 256
"""Maximum number of workers in each list of one command."""


class WorkerSync:
    """Compares the member view with the ledger's workers.

    Args:
        domain: The failure domain.
        view: The member view.
        clock: The clock.
        contacts: Monotonic time of the last contact with each worker.
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
        self._startup_grace_until = clock.monotonic() + REMOVAL_DELAY_S

    def changes(
        self, ledger: jobs.JobLedger
    ) -> jobs_messages.PutWorkers | None:
        """Returns the command that updates the ledger's workers, or None."""
        known = ledger.book.pool.workers
        present = self._view.workers(self._domain)
        seen = {worker.worker_id for worker in present}
        missing = self._missing(seen, known)
        if not seen and self._clock.monotonic() < self._startup_grace_until:
            return None
        changed = [
            worker
            for worker in present
            if _needs_update(known.get(worker.worker_id), worker)
        ]
        for name in missing:
            announced = known[name].announced
            if not announced.leaving:
                changed.append(dataclasses.replace(announced, leaving=True))
        gone = self._gone(missing)
        if not changed and not gone:
            return None
        return jobs_messages.PutWorkers(
            tuple(changed[:MAX_WORKERS_PER_COMMAND]),
            tuple(gone[:MAX_WORKERS_PER_COMMAND]),
            self._clock.wall(),
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
            if now - silent_since >= REMOVAL_DELAY_S:
                gone.append(name)
        return gone


def _needs_update(
    record: workers.WorkerRecord | None, announced: members_module.Worker
) -> bool:
    if record is None:
        return True
    return not record.gone and has_changed(record.announced, announced)


def has_changed(
    known: members_module.Worker, announced: members_module.Worker
) -> bool:
    """Returns whether an announcement changes more than liveness."""
    if known is announced:
        return False
    return (
        not jobs.same_worker(known, announced)
        or known.address != announced.address
        or known.leaving != announced.leaving
    )
