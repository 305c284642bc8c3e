"""Choice of the runs that are stopped because their worker is about to leave.

Answers workers that are reclaimed at a notice of seconds. They end without a
sign, so their tasks can run elsewhere only when their leases have expired; an
urgent job is worthless by then. A stop takes a fraction of a second, and saves
the progress of runs that can save it.
"""

from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing

LATEST_STOP_MARGIN_MS = 800
"""Time before a worker may leave by which a stop has to take effect, in ms: the
interval of the plans, and the way of the order and of the end."""


def must_stop(
    step: model.Step,
    priority: int,
    run_left_ms: float,
    worker_left_ms: float,
    stop_grace_ms: int,
) -> bool:
    """Returns whether a run should be stopped before its worker leaves.

    A run that is expected to end in time goes on. So does a background run
    that saves nothing: a stop would certainly lose its work, while the worker
    may stay for longer than it has to.

    Args:
        step: The step of the run.
        priority: Priority of its job.
        run_left_ms: Expected time until the run is done, in ms.
        worker_left_ms: Time for which the worker certainly stays, in ms;
            negative once it may leave at any moment.
        stop_grace_ms: Time within which a run ends after a stop order, in ms.
    """
    if step.long_running or run_left_ms <= worker_left_ms:
        return False
    if step.saves_progress:
        return worker_left_ms <= stop_grace_ms + LATEST_STOP_MARGIN_MS
    return priority == packing.URGENT_PRIORITY


def runs_to_stop(
    ledger: ledgers.BatchLedger,
    worker_left_ms: abc.Mapping[str, float],
    run_ms: abc.Callable[[model.TaskId, str], float],
    now_ms: int,
    stop_grace_ms: int,
) -> list[model.RunId]:
    """Returns the runs to stop on leaving workers; of a gang, all of its runs.

    Args:
        ledger: The jobs and their live runs.
        worker_left_ms: Time for which each leaving worker certainly stays, in
            ms, by worker id.
        run_ms: Returns the expected run time of a task on a worker, in ms.
        now_ms: Wall time, ms since 1970.
        stop_grace_ms: Time within which a run ends after a stop order, in ms.
    """
    chosen: dict[model.RunId, None] = {}
    for worker_id, left_ms in worker_left_ms.items():
        for record in ledger.runs_on(worker_id).values():
            task = record.run.task
            job_record = ledger.jobs.get(task.job_id)
            if job_record is None:
                continue
            step = job_record.job.steps[task.step]
            run_left_ms = record.placed_ms + run_ms(task, worker_id) - now_ms
            priority = job_record.job.terms.priority
            if not must_stop(
                step, priority, run_left_ms, left_ms, stop_grace_ms
            ):
                continue
            members = ledger.runs_by_step[task.step_key] if step.gang else ()
            chosen.update(dict.fromkeys(members or (record.run,)))
    return list(chosen)
