"""The two replicated state machines, composed of their components."""

from laburnumsill.core import ids
from laburnumsill.core import replication
from laburnumsill.state import claims
from laburnumsill.state import configuration
from laburnumsill.state import durable
from laburnumsill.state import jobs
from laburnumsill.state import memberships

_DOMAIN_PREFIX = ids.domain_group("")


def root_machine() -> replication.StateMachine:
    """Returns an empty root machine: configuration and group membership."""
    return replication.StateMachine(
        configuration.ConfigurationLog(), memberships.GroupMembership()
    )


def domain_machine(domain: str) -> replication.StateMachine:
    """Returns an empty machine of one failure domain."""
    return replication.StateMachine(
        claims.Claims(), durable.DurableRequests(), jobs.JobLedger(domain)
    )


def machine_of(group: str) -> replication.StateMachine:
    """Returns an empty state machine for a Raft group.

    Raises:
        ValueError: `group` is neither the root group nor a domain's.
    """
    if group == ids.ROOT_GROUP:
        return root_machine()
    if not group.startswith(_DOMAIN_PREFIX):
        raise ValueError(f"no state machine for group {group!r}")
    return domain_machine(group.removeprefix(_DOMAIN_PREFIX))
