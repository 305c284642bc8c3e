"""The home of a key: the failure domain whose group keeps its record."""

from laburnumsill.config import models
from laburnumsill.core import hashing
from laburnumsill.core import ids


def home_group(key: str, configuration: models.Configuration) -> ids.GroupName:
    """Returns the group that keeps what is known of `key`.

    Args:
        key: The key in its name space, see `messages.claim_key`.
        configuration: The configuration in force.
    """
    return ids.domain_group(hashing.rendezvous(key, configuration.domains))
