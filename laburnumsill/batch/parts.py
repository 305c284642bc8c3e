"""Optional parts of the scheduler, which settings and configuration turn on.

Each part is ``on``, ``off`` or ``auto`` in the settings. ``auto`` turns it on
where the site's configuration and bounds show the load that the part answers.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import packing
from laburnumsill.batch import policy as policies
from laburnumsill.config import site
from laburnumsill.config import switches


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The switches of the parts; see `batch.policy` for what they do.

    Attributes:
        deferred_preemption: A new leader waits for workers that make a
            preemption needless. ``auto``: there are urgent and other queues.
        leaving_workers: Runs that would be lost with a worker that is about to
            leave are stopped before. ``auto``: there is an urgent queue. Off
            by default: it saves single urgent jobs at the cost of others.
        saved_progress: Stops that lose no work are preferred. ``auto``: the
            bounds tell how long a worker takes to restore progress.
    """

    deferred_preemption: switches.Switch = switches.Switch.AUTO
    saved_progress: switches.Switch = switches.Switch.AUTO
    leaving_workers: switches.Switch = switches.Switch.OFF

    def restrict(
        self,
        policy: policies.Policy,
        queues: abc.Collection[site.Queue],
        restore_ms: int | None,
    ) -> policies.Policy:
        """Returns a policy without the mechanisms of parts that are off.

        Args:
            policy: The mechanisms in use if all parts are on.
            queues: The configured queues.
            restore_ms: Time in which a worker restores saved progress, in ms;
                None if that is not known.
        """
        priorities = {queue.priority for queue in queues}
        has_urgent = packing.URGENT_PRIORITY in priorities
        is_mixed = has_urgent and len(priorities) > 1
        deferral = self.deferred_preemption.resolve(is_mixed)
        saved = self.saved_progress.resolve(restore_ms is not None)
        leaving = self.leaving_workers.resolve(has_urgent)
        return dataclasses.replace(
            policy,
            deferral=policy.deferral and deferral,
            saved_at_stop=policy.saved_at_stop and saved,
            leaving_workers=policy.leaving_workers and leaving,
        )
