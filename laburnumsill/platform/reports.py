"""Decoder for the reports of workers.

Rows are decoded independently: an invalid row is logged and counted, and the
others are still used.
"""

import re
import typing
from collections import abc

import msgspec

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import logs
from laburnumsill.platform import decoding
from laburnumsill.platform import incarnations
from laburnumsill.platform import wire

_END_KINDS = {
    "done": commands.EndKind.DONE,
    "failed": commands.EndKind.FAILED,
    "stopped": commands.EndKind.STOPPED,
    "lapsed": commands.EndKind.LEASE_ENDED,
    # "broken" means that another member of the gang ended, not a fault.
    "broken": commands.EndKind.MEMBER_ENDED,
    # "alone" means that the other members of the gang did not start in time.
    "alone": commands.EndKind.INCOMPLETE_GANG,
}

_NUMBER = r"(?:0|[1-9][0-9]{0,8})"
_TASK = re.compile(rf"[^\s.]{{1,64}}(?:\.{_NUMBER}){{3}}")
"""Name of a task. Leading zeros are rejected, so that each task has exactly one
name."""

MAX_LISTED_ENDS = 500
"""Most ends that a worker lists in one report, defined by the platform
protocol."""

MAX_LOGGED_ROW = 160
"""Number of characters of an invalid row that are logged."""

T = typing.TypeVar("T")


class UnreadRowError(decoding.MalformedBodyError):
    """A row of a report that cannot be decoded."""

    slug = "unread-row"
    title = "A row of a report makes no sense"


def decode(
    worker: model.Worker, raw: bytes, acknowledged: bool = True
) -> worker_client.Report:
    """Decodes the report in a worker's answer.

    Args:
        worker: The incarnation that was queried.
        raw: The body of the answer.
        acknowledged: Whether the query acknowledged recorded ends.

    Raises:
        decoding.MalformedBodyError: The answer is not a report.
        worker_client.IncarnationReplacedError: Another incarnation of the
            worker answered.
        worker_client.NoAnswerError: The report does not identify the
            incarnation.
    """
    answer = decoding.parse(raw, wire.ReportAnswer)
    incarnations.check_reporter(worker, answer.born)
    running = tuple(_read(worker.worker_id, answer.running, _running))
    ended = tuple(_read(worker.worker_id, answer.ended, _ended))
    return worker_client.Report(
        answer.clock_ms,
        running,
        ended,
        len(answer.running) - len(running),
        len(answer.ended) - len(ended),
        len(answer.ended) >= MAX_LISTED_ENDS,
        acknowledged,
    )


def _read(
    worker_id: str,
    rows: abc.Sequence[msgspec.Raw],
    read: abc.Callable[[msgspec.Raw], T],
) -> abc.Iterator[T]:
    """Yields the rows that can be decoded, and logs the others."""
    for row in rows:
        try:
            yield read(row)
        except decoding.MalformedBodyError as error:
            logs.event(
                "report-row-unread",
                "WARNING",
                worker=worker_id,
                row=bytes(row).decode(errors="replace")[:MAX_LOGGED_ROW],
                reason=error.detail,
            )


def _running(raw: msgspec.Raw) -> worker_client.RunningRun:
    row = decoding.parse(bytes(raw), wire.RunningRow)
    run = _run(row.task, row.run)
    return worker_client.RunningRun(run, row.saved, int(row.percent))


def _ended(raw: msgspec.Raw) -> commands.EndedRun:
    row = decoding.parse(bytes(raw), wire.EndedRow)
    kind = _END_KINDS.get(row.how)
    if kind is None:
        raise UnreadRowError(f"it ended {row.how!r:.40}")
    return commands.EndedRun(row.seq, _run(row.task, row.run), kind, row.saved)


def _run(task: str, number: int) -> model.RunId:
    if not _TASK.fullmatch(task):
        raise UnreadRowError(f"no task is named {task!r:.80}")
    return model.RunId(model.TaskId.parse(task), number)
