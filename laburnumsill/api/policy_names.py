"""Validation of the policy names in a configuration.

The configuration models cannot check these names, because the policies are
defined in a higher layer. A name without a policy must not be accepted: every
VM would fail each request.
"""

from collections import abc

from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.requests import concurrency_limits
from laburnumsill.requests import load_balancing


class UnknownPolicyError(errors.InvalidConfigurationError):
    """A configuration names a policy that does not exist."""

    slug = "unknown-policy"
    title = "No such policy"


def check(configuration: models.Configuration) -> None:
    """Checks the names of all policies.

    Raises:
        UnknownPolicyError: A name has no policy; the context holds the key,
            its value and the expected names.
    """
    requests = configuration.requests
    _check_name("requests.chooser", requests.chooser, load_balancing.CHOOSERS)
    _check_name(
        "requests.limiter", requests.limiter, concurrency_limits.LIMITERS
    )


def _check_name(key: str, name: str, known: abc.Iterable[str]) -> None:
    if name in known:
        return
    expected = "one of " + ", ".join(known)
    raise UnknownPolicyError(
        f"{key}: got {name!r}, expected {expected}",
        key=key,
        value=name,
        expected=expected,
    )
