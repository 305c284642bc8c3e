"""Incremental validation of a configuration after a change.

Most of the time to decode a new version is spent on the validation of its
accounts, and a version changes few of them.
"""

from collections import abc

import orjson

from laburnumsill.config import canonical
from laburnumsill.config import difference
from laburnumsill.config import models

ACCOUNTS = "accounts"
"""Key of the accounts; validity of each depends only on it and `DOMAINS`."""

DOMAINS = "domains"
"""Key of the failure domains; guarantees may name only these."""


def decode(
    before: models.Configuration,
    document: difference.Document,
    changes: abc.Iterable[difference.Difference],
) -> models.Configuration:
    """Returns the same configuration as `canonical.decode` of the document.

    Validates only the accounts that the changes touch, and everything outside
    the accounts. If the changes touch the failure domains or replace the whole
    table of accounts, validates the whole document.

    Args:
        before: Valid configuration that the changes were applied to.
        document: The result of the changes.
        changes: The changes, in order.

    Raises:
        canonical.UnreadableConfigurationError: The document is not a valid
            configuration.
    """
    names = _touched_accounts(changes)
    if names is None or ACCOUNTS not in document.values:
        return canonical.decode(document.text)
    accounts = document.values[ACCOUNTS]
    touched_accounts = {
        name: accounts[name] for name in names if name in accounts
    }
    validated = canonical.decode(
        orjson.dumps({**document.values, ACCOUNTS: touched_accounts})
    )
    untouched = {
        name: account
        for name, account in before.accounts.items()
        if name not in names
    }
    merged = sorted({**untouched, **validated.accounts}.items())
    return validated.model_copy(update={ACCOUNTS: dict(merged)})


def _touched_accounts(
    changes: abc.Iterable[difference.Difference],
) -> set[str] | None:
    """Returns the names of the touched accounts, None for all accounts."""
    names = set()
    for change in changes:
        paths = [
            *change.removals,
            *(setting.path for setting in change.settings),
        ]
        for path in paths:
            if path in ((), (ACCOUNTS,)) or path[0] == DOMAINS:
                return None
            if path[0] == ACCOUNTS:
                names.add(path[1])
    return names
