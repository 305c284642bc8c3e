"""Log lines and metrics of the planner's decisions."""

from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.jobs import steps
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages

MAX_LOGGED_NAMES = 8
"""Maximum number of worker or job names in one log line."""


def record_step(
    metrics: metrics_module.Metrics,
    book: jobs_book.JobBook,
    step: steps.Step,
    now: float,
) -> None:
    """Logs and counts a committed step."""
    command = step.command
    if isinstance(command, jobs_messages.PlaceJob):
        _record_placement(metrics, book, command, step.why, now)
    elif isinstance(command, jobs_messages.HoldSlots):
        _record_reservation(metrics, book, command, step.why)
    elif isinstance(command, jobs_messages.DropHold):
        logs.decision("hold-dropped", job=command.job_id, why=step.why)


def _record_placement(
    metrics: metrics_module.Metrics,
    book: jobs_book.JobBook,
    command: jobs_messages.PlaceJob,
    why: str,
    now: float,
) -> None:
    job = book.jobs.get(command.job_id)
    if job is None:
        return
    spec = job.spec
    waited = now - job.queued_at
    logs.decision(
        "job-placed",
        job=command.job_id,
        epoch=command.epoch,
        account=spec.account,
        guaranteed=spec.guaranteed,
        tasks=spec.tasks,
        accelerators=spec.accelerators,
        workers=_workers(command.slots),
        of=len(book.pool.workers),
        left=book.pool.free_accelerators,
        queued=len(book.queue),
        waited_s=waited,
        why=why,
    )
    kind = "guaranteed" if spec.guaranteed else "borrowed"
    metrics.count("jobs_placed_total", kind=kind)
    metrics.observe("job_wait_seconds", max(0.0, waited), kind=kind)


def _record_reservation(
    metrics: metrics_module.Metrics,
    book: jobs_book.JobBook,
    command: jobs_messages.HoldSlots,
    why: str,
) -> None:
    job = book.jobs.get(command.job_id)
    account = job.spec.account if job is not None else ""
    logs.decision(
        "reclaim" if command.victims else "slots-held",
        job=command.job_id,
        account=account,
        workers=_workers(command.slots),
        victims=",".join(command.victims[:MAX_LOGGED_NAMES]),
        stopped=len(command.victims),
        of=len(book.live),
        why=why,
    )
    metrics.count("borrowers_stopped_total", len(command.victims), why=str(why))


def set_gauges(
    metrics: metrics_module.Metrics, domain: str, book: jobs_book.JobBook
) -> None:
    """Sets the gauges of a domain."""
    pool = book.pool
    metrics.gauge("accelerators", pool.accelerators, domain=domain)
    metrics.gauge("accelerators_free", pool.free_accelerators, domain=domain)
    metrics.gauge("jobs_queued", len(book.queue), domain=domain)
    metrics.gauge("jobs_live", len(book.live), domain=domain)
    metrics.gauge("guarantee_shortfall", book.cells.shortfall(), domain=domain)


def _workers(slots: tuple[jobs_messages.Slot, ...]) -> str:
    names = list(dict.fromkeys(slot.worker_id for slot in slots))
    more = (
        f",+{len(names) - MAX_LOGGED_NAMES}"
        if len(names) > MAX_LOGGED_NAMES
        else ""
    )
    return ",".join(names[:MAX_LOGGED_NAMES]) + more
