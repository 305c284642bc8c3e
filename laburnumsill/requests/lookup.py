"""Status queries for idempotency keys, answered by their home groups."""

import dataclasses

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.requests import home_groups
from laburnumsill.state import claim_records
from laburnumsill.state import durable

QUERY_TIMEOUT_S = 1.5
"""Timeout of the home group's answer to both queries."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyStatus:
    """The status of an idempotency key, as sent to callers.

    Attributes:
        key: The key in the namespace of its service and account.
        durable: Whether its request is durable.
        state: A `claim_records.ClaimState` or `durable.DurableState`.
        attempt: Id of the newest attempt, None for durable requests.
        status: HTTP status of the answer, or None.
        deadline: Deadline of a durable request in wall time, else None.
    """

    key: str
    durable: bool
    state: str
    attempt: str | None
    status: int | None
    deadline: float | None


async def key_status(
    key: str,
    groups: replication.Groups,
    configuration: models.Configuration,
    clock: clocks.Clock,
) -> KeyStatus:
    """Returns the status of a key.

    Raises:
        errors.NotFoundError: The home group has no record of the key.
        errors.UnavailableError: The home group cannot be reached.
    """
    group = home_groups.home_group(key, configuration)
    query_deadline = clock.monotonic() + QUERY_TIMEOUT_S
    durable_status: durable.DurableStatus = await groups.query(
        group, durable.GetDurable(key), query_deadline
    )
    if durable_status.state is not None:
        status = durable_status.status or None
        return KeyStatus(
            key,
            True,
            durable_status.state,
            None,
            status,
            durable_status.deadline,
        )
    claim_status: claim_records.ClaimStatus = await groups.query(
        group, claim_records.GetClaim(key, clock.wall()), query_deadline
    )
    if claim_status.state is None:
        raise errors.NotFoundError(f"nothing is known of key {key!r}")
    status = claim_status.answer.status if claim_status.answer else None
    return KeyStatus(
        key, False, claim_status.state, claim_status.attempt, status, None
    )
