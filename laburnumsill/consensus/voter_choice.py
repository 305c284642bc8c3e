"""Who is to vote in a group whose VMs are not named in any settings."""

import dataclasses
from collections import abc

REPLACE_AFTER_S = 1.5
"""A voter that was silent for so long gives way to a spare VM. With the time to
elect a leader before and to change the voters after, this has to stay below the
4 s after which another VM may be lost. Whoever was only restarted comes back as
a spare."""

PREPARE_AFTER_S = 0.5
"""A spare VM learns the log as soon as a voter was silent for so long."""

SPARE_FRESH_S = 2.0
"""A spare counts as there if it was heard from within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoterView:
    """What a leader knows of the VMs that may vote.

    Attributes:
        voters: The VMs of the present voters, the leader's too.
        learners: The VMs of the present learners.
        heard_at: When each VM was last heard from, monotonic.
        asking: When each VM last asked to join, monotonic.
        now: Monotonic.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    heard_at: abc.Mapping[str, float]
    asking: abc.Mapping[str, float]
    now: float


class VoterChoice:
    """Keeps a number of voters, of the VMs that are there.

    A voter that is silent gives way only where a spare VM can take its
    place; without a spare it stays, since fewer voters bear fewer losses.

    Args:
        wanted: How many voters there should be, odd.

    Examples:
        >>> choice = VoterChoice(3)
        >>> view = VoterView(("a", "b", "c"), (), {"b": 9.0, "c": 1.0},
        ...                  {"d": 9.0}, 9.5)
        >>> choice.desired(view)
        ('a', 'b', 'd')
    """

    def __init__(self, wanted: int) -> None:
        self._wanted = wanted

    def prepared(self, view: VoterView) -> tuple[str, ...]:
        """Returns the VMs that are to learn the log, so as to vote at once.

        There is one for each voter that was not heard from for a moment.
        Those that learn it already go on: the next leader, who has heard
        nobody for a while, would otherwise drop them when they are needed.

        Examples:
            >>> view = VoterView(("a", "b", "c"), (), {"b": 9.0, "c": 8.9},
            ...                  {"d": 9.4, "e": 9.4}, 9.5)
            >>> VoterChoice(3).prepared(view)
            ('d',)
        """
        quiet = sum(_silent(vm, view, PREPARE_AFTER_S) for vm in view.voters)
        tolerated = (self._wanted - 1) // 2
        learning = min(tolerated, len(view.learners))
        return tuple(_spares(view)[: max(quiet, learning)])

    def desired(self, view: VoterView) -> tuple[str, ...]:
        """Returns the VMs that are to vote."""
        kept = [vm for vm in view.voters if not _silent(vm, view)]
        lost = [vm for vm in view.voters if vm not in kept]
        spares = _spares(view)
        chosen = kept + spares[: max(0, self._wanted - len(kept))]
        chosen += lost[: max(0, self._wanted - len(chosen))]
        return tuple(chosen)


def _silent(vm: str, view: VoterView, after_s: float = REPLACE_AFTER_S) -> bool:
    """Whether a voter's VM was not heard from, in any incarnation."""
    heard = max(
        view.heard_at.get(vm, view.now), view.asking.get(vm, float("-inf"))
    )
    return view.now - heard > after_s


def _spares(view: VoterView) -> list[str]:
    """Returns the VMs that could vote, those that have the log first."""
    learning = [
        vm
        for vm in view.learners
        if vm not in view.voters and not _silent(vm, view)
    ]
    asking = [
        vm
        for vm, at in sorted(view.asking.items())
        if vm not in view.voters
        and vm not in learning
        and view.now - at <= SPARE_FRESH_S
    ]
    return learning + asking
