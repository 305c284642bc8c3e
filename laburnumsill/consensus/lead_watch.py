"""What a VM has seen of the leader of a group, and how long to wait for it.

A caller's call that meets a lost leader has two bad ends: it is given up just
before the next leader is there, and its caller comes back a second later; or it
waits long for a leader that will not come. A lead is usually lost for half a
second, so calls wait that out, counted from when the leader was first missed.
After that they are refused at once until somebody leads again.
"""

import math

from laburnumsill.core import learnt_wait

SHORTEST_ATTEMPT_S = 0.1
"""A VM is given so long for its answer at least: ten times what a commit takes
on an idle site."""

ELECTION_WITHIN_S = 1.0
"""A lead that was lost is taken up within this: a follower's patience of 0.3 to
0.6 s on a usual network, two votes and the first commit; 0.8 to 1.6 s where it
has learnt nothing yet."""

SILENT_S = 0.15
"""A VM that did not answer is not asked again for so long, though it is named
as the leader: its next answer may have been the only one that was lost."""

ONE_ROUND_S = 0.15
"""Every call gets so long: enough to ask each of three to five VMs once."""


class LeadWatch:
    """Watches one group from one VM.

    Args:
        longest_attempt_s: Longest wait for one VM's answer.

    Examples:
        >>> watch = LeadWatch(0.3)
        >>> watch.worth_waiting_until(10.0)
        11.0
        >>> watch.missed(10.0)
        >>> watch.worth_waiting_until(10.4), watch.worth_waiting_until(15.0)
        (11.0, 15.15)
    """

    def __init__(self, longest_attempt_s: float) -> None:
        self._missed_at: float | None = None
        self._attempt = learnt_wait.LearntWait(
            SHORTEST_ATTEMPT_S,
            longest_attempt_s,
            learnt_wait.ANSWERS_BORNE,
        )
        self._silent_at: dict[str, float] = {}

    @property
    def attempt_s(self) -> float:
        """How long to wait for the answer of one VM, in seconds."""
        return self._attempt.seconds

    def worth_waiting_until(self, now: float) -> float:
        """Returns until when a leader may be expected, monotonic."""
        missed_at = now if self._missed_at is None else self._missed_at
        return max(missed_at + ELECTION_WITHIN_S, now + ONE_ROUND_S)

    def is_silent(self, vm: str, now: float) -> bool:
        """Returns whether a VM failed to answer just now."""
        return now < self._silent_at.get(vm, -math.inf) + SILENT_S

    def was_silent(self, vm: str) -> bool:
        """Returns whether a VM has answered nothing since it failed to."""
        return vm in self._silent_at

    def answered(self, vm: str, asked_at: float, now: float) -> None:
        """Notes that a VM answered as the leader."""
        self._missed_at = None
        self.heard(vm)
        self._attempt.note(now, now - asked_at)

    def heard(self, vm: str) -> None:
        """Notes that a VM answered, though it does not lead."""
        self._silent_at.pop(vm, None)

    def unanswered(self, vm: str, now: float) -> None:
        """Notes that a VM did not answer."""
        self._silent_at[vm] = now

    def missed(self, now: float) -> None:
        """Notes that no leader was found."""
        if self._missed_at is None:
            self._missed_at = now
