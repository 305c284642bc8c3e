"""Types of identifiers, and functions that create and parse them."""

import secrets
import typing

VmId = typing.NewType("VmId", str)
DomainName = typing.NewType("DomainName", str)
GroupName = typing.NewType("GroupName", str)
WorkerId = typing.NewType("WorkerId", str)
ServerId = typing.NewType("ServerId", str)
JobId = typing.NewType("JobId", str)
RequestId = typing.NewType("RequestId", str)

ROOT_GROUP = GroupName("root")
"""The name of the root group; see `domain_group` for the others."""

_RANDOM_BYTES = 10


def fresh(prefix: str) -> str:
    """Returns a new identifier: the prefix, a dash and 20 random hex digits.

    Args:
        prefix: The kind of the identified object, for readers of logs.
    """
    return f"{prefix}-{secrets.token_hex(_RANDOM_BYTES)}"


def domain_group(domain: str) -> GroupName:
    """Returns the name of the group that replicates a failure domain's state.

    Examples:
        >>> domain_group("north")
        'domain.north'
    """
    return GroupName(f"domain.{domain}")


def job_id(domain: str, suffix: str) -> JobId:
    """Returns a job id that contains the home domain of the job.

    Examples:
        >>> job_id("north", "5f")
        'north.5f'
    """
    return JobId(f"{domain}.{suffix}")


def job_home(identifier: str) -> DomainName:
    """Returns the home domain that a job id contains.

    Examples:
        >>> job_home("north.5f")
        'north'
    """
    return DomainName(identifier.rpartition(".")[0])
