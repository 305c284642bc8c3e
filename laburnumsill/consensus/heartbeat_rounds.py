"""Rounds of heartbeats, and what their acknowledgements prove to a leader."""

import collections


class HeartbeatRounds:
    """Numbers of a leader's heartbeat rounds, with the time of each.

    A round is confirmed once a majority of the voters has acknowledged it. Each
    of them was then still in the leader's term when it received the heartbeat,
    so no later term can have begun before the round was sent. This holds
    however late the acknowledgements are read, and without any bound on
    election timeouts, pauses or clocks.

    Examples:
        >>> rounds = HeartbeatRounds()
        >>> rounds.begin(1.0), rounds.begin(1.1)
        (1, 2)
        >>> rounds.confirm(1)
        >>> rounds.confirmed_at
        1.0
    """

    def __init__(self) -> None:
        self._newest = 0
        self._confirmed_at: float | None = None
        self._unconfirmed: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    @property
    def newest(self) -> int:
        """Number of the latest round, 0 before the first."""
        return self._newest

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time at which the latest confirmed round was sent.

        None before the first confirmation.
        """
        return self._confirmed_at

    def begin(self, now: float) -> int:
        """Begins a round that is sent at `now` or later; returns its number."""
        self._newest += 1
        self._unconfirmed.append((self._newest, now))
        return self._newest

    def confirm(self, number: int) -> None:
        """Records that a majority has acknowledged all rounds to `number`."""
        while self._unconfirmed and self._unconfirmed[0][0] <= number:
            _, self._confirmed_at = self._unconfirmed.popleft()
