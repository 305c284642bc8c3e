"""Tracking of a group's leader from one VM, and time limits for calls to it.

A call during a leader failure can go wrong in two ways: it is refused just
before the next leader is elected, and the caller retries a second later; or it
waits long for a leader that is not elected. A group is usually without a leader
for half a second, so calls wait for an election, with a limit counted from the
first time that no leader was found. After it they are refused after one round
of attempts until a leader answers again.
"""

import math

from laburnumsill.core import adaptive_timeout

MIN_CALL_TIMEOUT_S = 0.1
"""Minimum timeout of a call to one VM: ten times the duration of a commit on an
idle site."""

ELECTION_WAIT_S = 1.0
"""Wait for a new leader after a failure. It covers a follower's election timer
of 0.3 to 0.6 s on a usual network, pre-vote and vote, and the first commit. The
election timer takes 0.8 to 1.6 s while the adaptive timeout has no samples."""

RETRY_DELAY_S = 0.15
"""Delay before a VM that did not answer is called again, even if it is named as
the leader. It is short because just that one answer may have been lost."""

LEFT_OUT_S = ELECTION_WAIT_S
"""Time for which a VM that did not answer gets no commands in turn: that of an
election. Afterwards it may answer again, also as the leader, and nothing but
commands may be sent to it."""

MIN_WAIT_S = 0.15
"""Minimum wait of each call, enough to call each of three to five VMs once."""


class LeaderTracker:
    """Availability of one group's leader, as seen from one VM.

    Args:
        max_call_timeout_s: Maximum timeout of a call to one VM.

    Examples:
        >>> tracker = LeaderTracker(0.3)
        >>> tracker.wait_deadline(10.0)
        11.0
        >>> tracker.on_no_leader(10.0)
        >>> tracker.wait_deadline(10.4), tracker.wait_deadline(15.0)
        (11.0, 15.15)
    """

    def __init__(self, max_call_timeout_s: float) -> None:
        self._no_leader_since: float | None = None
        self._call_timeout = adaptive_timeout.AdaptiveTimeout(
            MIN_CALL_TIMEOUT_S,
            max_call_timeout_s,
            adaptive_timeout.ANSWER_TIME_MULTIPLE,
        )
        self._unanswered_at: dict[str, float] = {}

    @property
    def call_timeout_s(self) -> float:
        """Timeout of a call to one VM, in seconds."""
        return self._call_timeout.seconds

    def wait_deadline(self, now: float) -> float:
        """Returns the monotonic time until which a call waits for a leader."""
        no_leader_since = (
            now if self._no_leader_since is None else self._no_leader_since
        )
        return max(no_leader_since + ELECTION_WAIT_S, now + MIN_WAIT_S)

    def in_retry_delay(self, vm: str, now: float) -> bool:
        """Returns whether a VM failed to answer within `RETRY_DELAY_S`."""
        return now < self._unanswered_at.get(vm, -math.inf) + RETRY_DELAY_S

    def is_left_out(self, vm: str, now: float) -> bool:
        """Returns whether a VM failed to answer within `LEFT_OUT_S`."""
        return now < self._unanswered_at.get(vm, -math.inf) + LEFT_OUT_S

    def on_leader_answer(self, vm: str, asked_at: float, now: float) -> None:
        """Records that a VM answered as the leader."""
        self._no_leader_since = None
        self.on_answer(vm)
        self._call_timeout.record(now, now - asked_at)

    def on_answer(self, vm: str) -> None:
        """Records that a VM answered, whether or not it leads."""
        self._unanswered_at.pop(vm, None)

    def on_no_answer(self, vm: str, now: float) -> None:
        """Records that a VM did not answer."""
        self._unanswered_at[vm] = now

    def on_no_leader(self, now: float) -> None:
        """Records that no leader was found."""
        if self._no_leader_since is None:
            self._no_leader_since = now
