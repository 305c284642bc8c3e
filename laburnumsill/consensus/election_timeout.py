"""Adaptive election timeout of a follower.

A fixed timeout must allow for the slowest network and disks of any site, so
that most sites detect the loss of a leader later than they could, while urgent
jobs that arrive meanwhile can wait only about 1.5 s. A follower therefore
measures the gaps between its leader's messages. Its timeout is a multiple of
the longest recent gap, so that one or two lost messages, or another delay of
the leader as long as the previous one, start no election. The timeout grows
with the gaps, up to the fixed one.

Safety does not depend on the timeout: a pre-vote keeps a healthy leader in
place, and reads are confirmed by a majority (see `engine`).

References:
    N. Hayashibara, X. Defago, R. Yared and T. Katayama, "The phi accrual
    failure detector", SRDS 2004: the estimate from past arrival times.
"""

from laburnumsill.consensus import options as options_module
from laburnumsill.core import adaptive_timeout

GAP_MULTIPLE = 3
"""Election timeout as a multiple of the longest recent gap; with 3, two
successive heartbeats may be lost."""


class ElectionTimeout:
    """Election timeout derived from the gaps between leader messages.

    Args:
        options: Options of the replica.

    Examples:
        >>> timeout = ElectionTimeout(options_module.Options(1.0, 0.1))
        >>> timeout.seconds
        1.0
        >>> for beat in range(20):
        ...     timeout.on_leader_message(0.1 * beat)
        >>> round(timeout.seconds, 3)
        0.3
    """

    def __init__(self, options: options_module.Options) -> None:
        shortest_s = GAP_MULTIPLE * options.heartbeat_s
        longest_s = options.election_timeout_s
        if not options.adaptive_election_timeout:
            shortest_s = longest_s
        self._last_message_at: float | None = None
        self._timeout = adaptive_timeout.AdaptiveTimeout(
            shortest_s, longest_s, GAP_MULTIPLE
        )

    @property
    def seconds(self) -> float:
        """The current election timeout, in seconds."""
        return self._timeout.seconds

    def on_leader_message(self, now: float) -> None:
        """Records a message of the leader at a monotonic time."""
        if self._last_message_at is not None:
            self._timeout.record(now, now - self._last_message_at)
        self._last_message_at = now

    def reset(self) -> None:
        """Starts a new series of gaps, for another leader or term.

        The time between the last message of one leadership and the first of
        the next is not a gap. The time without messages of a leader that
        timed out and then resumed in the same term is one.
        """
        self._last_message_at = None
