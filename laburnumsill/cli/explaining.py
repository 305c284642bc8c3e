"""What `laburnumsill job explain` prints."""

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
    """The logs do not tell of a job."""

    slug = "job-not-in-logs"
    title = "The logs tell nothing of this job"


def read(names: str) -> list[lines.Event]:
    """Returns the events of some log files.

    Args:
        names: The files, with commas between.

    Raises:
        failures.UsageError: One can not be read.
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


def job(site: stories.SiteStory, job_id: str) -> list[Row]:
    """Returns a row for each part of a job's time.

    Raises:
        JobNotInLogsError: The logs do not tell of it.
    """
    story = site.jobs.get(job_id)
    if story is None:
        raise JobNotInLogsError(f"job {job_id!r}", job=job_id)
    spans = causes.spans_of(story, site)
    if not spans:
        raise JobNotInLogsError(f"job {job_id!r} was never handed in")
    first_at = spans[0].begin
    rows: list[Row] = [
        {
            "after_s": f"{span.begin - first_at:.3f}",
            "seconds": f"{span.seconds:.3f}",
            "cause": str(span.cause),
            "detail": span.detail,
        }
        for span in spans
    ]
    return [*rows, _last_row(story, spans, first_at)]


def sums(site: stories.SiteStory) -> list[Row]:
    """Returns a row for each group of jobs, with seconds by cause."""
    rows: list[Row] = []
    for name, found in sums_module.sums_of(site).items():
        row: Row = {
            "group": name,
            "jobs": found["jobs"],
            "late": found["late"],
            "unended": found["unended"],
        }
        for cause in causes.Cause:
            row[str(cause)] = f"{found[cause]:.1f}"
        rows.append(row)
    return rows


def _last_row(
    story: stories.JobStory,
    spans: typing.Sequence[causes.Span],
    first_at: float,
) -> Row:
    """Returns the row that says how a job ended."""
    late_s = causes.late_by_s(story, spans)
    late = "" if late_s is None else f"late by {late_s:.3f} s"
    return {
        "after_s": f"{spans[-1].end - first_at:.3f}",
        "seconds": "",
        "cause": story.state or "not ended",
        "detail": late,
    }
