"""Runs that are useless: of ended jobs, of done tasks, of incomplete gangs."""

from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import records


def obsolete_runs(
    ledger: ledgers.BatchLedger,
) -> abc.Iterator[tuple[model.RunId, str]]:
    """Yields the live runs that are to be stopped, each with a reason."""
    for key, runs in ledger.runs_by_step.items():
        yield from _obsolete_runs_of_step(ledger.jobs.get(key[0]), key, runs)


def _obsolete_runs_of_step(
    record: records.JobRecord | None,
    key: model.StepKey,
    runs: abc.Iterable[model.RunId],
) -> abc.Iterator[tuple[model.RunId, str]]:
    reason = ""
    if record is None:
        reason = "its job is not known"
    elif not record.active:
        reason = f"its job is {record.state}"
    elif record.job.steps[key[2]].gang and not _is_complete(record, key, runs):
        reason = "its gang is incomplete"
    elif not record.has_done_tasks(key):
        return
    for run in runs:
        completing = record.completing_run(run.task) if record else 0
        if completing:
            if completing != run.number:
                yield run, "its task is done"
        elif reason:
            yield run, reason


def _is_complete(
    record: records.JobRecord,
    key: model.StepKey,
    runs: abc.Iterable[model.RunId],
) -> bool:
    """Returns whether all members of a gang are live with one run number."""
    numbers = [run.number for run in runs]
    tasks = record.job.steps[key[2]].tasks
    return len(numbers) >= tasks and len(set(numbers)) == 1
