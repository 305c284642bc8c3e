"""Reports of workers, from their bytes to the product's types.

Each row is read by itself: one that makes no sense is logged and counted,
and hides no other one.
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
    # "alone" means that the other members did not come in time.
    "alone": commands.EndKind.INCOMPLETE_GANG,
}

_NUMBER = r"(?:0|[1-9][0-9]{0,8})"
_TASK = re.compile(rf"[^\s.]{{1,64}}(?:\.{_NUMBER}){{3}}")
"""The name of a task; written with other digits it would name another."""

MAX_LOGGED_ROW = 160
"""Characters of an unread row in a log line."""

T = typing.TypeVar("T")


class UnreadRowError(decoding.MalformedBodyError):
    """A row of a report that makes no sense."""

    slug = "unread-row"
    title = "A row of a report makes no sense"


def decode(worker: model.Worker, raw: bytes) -> worker_client.Report:
    """Returns the report that a worker's answer holds.

    Raises:
        decoding.MalformedBodyError: It is no report.
        worker_client.IncarnationReplacedError: It is another one's.
        worker_client.NoAnswerError: It does not say whose it is.
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
    )


def _read(
    worker_id: str,
    rows: abc.Sequence[msgspec.Raw],
    read: abc.Callable[[msgspec.Raw], T],
) -> abc.Iterator[T]:
    """Yields the rows that can be read, and logs the others."""
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
