"""The tables of `laburnumsill job explain`, computed from log files."""

import itertools
import pathlib
import typing

from laburnumsill.cli import failures
from laburnumsill.core import errors
from laburnumsill.explain import causes
from laburnumsill.explain import lines
from laburnumsill.explain import stories
from laburnumsill.explain import sums as sums_module

Row = dict[str, typing.Any]


class JobNotInLogsError(errors.NotFoundError):
    """The logs have no events of the job."""

    slug = "job-not-in-logs"
    title = "The logs tell nothing of this job"


def read_events(names: str) -> list[lines.Event]:
    """Returns the events of log files.

    Args:
        names: The files, comma-separated.

    Raises:
        failures.UsageError: A file cannot be read.
    """
    texts = []
    for name in filter(None, names.split(",")):
        try:
            texts.append(pathlib.Path(name).read_text(errors="replace"))
        except OSError as error:
            detail = f"--logs: {name}: {error.strerror}"
            raise failures.UsageError(detail) from error
    return lines.events_of(
        itertools.chain.from_iterable(text.splitlines() for text in texts)
    )


def job_rows(site: stories.SiteStory, job_id: str) -> list[Row]:
    """Returns a row for each span of a job's time, with its cause.

    The last row has the job's final state and lateness.

    Raises:
        JobNotInLogsError: The logs have no events of the job.
    """
    history = site.jobs.get(job_id)
    if history is None:
        raise JobNotInLogsError(f"job {job_id!r}", job=job_id)
    spans = causes.spans_of(history, site)
    if not spans:
        raise JobNotInLogsError(f"job {job_id!r} was never handed in")
    start_at = spans[0].begin
    rows: list[Row] = [
        {
            "after_s": f"{span.begin - start_at:.3f}",
            "seconds": f"{span.seconds:.3f}",
            "cause": str(span.cause),
            "detail": span.detail,
        }
        for span in spans
    ]
    return [*rows, _last_row(history, spans, start_at)]


def sum_rows(site: stories.SiteStory) -> list[Row]:
    """Returns a row for each group of jobs, with total seconds per cause."""
    rows: list[Row] = []
    for name, group_sums in sums_module.sums_of(site).items():
        row: Row = {
            "group": name,
            "jobs": group_sums["jobs"],
            "late": group_sums["late"],
            "unended": group_sums["unended"],
        }
        for cause in causes.Cause:
            row[str(cause)] = f"{group_sums[cause]:.1f}"
        rows.append(row)
    return rows


def _last_row(
    history: stories.JobStory,
    spans: typing.Sequence[causes.Span],
    start_at: float,
) -> Row:
    """Returns the row with a job's final state and lateness."""
    late_s = causes.late_by_s(history, spans)
    lateness = "" if late_s is None else f"late by {late_s:.3f} s"
    return {
        "after_s": f"{spans[-1].end - start_at:.3f}",
        "seconds": "",
        "cause": history.state or "not ended",
        "detail": lateness,
    }
