"""The queued jobs by account, grouped by the shape of their demand.

Jobs of one shape need the same slots: if the first of them cannot be placed,
no other job of that shape can, so a scheduling pass visits each shape of an
account once instead of each job.
"""

import collections
from collections import abc

import sortedcontainers

from laburnumsill.state import placements

Shape = tuple[int, int, int, int, str]
"""Number of tasks; accelerators, cores and memory of a task; adjacency."""

LARGE_JOB_ACCELERATORS = 8
"""Accelerators from which a borrowing job counts as large: it seldom fits
into the free slots, so that slots are reserved for it."""

SortKey = tuple[bool, int, str]
"""Sort key of queued jobs: not urgent, sequence of submission, job id."""


def shape_of(job: placements.Job) -> Shape:
    """Returns the shape of a job's demand, without its run time."""
    spec = job.spec
    return (
        spec.tasks,
        spec.accelerators,
        spec.cores,
        spec.memory_gb,
        spec.adjacency,
    )


def sort_key(job: placements.Job) -> SortKey:
    """Returns a job's sort key among the jobs of its shape."""
    return not job.spec.urgent, job.sequence, job.job_id


def is_large(job: placements.Job) -> bool:
    """Returns whether a job is a large borrowing job."""
    spec = job.spec
    return (
        not spec.guaranteed
        and spec.total_accelerators >= LARGE_JOB_ACCELERATORS
    )


class Line:
    """The queue of one account's guaranteed or of its borrowing jobs."""

    def __init__(self) -> None:
        self._shapes: dict[Shape, sortedcontainers.SortedList] = {}
        self._heads = sortedcontainers.SortedList()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, job: placements.Job) -> None:
        """Adds a job."""
        shape = shape_of(job)
        group = self._shapes.get(shape)
        if group is None:
            group = self._shapes[shape] = sortedcontainers.SortedList()
        else:
            self._heads.remove((group[0], shape))
        group.add(sort_key(job))
        self._heads.add((group[0], shape))
        self._length += 1

    def remove(self, job: placements.Job) -> None:
        """Removes a job.

        Raises:
            ValueError: The job is not in this queue.
        """
        shape = shape_of(job)
        group = self._shapes[shape]
        self._heads.remove((group[0], shape))
        group.remove(sort_key(job))
        if group:
            self._heads.add((group[0], shape))
        else:
            del self._shapes[shape]
        self._length -= 1

    @property
    def shapes(self) -> abc.KeysView[Shape]:
        """The shapes of the jobs in this queue."""
        return self._shapes.keys()

    def first(self, shape: Shape) -> str | None:
        """Returns the id of the first job of a shape, or None."""
        group = self._shapes.get(shape)
        return group[0][2] if group else None

    def heads(self) -> abc.Iterator[tuple[Shape, str]]:
        """Yields each shape with its first job's id, ordered by that job."""
        for order, shape in self._heads:
            yield shape, order[2]


class Queue:
    """All account queues of a domain."""

    def __init__(self) -> None:
        self._account_queues: dict[tuple[bool, str], Line] = {}
        self._length = 0
        self._accelerators = 0
        self._cores = 0
        self._borrowing: collections.Counter[Shape] = collections.Counter()
        self._large = sortedcontainers.SortedList()
        self._small = sortedcontainers.SortedList()

    def __len__(self) -> int:
        return self._length

    @property
    def accelerators(self) -> int:
        """The accelerators that all queued jobs request."""
        return self._accelerators

    @property
    def cores(self) -> int:
        """The cores that all queued jobs request."""
        return self._cores

    def add(self, job: placements.Job) -> None:
        """Adds a job to its account queue."""
        key = job.spec.guaranteed, job.spec.account
        self._account_queues.setdefault(key, Line()).add(job)
        if not job.spec.guaranteed:
            self._borrowing[shape_of(job)] += 1
            self._by_size(job).add((job.sequence, job.job_id))
        self._count(job, 1)

    def remove(self, job: placements.Job) -> None:
        """Removes a job from its account queue."""
        key = job.spec.guaranteed, job.spec.account
        line = self._account_queues[key]
        line.remove(job)
        if not line:
            del self._account_queues[key]
        if not job.spec.guaranteed:
            shape = shape_of(job)
            self._borrowing[shape] -= 1
            if not self._borrowing[shape]:
                del self._borrowing[shape]
            self._by_size(job).remove((job.sequence, job.job_id))
        self._count(job, -1)

    def borrowing_shapes(self) -> abc.KeysView[Shape]:
        """Returns the shapes of all queued borrowing jobs."""
        return self._borrowing.keys()

    def large(self) -> abc.Iterator[str]:
        """Yields the ids of queued large borrowing jobs, the oldest first."""
        for _, job_id in self._large:
            yield job_id

    def oldest_small(self) -> str | None:
        """Returns the id of the oldest queued small borrowing job, or None."""
        return self._small[0][1] if self._small else None

    def accounts(self, guaranteed: bool) -> list[str]:
        """Returns the accounts with queued guaranteed or borrowing jobs."""
        return [
            name for kind, name in self._account_queues if kind == guaranteed
        ]

    def line(self, guaranteed: bool, account: str) -> Line | None:
        """Returns an account queue, or None if it is empty."""
        return self._account_queues.get((guaranteed, account))

    def length(self, account: str) -> int:
        """Returns the number of an account's queued jobs."""
        lines = (
            self._account_queues.get((kind, account)) for kind in (True, False)
        )
        return sum(len(line) for line in lines if line is not None)

    def _by_size(self, job: placements.Job) -> sortedcontainers.SortedList:
        return self._large if is_large(job) else self._small

    def _count(self, job: placements.Job, sign: int) -> None:
        self._length += sign
        self._accelerators += sign * job.spec.total_accelerators
        self._cores += sign * job.spec.tasks * job.spec.cores
