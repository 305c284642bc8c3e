"""Tests that an invalid row of a report does not affect the other rows."""

import json

import httpcore
import hypothesis
import hypothesis.strategies as st
import loguru
import msgspec
import pytest
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import codec
from laburnumsill.core import trio_clock
from laburnumsill.platform import reports
from laburnumsill.platform import workers
from laburnumsill.platform.tests import test_announcements

JOB = "5c0e7a21d94b36f8"
RUN = model.RunId(model.TaskId(JOB, 0, 1, 17), 2)
ENDED = model.RunId(model.TaskId(JOB, 0, 1, 9), 1)
RUNNING_ROW = [f"{JOB}.0.1.17", 2, "00000bb87a21d94b", 41]
ENDED_ROW = [58, f"{JOB}.0.1.9", 1, "done", ""]
WORKER = model.Worker("i-1", "p", "127.0.0.1:1", "d", model.Resources())

BAD_RUNNING_ROWS = [
    [],
    RUNNING_ROW[:3],
    [JOB, 2, "", 41],
    [f"{JOB}.0.1.-1", 2, "", 41],
    [f"{JOB}.0.1.1_0", 2, "", 41],
    [f"{JOB}.0.1.007", 2, "", 41],
    [f"{JOB}.0.1.17", "2", "", 41],
    [f"{JOB}.0.1.17", 0, "", 41],
    [f"{JOB}.0.1.17", True, "", 41],
    [f"{JOB}.0.1.17", 2.5, "", 41],
    [f"{JOB}.0.1.17", 10**30, "", 41],
    [f"{JOB}.0.1.17", 2, None, 41],
    [f"{JOB}.0.1.17", 2, "", "41"],
    [f"{JOB}.0.1.17", 2, "", None],
    {"task": f"{JOB}.0.1.17"},
    None,
    "row",
]
BAD_ENDED_ROWS = [
    [],
    ENDED_ROW[:3],
    [0, f"{JOB}.0.1.9", 1, "done", ""],
    [-1, f"{JOB}.0.1.9", 1, "done", ""],
    ["58", f"{JOB}.0.1.9", 1, "done", ""],
    [10**30, f"{JOB}.0.1.9", 1, "done", ""],
    [58, f"{JOB}.0.1", 1, "done", ""],
    [58, f"{JOB}.0.-1.9", 1, "done", ""],
    [58, f"{JOB}.0.1.9", None, "done", ""],
    [58, f"{JOB}.0.1.9", 1, "finished", ""],
    [58, f"{JOB}.0.1.9", 1, ["done"], ""],
    [58, f"{JOB}.0.1.9", 1, "done", 7],
    7,
]


class Pools:
    """Answers each request with the same status and body."""

    def __init__(self, status, raw):
        self._response = httpcore.Response(status, content=raw)

    async def pinned(self, *_):
        return None

    async def request(self, *_):
        self._response.read()
        return self._response


def ask(raw, lines, status=200):
    """Returns the report that the client decodes from a worker's answer."""
    client = workers.PlatformWorkerClient(trio_clock.TrioClock())
    client._pools = Pools(status, raw)
    order = worker_client.ReportOrder(None, 1, 0, 0)
    sink = loguru.logger.add(lines.append, level="WARNING")
    try:
        return trio.run(client.report, WORKER, order, 1.0)
    finally:
        loguru.logger.remove(sink)


def answer(**changes):
    body = {
        "clock_ms": 482113,
        "running": [RUNNING_ROW],
        "ended": [ENDED_ROW],
        **changes,
    }
    return json.dumps(body).encode()


def test_a_report_is_decoded():
    lines = []
    longer = [*RUNNING_ROW, 250]
    report = ask(answer(running=[longer]), lines)
    assert report.running == (
        worker_client.RunningRun(RUN, "00000bb87a21d94b", 41),
    )
    assert report.ended == (
        commands.EndedRun(58, ENDED, commands.EndKind.DONE, ""),
    )
    assert report.clock_ms == 482113 and not lines


@pytest.mark.parametrize("more", [-1, 0])
def test_a_full_list_of_ends_may_omit_some(more):
    """Guards against runs that are taken for absent behind the last end."""
    count = reports.MAX_LISTED_ENDS + more
    rows = [[58 + number, *ENDED_ROW[1:]] for number in range(count)]
    assert ask(answer(ended=rows), []).omits_ends == (more == 0)


def test_a_bad_row_does_not_affect_the_others():
    wrong = []
    for field, rows in (
        ("running", BAD_RUNNING_ROWS),
        ("ended", BAD_ENDED_ROWS),
    ):
        valid = RUNNING_ROW if field == "running" else ENDED_ROW
        for row in rows:
            lines = []
            try:
                report = ask(answer(**{field: [row, valid]}), lines)
            except worker_client.NoAnswerError:
                wrong.append(f"{field} {row!r}: all rows were refused")
                continue
            codec.encode(commands.NoteEnds("i-1", report.ended, 0))
            found = {one.run for one in (*report.running, *report.ended)}
            if len(report.running) + len(report.ended) != 2 or found != {
                RUN,
                ENDED,
            }:
                wrong.append(f"{field} {row!r}: taken")
            elif len(lines) != 1 or " reason=" not in lines[0]:
                wrong.append(f"{field} {row!r}: {lines}")
    assert not wrong, "\n".join(wrong)


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b"{}",
        b"\xff",
        answer(clock_ms=None),
        answer(clock_ms="482113"),
        answer(running={}),
        answer(ended=None),
    ],
)
def test_an_invalid_report_counts_as_no_answer(raw):
    with pytest.raises(worker_client.NoAnswerError):
        ask(raw, [])


@pytest.mark.parametrize("clock_ms", [10**30, -1])
def test_a_report_with_a_clock_out_of_range_counts_as_no_answer(clock_ms):
    with pytest.raises(worker_client.NoAnswerError):
        ask(answer(clock_ms=clock_ms), [])


def test_a_deeply_nested_report_counts_as_no_answer():
    deep = b'{"clock_ms": 1, "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(worker_client.NoAnswerError):
        ask(deep, [])


@hypothesis.given(st.lists(test_announcements.JSON_VALUES, max_size=5))
def test_rows_of_any_kind_are_read_or_counted_as_unread(rows):
    lines = []
    report = ask(answer(running=rows, ended=rows), lines)
    assert len(report.running) + report.malformed_running == len(rows)
    assert len(report.ended) + report.malformed_ended == len(rows)


BORN_MS = 1_700_000_000_000
NAMED = msgspec.structs.replace(
    WORKER, worker_id=f"{WORKER.worker_id}@{BORN_MS}", name=WORKER.worker_id
)


def ask_named(monkeypatch, raw):
    monkeypatch.setitem(globals(), "WORKER", NAMED)
    return ask(raw, [])


def test_a_report_of_the_queried_incarnation_is_accepted(monkeypatch):
    assert ask_named(monkeypatch, answer(born=BORN_MS)).ended


def test_a_report_of_another_incarnation_replaces_the_queried_one(monkeypatch):
    with pytest.raises(worker_client.IncarnationReplacedError):
        ask_named(monkeypatch, answer(born=BORN_MS + 1))


def test_a_report_without_a_start_time_counts_as_no_answer(monkeypatch):
    with pytest.raises(worker_client.NoAnswerError):
        ask_named(monkeypatch, answer())


@pytest.mark.parametrize("born", ["1", 1.5, None, -1, True, 2**60, [1]])
def test_a_report_with_an_invalid_start_time_counts_as_no_answer(
    monkeypatch, born
):
    with pytest.raises(worker_client.NoAnswerError):
        ask_named(monkeypatch, answer(born=born))


def test_a_worker_known_without_a_start_time_is_replaced():
    """A worker known without a start time may be another incarnation."""
    with pytest.raises(worker_client.IncarnationReplacedError):
        ask(answer(born=BORN_MS), [])
