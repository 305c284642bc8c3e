"""Adds up what many jobs spent their time on."""

import collections
from collections import abc

from laburnumsill.explain import causes
from laburnumsill.explain import stories

WINDOW_S = 2
"""Jobs that came within so many seconds are added up together; the users
judge how their callers are served by windows of this length."""

ALL = "all"


def groups_of(
    job: stories.JobStory, site: stories.SiteStory, first_at: float
) -> abc.Sequence[str]:
    """Returns the names of the sums that a job counts in.

    Args:
        job: The job.
        site: Where it ran.
        first_at: When the first job came, Unix seconds.
    """
    came_at = job.came_at
    names = [
        ALL,
        f"queue {job.queue}",
        f"account {job.account}",
        f"domain {site.domain_of(job)}",
    ]
    if came_at is not None:
        window = int((came_at - first_at) // WINDOW_S * WINDOW_S)
        names.append(f"from second {window}")
    return names


def sums_of(site: stories.SiteStory) -> dict[str, collections.Counter[str]]:
    """Returns seconds by cause, and how many jobs, for each group of jobs."""
    first_at = min(
        (job.came_at for job in site.jobs.values() if job.came_at is not None),
        default=0.0,
    )
    found: dict[str, collections.Counter[str]] = {}
    for job in site.jobs.values():
        spans = causes.spans_of(job, site)
        late_s = causes.late_by_s(job, spans)
        for name in groups_of(job, site, first_at):
            sums = found.setdefault(name, collections.Counter())
            sums["jobs"] += 1
            sums["late"] += late_s is not None and late_s > 0
            sums["unended"] += job.ended_at is None
            for span in spans:
                sums[span.cause] += span.seconds  # type: ignore[assignment]
    return found
