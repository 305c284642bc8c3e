"""What became of a key: a read of its home group's records."""

import dataclasses

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.requests import home
from laburnumsill.state import claim_records
from laburnumsill.state import durable

QUERY_S = 1.5
"""Longest wait for an answer of the home group."""


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """What is known of a key, as callers get it.

    Attributes:
        key: The key in the name space of its service and account.
        durable: Whether it is of a durable request.
        state: A `claim_records.ClaimState` or `durable.DurableState`.
        attempt: The newest attempt, None for durable requests.
        status: HTTP status of the answer where it is known.
        deadline: Wall time by which a durable request must have succeeded.
    """

    key: str
    durable: bool
    state: str
    attempt: str | None
    status: int | None
    deadline: float | None


async def known(
    key: str,
    groups: replication.Groups,
    configuration: models.Configuration,
    clock: clocks.Clock,
) -> Known:
    """Returns what is known of a key.

    Raises:
        errors.NotFoundError: Nothing is.
        errors.UnavailableError: The home group cannot be reached.
    """
    group = home.home_group(key, configuration)
    propose_deadline = clock.monotonic() + QUERY_S
    kept: durable.DurableStatus = await groups.query(
        group, durable.GetDurable(key), propose_deadline
    )
    if kept.state is not None:
        status = kept.status or None
        return Known(key, True, kept.state, None, status, kept.deadline)
    claim: claim_records.ClaimStatus = await groups.query(
        group, claim_records.GetClaim(key, clock.wall()), propose_deadline
    )
    if claim.state is None:
        raise errors.NotFoundError(f"nothing is known of key {key!r}")
    status = claim.answer.status if claim.answer else None
    return Known(key, False, claim.state, claim.attempt, status, None)
