"""Validation of placements when they are applied to the ledger."""

from laburnumsill.batch import commands
from laburnumsill.batch import ledger_view
from laburnumsill.batch import model


def placement_refusal(
    ledger: ledger_view.LedgerView, group: commands.Group, semantics: int
) -> str:
    """Returns why a group may not be placed, "" if it may.

    The planner's state may be a few commands behind the log, so its decisions
    are validated again when they are applied in the order of the log.

    Args:
        ledger: The ledger.
        group: The group.
        semantics: Semantics of the command, see `commands.SEMANTICS`.
    """
    for placement in group:
        refusal = _task_refusal(
            ledger, placement, semantics
        ) or _worker_refusal(ledger, placement)
        if refusal:
            return refusal
    return _gang_refusal(ledger, group) or _capacity_refusal(ledger, group)


def _task_refusal(
    ledger: ledger_view.LedgerView,
    placement: commands.Placement,
    semantics: int,
) -> str:
    task = placement.run.task
    job = ledger.jobs.get(task.job_id)
    if job is None or not job.active:
        return f"job {task.job_id} has ended"
    record = job.task(task)
    if record is None:
        return f"no task {task}"
    completing = record.done_run
    if semantics >= commands.RESTARTS_LONG_RUNNING:
        completing = job.completing_run(task)
    if completing:
        return f"{task} is done"
    if ledger.live_run(task) is not None:
        return f"{task} has a live run"
    if placement.run.number <= record.last_run:
        return f"{task} already had run {record.last_run}"
    if not job.ready(task.occurrence, task.step):
        return f"{task} depends on a step that is not done"
    return ""


def _worker_refusal(
    ledger: ledger_view.LedgerView, placement: commands.Placement
) -> str:
    worker = ledger.workers.get(placement.worker_id)
    if worker is None:
        return f"no worker {placement.worker_id}"
    if worker.draining:
        return f"{worker.worker_id} is draining"
    if ledger.is_evacuated(worker.domain):
        return f"failure domain {worker.domain} is evacuated"
    job = ledger.jobs[placement.run.task.job_id].job
    step = job.steps[placement.run.task.step]
    if worker.pool != ledger.pool_of(job):
        return f"{worker.worker_id} belongs to pool {worker.pool}"
    if step.required_label and step.required_label not in worker.labels:
        return f"{worker.worker_id} lacks the label {step.required_label}"
    return ""


def _gang_refusal(ledger: ledger_view.LedgerView, group: commands.Group) -> str:
    """Returns a refusal unless gangs are complete and share a run number."""
    steps: dict[model.StepKey, list[model.RunId]] = {}
    for placement in group:
        key = placement.run.task.step_key
        steps.setdefault(key, []).append(placement.run)
    for (job_id, _, number), runs in steps.items():
        step = ledger.jobs[job_id].job.steps[number]
        if not step.gang:
            continue
        members = {run.task.index for run in runs}
        if len(members) != step.tasks or len(runs) != step.tasks:
            return f"{len(runs)} of a gang of {step.tasks}"
        if len({run.number for run in runs}) != 1:
            return "runs of a gang have different numbers"
    return ""


def _capacity_refusal(
    ledger: ledger_view.LedgerView, group: commands.Group
) -> str:
    free: dict[str, model.Resources] = {}
    counts: dict[tuple[str, model.StepKey], int] = {}
    for placement in group:
        worker_id = placement.worker_id
        task = placement.run.task
        step = ledger.jobs[task.job_id].job.steps[task.step]
        free_here = free.get(worker_id) or ledger.free_on(worker_id)
        if not step.needs.fits_in(free_here):
            return f"not enough free capacity for {task} on {worker_id}"
        free[worker_id] = free_here - step.needs
        key = (worker_id, task.step_key)
        if key not in counts:
            counts[key] = count_runs(ledger, worker_id, task)
        counts[key] += 1
        if step.max_per_worker and counts[key] > step.max_per_worker:
            return f"more than {step.max_per_worker} tasks on {worker_id}"
    return ""


def count_runs(
    ledger: ledger_view.LedgerView, worker_id: str, task: model.TaskId
) -> int:
    """Returns the number of live runs of a task's step on a worker."""
    return sum(
        run.task.step_key == task.step_key for run in ledger.runs_on(worker_id)
    )
