"""Admission of jobs and choice of their home domain."""

import dataclasses
from collections import abc

from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.core import members
from laburnumsill.jobs import claims
from laburnumsill.jobs import fit
from laburnumsill.jobs import policy as policies
from laburnumsill.state import cells
from laburnumsill.state import jobs_messages
from laburnumsill.state import workers

CORES_PER_ACCELERATOR = 16
"""Cores that count as one accelerator in the choice of a home domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateDomain:
    """A domain that could hold a job, with its usage if known."""

    domain: str
    use: jobs_messages.DomainUse | None


def account_of(
    configuration: models.Configuration, spec: jobs_messages.JobSpec
) -> models.Account:
    """Returns the account of a job after checking that it may submit the job.

    Raises:
        errors.UnknownNameError: There is no such account.
        errors.JobImpossibleError: The account may not submit such a job.
    """
    account = configuration.accounts.get(spec.account)
    if account is None:
        raise errors.UnknownNameError(f"no account {spec.account!r}")
    if spec.guaranteed and not spec.accelerators:
        raise errors.JobImpossibleError(
            "guarantees are cells of accelerators; a guaranteed job needs"
            " at least one accelerator a task"
        )
    if not spec.guaranteed and not account.may_borrow:
        raise errors.JobImpossibleError(
            f"account {spec.account!r} may not borrow; the job is not marked"
            " guaranteed"
        )
    return account


def possible_domains(
    configuration: models.Configuration,
    view: members.MemberView,
    spec: jobs_messages.JobSpec,
) -> list[str]:
    """Returns the configured domains that could hold a job when empty.

    Raises:
        errors.UnavailableError: No worker is known in any domain.
        errors.JobImpossibleError: None could hold it; the detail says why.
    """
    known = False
    found = []
    reasons = []
    for domain in configuration.domains:
        present = view.workers(domain)
        known = known or bool(present)
        reason = _rejection_reason(configuration, domain, present, spec)
        if reason:
            reasons.append(f"{domain}: {reason}")
        else:
            found.append(domain)
    if not known:
        raise errors.UnavailableError("no worker is known in any domain yet")
    if not found:
        raise errors.JobImpossibleError("; ".join(reasons))
    return found


def _rejection_reason(
    configuration: models.Configuration,
    domain: str,
    present: abc.Sequence[members.Worker],
    spec: jobs_messages.JobSpec,
) -> str:
    """Returns the reason why a domain can never hold a job, or ""."""
    empty = [workers.WorkerRecord(worker) for worker in present]
    if not empty:
        return "no workers"
    if not any(worker.size(spec) for worker in empty):
        return (
            f"no worker has {spec.accelerators} accelerators, {spec.cores}"
            f" cores and {spec.memory_gb} GB"
        )
    if not fit.ever_fits(empty, spec):
        where = "one rack" if spec.adjacency == "rack" else "it"
        return f"{where} never holds {spec.tasks} such tasks"
    if spec.guaranteed:
        return _beyond_guarantee(configuration, domain, empty, spec)
    return ""


def _beyond_guarantee(
    configuration: models.Configuration,
    domain: str,
    empty: abc.Sequence[workers.WorkerRecord],
    spec: jobs_messages.JobSpec,
) -> str:
    shape = configuration.accounts[spec.account].guarantee.get(domain)
    if shape is None:
        return f"{spec.account!r} has no guarantee"
    counts = policies.cell_counts(shape)
    if not claims.can_hold_task(counts, spec):
        return f"the guarantee {counts} has no cell for such a task"
    if guaranteed_accelerators(counts, empty) < spec.total_accelerators:
        return (
            f"the guarantee is less than {spec.total_accelerators} accelerators"
        )
    return ""


def guaranteed_accelerators(
    counts: cells.Numbers, present: abc.Iterable[workers.WorkerRecord]
) -> int:
    """Returns an upper bound of the accelerators of a guarantee."""
    racks: dict[str, int] = {}
    largest = 0
    for worker in present:
        own = worker.announced
        largest = max(largest, own.accelerators)
        racks[own.rack] = racks.get(own.rack, 0) + own.accelerators
    singles, pairs, whole, whole_racks = counts
    return (
        singles
        + 2 * pairs
        + whole * largest
        + whole_racks * max(racks.values(), default=0)
    )


def choose_home(
    candidates: abc.Sequence[CandidateDomain], spec: jobs_messages.JobSpec
) -> str:
    """Returns the domain with the most headroom for a job.

    For a guaranteed job this is the domain where its account has the fewest
    guaranteed accelerators in use or queued; for a borrowing job, the one
    with the most free capacity beyond the demand of queued jobs. Domains
    with unknown usage come last.
    """
    best = max(candidates, key=lambda candidate: _headroom(candidate, spec))
    return best.domain


def _headroom(
    candidate: CandidateDomain, spec: jobs_messages.JobSpec
) -> tuple[bool, float, str]:
    use = candidate.use
    if use is None:
        return False, 0.0, candidate.domain
    if spec.guaranteed:
        own = use.accounts.get(spec.account, jobs_messages.AccountUse())
        return True, -own.guaranteed - own.queued, candidate.domain
    if spec.accelerators:
        left = float(use.free_accelerators - use.queued_accelerators)
    else:
        left = (use.free_cores - use.queued_cores) / CORES_PER_ACCELERATOR
    return True, left, candidate.domain
