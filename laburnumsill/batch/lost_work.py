"""Work that runs lose when they end without being done, by cause."""

import enum

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.core import metrics as metrics_module


class Cause(enum.StrEnum):
    """Why a run ended without being done.

    Attributes:
        PREEMPTED: It was stopped for an urgent job.
        STOPPED: It was stopped for another reason, such as a cancellation.
        FAILED: It failed.
        MEMBER_ENDED: Another member of its gang ended.
        INCOMPLETE_GANG: It waited in vain for the other members.
        LEASE_ENDED: Its lease expired.
        WORKER_LOST: Its worker ended.
    """

    PREEMPTED = "preempted"
    STOPPED = "stopped"
    FAILED = "failed"
    MEMBER_ENDED = "member-ended"
    INCOMPLETE_GANG = "incomplete-gang"
    LEASE_ENDED = "lease-ended"
    WORKER_LOST = "worker-lost"


_CAUSES = {
    commands.EndKind.STOPPED: Cause.STOPPED,
    commands.EndKind.FAILED: Cause.FAILED,
    commands.EndKind.MEMBER_ENDED: Cause.MEMBER_ENDED,
    commands.EndKind.INCOMPLETE_GANG: Cause.INCOMPLETE_GANG,
    commands.EndKind.LEASE_ENDED: Cause.LEASE_ENDED,
}


def cause_of(kind: commands.EndKind, preempted: bool) -> Cause | None:
    """Returns the cause of an end, None if the run was done.

    Examples:
        >>> cause_of(commands.EndKind.STOPPED, preempted=True)
        <Cause.PREEMPTED: 'preempted'>
        >>> cause_of(commands.EndKind.DONE, preempted=False)
    """
    if kind is commands.EndKind.STOPPED and preempted:
        return Cause.PREEMPTED
    return _CAUSES.get(kind)


class LostWork:
    """Counts the lost work as a metric.

    The metric `accelerator_seconds_lost_total` counts, by cause and queue, the
    time from the placement of a run to its end, times its accelerators, unless
    its progress was saved at the end.

    Args:
        ledger: The jobs and their live runs.
        metrics: Receives the metric.
    """

    def __init__(
        self, ledger: ledgers.BatchLedger, metrics: metrics_module.Metrics
    ) -> None:
        self._ledger = ledger
        self._metrics = metrics

    def count(
        self, run: model.RunId, cause: Cause, saved: str, now_ms: int
    ) -> None:
        """Counts a live run that ends; runs with saved progress lose nothing.

        Args:
            run: The run.
            cause: Why it ends.
            saved: Its progress saved at the end, "" for none.
            now_ms: Wall time, ms since 1970.
        """
        live = self._ledger.runs.get(run)
        record = self._ledger.jobs.get(run.task.job_id)
        if live is None or record is None or saved:
            return
        accelerators = record.job.steps[run.task.step].needs.accelerators
        ran_s = max(0, now_ms - live.placed_ms) / 1000
        self._metrics.count(
            "accelerator_seconds_lost_total",
            by=ran_s * accelerators,
            cause=cause.value,
            queue=record.job.queue,
        )
