"""Sums the time of jobs by cause, for groups of jobs."""

import collections
from collections import abc

from laburnumsill.explain import causes
from laburnumsill.explain import stories

WINDOW_S = 2
"""Length of the windows by which jobs are grouped; users judge the service
to their callers by windows of this length."""

ALL_JOBS = "all"


def group_names(
    job: stories.JobStory, site: stories.SiteStory, first_at: float
) -> abc.Sequence[str]:
    """Returns the names of the groups that a job belongs to.

    Args:
        job: The job.
        site: The site that ran it.
        first_at: Time of the first submission of any job, Unix seconds.
    """
    submitted_at = job.submitted_at
    names = [
        ALL_JOBS,
        f"queue {job.queue}",
        f"account {job.account}",
        f"domain {site.domain_of(job)}",
    ]
    if submitted_at is not None:
        window = int((submitted_at - first_at) // WINDOW_S * WINDOW_S)
        names.append(f"from second {window}")
    return names


def sums_of(site: stories.SiteStory) -> dict[str, collections.Counter[str]]:
    """Returns the seconds by cause and the number of jobs of each group."""
    first_at = min(
        (
            job.submitted_at
            for job in site.jobs.values()
            if job.submitted_at is not None
        ),
        default=0.0,
    )
    groups: dict[str, collections.Counter[str]] = {}
    for job in site.jobs.values():
        spans = causes.spans_of(job, site)
        late_s = causes.late_by_s(job, spans)
        for name in group_names(job, site, first_at):
            totals = groups.setdefault(name, collections.Counter())
            totals["jobs"] += 1
            totals["late"] += late_s is not None and late_s > 0
            totals["unended"] += job.ended_at is None
            for span in spans:
                totals[span.cause] += span.seconds  # type: ignore[assignment]
    return groups
