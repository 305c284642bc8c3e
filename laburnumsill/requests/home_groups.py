"""Home groups: assigns each idempotency key to a failure domain's group."""

from laburnumsill.config import models
from laburnumsill.core import hashing
from laburnumsill.core import ids


def home_group(key: str, configuration: models.Configuration) -> ids.GroupName:
    """Returns the group that stores the records of `key`.

    Args:
        key: The key in the namespace of its service and account, see
            `messages.claim_key`.
        configuration: The configuration in force.
    """
    return ids.domain_group(hashing.rendezvous(key, configuration.domains))
