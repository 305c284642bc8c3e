"""Records of what a soak does to its site, and of what its workers begin."""

import collections
import contextlib
import math
from collections import abc

import trio

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles


class Disturbances:
    """Times at which troubles or configurations disturb a site."""

    def __init__(self) -> None:
        self._current = 0
        self._ended_at = -math.inf

    @property
    def last_at(self) -> float:
        """Time of the last disturbance: now while one lasts."""
        return trio.current_time() if self._current else self._ended_at

    @contextlib.contextmanager
    def disturbance(self) -> abc.Iterator[None]:
        """Records a disturbance that lasts as long as the context."""
        self._current += 1
        try:
            yield
        finally:
            self._current -= 1
            self._ended_at = trio.current_time()


class QueuePools:
    """The pools to which configurations send each queue.

    A configuration without a clear answer may or may not be in force, so a
    queue has several pools until a later one is acknowledged.
    """

    def __init__(self) -> None:
        self._pools: dict[str, set[str]] = {}

    def pools_of(self, queue: str) -> abc.Set[str]:
        """Returns the pools that a queue may have now."""
        return self._pools.get(queue, set())

    def record_sent(self, document: dict) -> None:
        """Records a configuration that may be in force from now on."""
        for route in document["routes"]:
            pools = self._pools.setdefault(route["name"], set())
            pools.add(route["service"])

    def record_acknowledged(self, document: dict) -> None:
        """Records a configuration that is in force, and none before it."""
        self._pools.clear()
        self.record_sent(document)


class CountingOracle(oracles.Oracle):
    """An oracle that also counts the runs of each task.

    Attributes:
        runs: Number of runs that have begun, by task.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runs: collections.Counter[model.TaskId] = collections.Counter()

    def check_start(
        self, run: model.RunId, worker: model.Worker, now: float, late: bool
    ) -> None:
        """Counts and checks a run that starts on a worker."""
        self.runs[run.task] += 1
        super().check_start(run, worker, now, late)
