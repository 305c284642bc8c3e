"""Choice of the voters of a group whose VMs no settings file names."""

import dataclasses
from collections import abc

REPLACE_AFTER_S = 1.5
"""Silence after which a voter is replaced by a spare VM. Together with a leader
election before it and the membership changes after it, this must stay below
the 4 s after which another VM may be lost. A voter that only restarted returns
as a spare."""

PREPARE_AFTER_S = 0.5
"""Silence of a voter after which a spare VM becomes a learner."""

SPARE_TIMEOUT_S = 2.0
"""A spare VM is available if it asked to join within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoterView:
    """A leader's view of the VMs that are or could be voters.

    Attributes:
        voters: VMs of the current voters, including the leader.
        learners: VMs of the current learners.
        last_contact_at: Monotonic time of the last message of each VM.
        join_requested_at: Monotonic time of each VM's last join request.
        now: The current monotonic time.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    last_contact_at: abc.Mapping[str, float]
    join_requested_at: abc.Mapping[str, float]
    now: float


class VoterChoice:
    """Chooses the voters and learners of a group among its live VMs.

    A silent voter is removed only if a spare VM can replace it. Without a
    spare it stays, because fewer voters tolerate fewer failures.

    Args:
        voter_count: Target number of voters, odd.

    Examples:
        >>> choice = VoterChoice(3)
        >>> view = VoterView(("a", "b", "c"), (), {"b": 9.0, "c": 1.0},
        ...                  {"d": 9.0}, 9.5)
        >>> choice.desired_voters(view)
        ('a', 'b', 'd')
    """

    def __init__(self, voter_count: int) -> None:
        self._voter_count = voter_count

    def desired_learners(self, view: VoterView) -> tuple[str, ...]:
        """Returns the spare VMs that are to be learners.

        A learner already has the log and can become a voter at once. There
        is one for each voter that has been silent for `PREPARE_AFTER_S`.
        Learners stay, up to the number of tolerated failures: a new leader
        starts without silent voters and would otherwise remove the learners
        just before they are needed.

        Examples:
            >>> view = VoterView(("a", "b", "c"), (), {"b": 9.0, "c": 8.9},
            ...                  {"d": 9.4, "e": 9.4}, 9.5)
            >>> VoterChoice(3).desired_learners(view)
            ('d',)
        """
        silent = sum(
            _is_silent(vm, view, PREPARE_AFTER_S) for vm in view.voters
        )
        tolerated = (self._voter_count - 1) // 2
        learning = min(tolerated, len(view.learners))
        return tuple(_spares(view)[: max(silent, learning)])

    def desired_voters(self, view: VoterView) -> tuple[str, ...]:
        """Returns the VMs that are to be voters."""
        kept = [vm for vm in view.voters if not _is_silent(vm, view)]
        silent = [vm for vm in view.voters if vm not in kept]
        spares = _spares(view)
        chosen = kept + spares[: max(0, self._voter_count - len(kept))]
        chosen += silent[: max(0, self._voter_count - len(chosen))]
        return tuple(chosen)


def _is_silent(
    vm: str, view: VoterView, after_s: float = REPLACE_AFTER_S
) -> bool:
    """Returns whether a VM has sent nothing recently, in any incarnation."""
    last_message_at = max(
        view.last_contact_at.get(vm, view.now),
        view.join_requested_at.get(vm, float("-inf")),
    )
    return view.now - last_message_at > after_s


def _spares(view: VoterView) -> list[str]:
    """Returns the VMs that could become voters, learners first."""
    learning = [
        vm
        for vm in view.learners
        if vm not in view.voters and not _is_silent(vm, view)
    ]
    joining = [
        vm
        for vm, asked_at in sorted(view.join_requested_at.items())
        if vm not in view.voters
        and vm not in learning
        and view.now - asked_at <= SPARE_TIMEOUT_S
    ]
    return learning + joining
