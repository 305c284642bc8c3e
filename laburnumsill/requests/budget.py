"""The retry budget: retries allowed for each request, on average."""

BURST = 10.0
"""Retries that may be saved up, and those there are at the start."""


class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    Args:
        tokens: Retries there are at the start.

    Examples:
        >>> budget = RetryBudget(0.0)
        >>> budget.earn(0.5)
        >>> budget.spend()
        False
        >>> budget.earn(0.5)
        >>> budget.spend()
        True
    """

    def __init__(self, tokens: float = BURST) -> None:
        self._tokens = tokens

    @property
    def empty(self) -> bool:
        """Whether there is no retry left."""
        return self._tokens < 1.0

    def earn(self, share: float) -> None:
        """Adds what one request earns."""
        self._tokens = min(BURST, self._tokens + share)

    def spend(self) -> bool:
        """Takes one retry if there is one, and returns whether there was."""
        if self.empty:
            return False
        self._tokens -= 1.0
        return True
