"""The workers that a plan may use for its units.

Free capacity only shrinks while a plan is made. What was counted for an earlier
unit is therefore an upper bound for later ones, and is kept.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity
from laburnumsill.batch import worker_health

ANY_WORKER_AFTER_MS = 6_000
"""Waiting time after which a unit may go to any worker of its pool, also to a
very slow one or one on which it failed, in ms: about the run time of the users'
background tasks."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """The candidates with one pool and one required label.

    Attributes:
        all: All of them.
        not_very_slow: Those that are not very slow.
        mostly_free: False once most of their capacity is known to be in use.
    """

    all: list[worker_capacity.Candidate]
    not_very_slow: list[worker_capacity.Candidate]
    mostly_free: bool = True


class PlanCandidates:
    """The candidates of one plan, by pool and required label.

    Args:
        candidates: The usable workers, by id.
        find_unusable: Returns the other workers that are not draining.
        avoided_workers: Returns the workers that a task should not run on
            again.
        now_ms: Wall time, ms since 1970.
    """

    def __init__(
        self,
        candidates: abc.Mapping[str, worker_capacity.Candidate],
        find_unusable: abc.Callable[
            [], abc.Collection[worker_capacity.Candidate]
        ],
        avoided_workers: abc.Callable[[model.TaskId], abc.Set[str]],
        now_ms: int,
    ) -> None:
        self._candidates = candidates
        self._find_unusable = find_unusable
        self._unusable: abc.Collection[worker_capacity.Candidate] | None = None
        self._avoided_workers = avoided_workers
        self._now_ms = now_ms
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._max_slots: dict[tuple[object, ...], int] = {}

    @property
    def by_id(self) -> abc.Mapping[str, worker_capacity.Candidate]:
        """All candidates, by worker id."""
        return self._candidates

    def all_for(self, unit: units.Unit) -> list[worker_capacity.Candidate]:
        """Returns all candidates in a unit's pool with its required label."""
        return self._pool_of(unit).all

    def known_for(self, unit: units.Unit) -> list[worker_capacity.Candidate]:
        """Returns also the workers on which nothing may be placed now.

        They are unreachable or in quarantine, for example, and their capacity
        may be free.
        """
        if self._unusable is None:
            self._unusable = self._find_unusable()
        return self.all_for(unit) + packing.eligible(unit, self._unusable)

    def eligible(self, unit: units.Unit) -> list[worker_capacity.Candidate]:
        """Returns the candidates for a unit, if possible without poor workers.

        These are very slow workers and those that a task should avoid.
        """
        pool = self._pool_of(unit)
        waited = self._now_ms - unit.waiting_since_ms
        if waited >= ANY_WORKER_AFTER_MS:
            return pool.all  # a poor worker is better than none
        avoided: set[str] = set()
        for task in unit.tasks:
            avoided |= self._avoided_workers(task)
        if not avoided:
            return pool.not_very_slow or pool.all
        others = [
            candidate
            for candidate in pool.all
            if candidate.worker.worker_id not in avoided
        ]
        return _without_very_slow(others) or others or pool.all

    def cannot_fit(self, unit: units.Unit) -> bool:
        """Returns whether the free capacity is certainly too small for a unit.

        The slots counted for the first unit of a kind are the upper bound.
        """
        return self._max_copies(unit, packing.free_now) < 1

    def may_have_room(self, unit: units.Unit, factor: int) -> bool:
        """Returns whether known workers may have room for copies of a unit.

        Args:
            unit: The unit.
            factor: Number of copies.
        """
        return self._max_copies(unit, packing.idle_now, True) >= factor

    def _max_copies(
        self,
        unit: units.Unit,
        available: packing.Available,
        counts_unusable: bool = False,
    ) -> int:
        """Returns an upper bound of the copies of a unit that fit."""
        step = unit.step
        key = (
            unit.pool,
            step.required_label,
            step.needs,
            available,
            counts_unusable,
        )
        if key not in self._max_slots:
            candidates = (
                self.known_for(unit) if counts_unusable else self.all_for(unit)
            )
            self._max_slots[key] = sum(
                step.needs.copies_in(available(candidate))
                for candidate in candidates
            )
        return self._max_slots[key] // unit.smallest_part

    def is_mostly_free(self, unit: units.Unit) -> bool:
        """Returns whether most of a unit's pool is idle."""
        pool = self._pool_of(unit)
        if pool.mostly_free:
            pool.mostly_free = packing.mostly_free(pool.all, packing.idle_now)
        return pool.mostly_free

    def _pool_of(self, unit: units.Unit) -> _Pool:
        key = (unit.pool, unit.step.required_label)
        if key not in self._pools:
            candidates = packing.eligible(unit, self._candidates.values())
            self._pools[key] = _Pool(candidates, _without_very_slow(candidates))
        return self._pools[key]


def _without_very_slow(
    candidates: abc.Iterable[worker_capacity.Candidate],
) -> list[worker_capacity.Candidate]:
    return [
        candidate
        for candidate in candidates
        if candidate.slowness < worker_health.VERY_SLOW_RATIO
    ]
