"""The models of a configuration that differs little from a known one.

Validating all accounts takes most of the time that a new version costs, and
a version changes few of them.
"""

from collections import abc

import orjson

from laburnumsill.config import canonical
from laburnumsill.config import difference
from laburnumsill.config import models

ACCOUNTS = "accounts"
"""The key of the accounts; each is valid or not by itself and `DOMAINS`."""

DOMAINS = "domains"
"""The key of the failure domains, which guarantees are checked against."""


def decode(
    before: models.Configuration,
    document: difference.Document,
    changes: abc.Iterable[difference.Difference],
) -> models.Configuration:
    """Returns the same as `canonical.decode` of the document.

    Only the accounts that the changes touch are validated, with all that is
    not an account. Where the changes touch the failure domains, or the
    accounts as a whole, everything is.

    Args:
        before: The valid configuration that the changes were applied to.
        document: What they gave.
        changes: The changes, in order.

    Raises:
        canonical.UnreadableConfigurationError: It does not validate.
    """
    names = _touched_accounts(changes)
    if names is None or ACCOUNTS not in document.values:
        return canonical.decode(document.text)
    accounts = document.values[ACCOUNTS]
    touched = {name: accounts[name] for name in names if name in accounts}
    part = canonical.decode(
        orjson.dumps({**document.values, ACCOUNTS: touched})
    )
    kept = {
        name: account
        for name, account in before.accounts.items()
        if name not in names
    }
    both = sorted({**kept, **part.accounts}.items())
    return part.model_copy(update={ACCOUNTS: dict(both)})


def _touched_accounts(
    changes: abc.Iterable[difference.Difference],
) -> set[str] | None:
    """Returns the names of the touched accounts, None if it may be all."""
    names = set()
    for change in changes:
        paths = [*change.removals, *(one.path for one in change.settings)]
        for path in paths:
            if path in ((), (ACCOUNTS,)) or path[0] == DOMAINS:
                return None
            if path[0] == ACCOUNTS:
                names.add(path[1])
    return names
