"""How long a follower waits for its leader before it campaigns.

A fixed time has to bear the worst network and disks of any site, so on most
sites a lost leader goes unnoticed for longer than need be: urgent jobs that
come meanwhile have about 1.5 s to spare. A follower knows better: it sees how
far apart its leader's messages usually come. It waits a multiple of the longest
gap of late, so that one or two lost messages, or a leader held up once more for
as long as before, call for no election. Where gaps grow, so does the patience,
up to the fixed time.

Safety does not rest on it: a pre-vote keeps a healthy leader in place, and
reads are confirmed by a majority (see `engine`).

References:
    N. Hayashibara, X. Defago, R. Yared and T. Katayama, "The phi accrual
    failure detector", SRDS 2004; of it the idea to learn from arrivals.
"""

from laburnumsill.consensus import options as options_module
from laburnumsill.core import learnt_wait

GAPS_BORNE = 3
"""A leader is missed after so many of the longest gaps: two heartbeats in a row
may be lost."""


class Patience:
    """Learns from the messages of the leader of one group.

    Args:
        options: Of the replica.

    Examples:
        >>> patience = Patience(options_module.Options(1.0, 0.1))
        >>> patience.timeout_s
        1.0
        >>> for beat in range(20):
        ...     patience.hear(0.1 * beat)
        >>> round(patience.timeout_s, 3)
        0.3
    """

    def __init__(self, options: options_module.Options) -> None:
        shortest_s = GAPS_BORNE * options.heartbeat_s
        longest_s = options.election_timeout_s
        if not options.learns_patience:
            shortest_s = longest_s
        self._heard_at: float | None = None
        self._wait = learnt_wait.LearntWait(shortest_s, longest_s, GAPS_BORNE)

    @property
    def timeout_s(self) -> float:
        """Seconds of silence after which the leader is missed."""
        return self._wait.seconds

    def hear(self, now: float) -> None:
        """Notes a message of the leader at a monotonic point."""
        if self._heard_at is not None:
            self._wait.note(now, now - self._heard_at)
        self._heard_at = now

    def lose(self) -> None:
        """Notes that another leader, or another term of it, is to be heard.

        The silence between two leads is no gap between messages. That of a
        leader which was missed and is still there is one.
        """
        self._heard_at = None
