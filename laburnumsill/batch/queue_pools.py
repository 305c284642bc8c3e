"""The pools of queues whose configuration has changed since they took jobs.

A job names the pool of its queue as of its acceptance. Its tasks run in the
pool that the queue has when they are placed. Every replica decides alike which
one that is, so changes reach the ledger as commands of the leader.
"""

import dataclasses
from collections import abc

import msgspec

from laburnumsill.batch import ledger_view
from laburnumsill.batch import model
from laburnumsill.core import codec


@dataclasses.dataclass(frozen=True, slots=True)
class ConfiguredPools:
    """The pools of all queues in one version of the configuration.

    Attributes:
        version: The version.
        by_queue: The pool of each queue, by the name of the queue.
    """

    version: int
    by_queue: abc.Mapping[str, str]


NOT_CONFIGURED = ConfiguredPools(-1, {})
"""The pools before the first configuration."""


@codec.register("batch.move-queues")
class MoveQueues(msgspec.Struct, frozen=True):
    """Sends the waiting tasks of queues to other pools.

    Attributes:
        version: Version of the configuration that names the pools; a command
            with a lower version than an earlier one has no effect.
        pools: The pools, by the names of the queues.
    """

    version: int
    pools: dict[str, str]


@codec.register("batch.queue-pool")
class QueuePool(msgspec.Struct, frozen=True):
    """The pool of a queue, and the version of the configuration with it."""

    version: int
    pool: str


class QueuePools:
    """The pools of the queues that were moved while they had jobs.

    A queue that the configuration drops keeps its last pool for the jobs that
    it has.

    Examples:
        >>> pools = QueuePools()
        >>> terms = model.QueueTerms("old", 0, 1)
        >>> job = model.Job("j", "q", "", "", (), terms)
        >>> pools.pool_of(job)
        'old'
        >>> pools.move(MoveQueues(7, {"q": "new"}))
        >>> pools.move(MoveQueues(6, {"q": "older"}))
        >>> pools.pool_of(job)
        'new'
    """

    def __init__(
        self, records: abc.Mapping[str, QueuePool] | None = None
    ) -> None:
        self._records = dict(records or {})

    @property
    def records(self) -> abc.Mapping[str, QueuePool]:
        """The pools, by the names of the queues, for a snapshot."""
        return self._records

    def pool_of(self, job: model.Job) -> str:
        """Returns the pool whose workers run the tasks of a job."""
        record = self._records.get(job.queue)
        return job.terms.pool if record is None else record.pool

    def move(self, command: MoveQueues) -> None:
        """Applies a command, except to queues with a later version."""
        for queue, pool in command.pools.items():
            known = self._records.get(queue)
            if known is None or known.version <= command.version:
                self._records[queue] = QueuePool(command.version, pool)

    def keep(self, queues: abc.Container[str]) -> None:
        """Removes the queues that are not in `queues`."""
        self._records = {
            queue: record
            for queue, record in self._records.items()
            if queue in queues
        }


def moved_queues(
    ledger: ledger_view.LedgerView,
    jobs: abc.Iterable[model.Job],
    configured: ConfiguredPools,
) -> dict[str, str]:
    """Returns the queues of jobs that have another pool by now, with it.

    Args:
        ledger: Tells the pool in which a job is placed at present.
        jobs: The jobs.
        configured: The pools in the newest configuration.
    """
    moved = {}
    for job in jobs:
        pool = configured.by_queue.get(job.queue)
        if pool is not None and pool != ledger.pool_of(job):
            moved[job.queue] = pool
    return moved
