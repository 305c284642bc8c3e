"""Whole histories of gangs, from what the fake workers recorded.

The records outlive the workers, so a test checks after the last failure that
each gang ran whole or not at all, and never under two epochs at once.
"""

import time
import types
import typing
from collections import abc

from laburnumsill.testing import cluster
from laburnumsill.testing import recorder

START_SPREAD_S = 2.0
"""Members of a gang start within this time of each other."""

LEASE_S = 4.0
"""A lease of the tests' configuration; a member that lost its gang stops
within a lease and the bound of clock drift."""

STOP_SPREAD_S = LEASE_S + 1.0
"""Members of a gang that is stopped end within this time of each other."""

Interval = tuple[float, float | None]
"""When a task began and ended, wall time; None while it runs."""

History = dict[tuple[str, int], list[Interval]]
"""For each job and epoch, one interval a member that ran."""

NOBODY: abc.Mapping[str, float] = types.MappingProxyType({})


def lines(site: cluster.Cluster, *what: str) -> list[dict[str, typing.Any]]:
    """Returns the recorded transitions of these kinds, by their time."""
    found = [
        line
        for name in site.names("worker-")
        for line in recorder.read(site.file(f"{name}.jsonl"))
        if line["what"] in what
    ]
    return sorted(found, key=lambda line: line["at"])


def intervals(
    site: cluster.Cluster, killed: abc.Mapping[str, float] = NOBODY
) -> History:
    """Returns when each member of each gang ran.

    Args:
        site: The site.
        killed: When workers were killed, which ended their tasks.
    """
    found: History = {}
    for name in site.names("worker-"):
        open_at: dict[str, dict[str, typing.Any]] = {}
        for line in recorder.read(site.file(f"{name}.jsonl")):
            if line["what"] == "running":
                open_at[line["task_id"]] = line
            elif line["what"] == "ended" and line["task_id"] in open_at:
                begun = open_at.pop(line["task_id"])
                _add(found, begun, line["at"])
        for begun in open_at.values():
            _add(found, begun, killed.get(name))
    return found


def check_gangs(
    site: cluster.Cluster,
    members: abc.Mapping[str, int],
    killed: abc.Mapping[str, float] = NOBODY,
    stop_spread_s: float = STOP_SPREAD_S,
) -> History:
    """Checks the whole history: whole gangs, and one epoch at a time.

    Args:
        site: The site.
        members: The number of tasks of each job.
        killed: When workers were killed, which ended their tasks.
        stop_spread_s: Members of a gang that is stopped end within this time
            of each other; more than a lease only where a leader is lost
            together with a member, and another member hears no stop.

    Returns:
        The history.
    """
    history = intervals(site, killed)
    for (job, epoch), parts in history.items():
        _check_whole(job, epoch, parts, members[job], stop_spread_s)
    for job in {job for job, _ in history}:
        _check_one_epoch(job, history)
    return history


def check_prepared_first(
    site: cluster.Cluster, members: abc.Mapping[str, int]
) -> None:
    """Checks that no member of a gang started before all had prepared.

    Args:
        site: The site.
        members: The number of tasks of each job.
    """
    prepared: dict[tuple[str, int], set[str]] = {}
    for line in lines(site, "prepared", "running"):
        key = (line["job_id"], line["epoch"])
        ready = prepared.setdefault(key, set())
        if line["what"] == "prepared":
            ready.add(line["task_id"])
        else:
            assert len(ready) == members[key[0]], (line, sorted(ready))


def _add(
    found: History, begun: dict[str, typing.Any], end: float | None
) -> None:
    key = (begun["job_id"], begun["epoch"])
    found.setdefault(key, []).append((begun["at"], end))


def _check_whole(
    job: str,
    epoch: int,
    parts: list[Interval],
    members: int,
    stop_spread_s: float,
) -> None:
    """Checks that members ran together, or for no longer than a lease.

    A member that runs on beside others that ended is taken to end now.
    """
    now = time.time()
    begins = [begin for begin, _ in parts]
    ends = [now if end is None else end for _, end in parts]
    if len(parts) < members:
        longest = max(
            end - begin for begin, end in zip(begins, ends, strict=True)
        )
        assert longest <= stop_spread_s, (job, epoch, parts)
        return
    assert len(parts) == members, (job, epoch, parts)
    assert max(begins) - min(begins) <= START_SPREAD_S, (job, parts)
    if any(end is not None for _, end in parts):
        assert max(ends) - min(ends) <= stop_spread_s, (job, parts)


def _check_one_epoch(job: str, history: History) -> None:
    """Checks that each epoch of a job ended before the next began."""
    spans = sorted(
        (epoch, parts)
        for (name, epoch), parts in history.items()
        if name == job
    )
    for (_, earlier), (_, later) in zip(spans, spans[1:], strict=False):
        last = max(end or float("inf") for _, end in earlier)
        assert last <= min(begin for begin, _ in later), (job, spans)
