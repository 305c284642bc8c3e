"""The retry budget, which limits the ratio of retries to requests."""

BURST = 10.0
"""Capacity of the bucket and its initial content, in retries."""


class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    Args:
        tokens: Initial number of retries.

    Examples:
        >>> budget = RetryBudget(0.0)
        >>> budget.deposit(0.5)
        >>> budget.try_spend()
        False
        >>> budget.deposit(0.5)
        >>> budget.try_spend()
        True
    """

    def __init__(self, tokens: float = BURST) -> None:
        self._tokens = tokens

    @property
    def empty(self) -> bool:
        """Whether no retry is left."""
        return self._tokens < 1.0

    def deposit(self, share: float) -> None:
        """Adds `share` of a retry, for one request."""
        self._tokens = min(BURST, self._tokens + share)

    def try_spend(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if self.empty:
            return False
        self._tokens -= 1.0
        return True
