"""The conditions of an emulated site, for the watch on its jobs."""

from collections import abc

import trio

from laburnumsill.batch import ledger as ledgers
from laburnumsill.core import trio_clock
from laburnumsill.emulator import leadership
from laburnumsill.emulator import standing
from laburnumsill.emulator import unreliable_client
from laburnumsill.emulator import workers as worker_module


class SiteConditions:
    """Observes the conditions of an emulated site.

    Args:
        groups: The leadership of the group.
        client: The client of both schedulers.
        pool: The workers.
        ledger: The state machine of the group.
        clock: The clock of the schedulers.
        silent: Ids of workers that send no heartbeats.
        configuration: Returns the configuration in force.
        terms: What counts as a disturbance.
    """

    def __init__(
        self,
        groups: leadership.Leadership,
        client: unreliable_client.UnreliableClient,
        pool: worker_module.WorkerPool,
        ledger: ledgers.BatchLedger,
        clock: trio_clock.TrioClock,
        silent: abc.Set[str],
        configuration: abc.Callable[[], abc.Hashable],
        terms: standing.Terms,
    ) -> None:
        self._groups = groups
        self._client = client
        self._pool = pool
        self._ledger = ledger
        self._clock = clock
        self._silent = silent
        self._configuration = configuration
        self._terms = terms

    def observe(self) -> standing.Conditions:
        """Returns the present conditions."""
        up = [one for one in self._pool.workers.values() if not one.gone]
        return standing.Conditions(
            trio.current_time(),
            self._clock.wall_ms(),
            tuple(one.worker for one in up),
            frozenset(self._ledger.evacuated_domains),
            self._is_disturbed(up),
            (
                self._groups.current_term,
                self._configuration(),
                # Also tells of workers that ended between two observations.
                len(self._pool.workers),
            ),
        )

    def _is_disturbed(
        self, up: abc.Sequence[worker_module.EmulatedWorker]
    ) -> bool:
        client, groups = self._client, self._groups
        return (
            not groups.leader
            or groups.is_any_suspended
            or client.late_share > 0
            or (client.lost_share > 0 and self._terms.lost_answers_disturb)
            or any(one.behaviour.is_faulty for one in up)
            or not self._unreachable().isdisjoint(
                one.worker.worker_id for one in up
            )
        )

    def _unreachable(self) -> set[str]:
        """Returns the ids of all workers that a VM does not reach or hear."""
        return self._client.cut.union(
            self._client.gone, self._silent, *self._groups.unreachable.values()
        )
