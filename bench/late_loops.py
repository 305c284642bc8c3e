"""Measures how long a group has no leader while event loops are held up.

Engines in virtual time, on the links and disks of `bench.failover`. The loop
of each VM stands still again and again, as on a machine with more work than
cores. Messages, syncs and ticks wait until it goes on. No VM and no message is
lost, so that a leader is never needed but for the hold-ups.

The floor is the longest time in which no two VMs ran at once for
`EXCHANGE_S`: no protocol commits an entry without.

`python -m bench.late_loops` prints a table.
"""

import dataclasses
import functools
import itertools
import random
from collections import abc

import fire

from bench import failover
from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import types

EXCHANGE_S = 0.01
"""Time in which an entry is sent, synced and acknowledged."""

PLAY_S = 120.0

INBOX_DELAY_S = 1e-5
"""Time from the end of a hold-up until the messages and syncs that came during
it are processed."""

TICK_DELAY_S = 2 * INBOX_DELAY_S
"""Time until the engine is ticked; the driver reads what has arrived first."""

HOLD_UPS = ((0.1, 0.3), (0.3, 0.3), (0.6, 0.5), (1.0, 0.5))
"""Mean length of a hold-up in seconds, and share of the time held up."""


@dataclasses.dataclass(slots=True)
class Longest:
    """Longest times of a play, in seconds.

    Attributes:
        no_commit: Without a new committed entry.
        no_leader: Without a leader.
        floor: Without two VMs that run at once, see the module.
        elections: Number of elections.
    """

    no_commit: float = 0.0
    no_leader: float = 0.0
    floor: float = 0.0
    elections: int = 0

    def merged(self, other: "Longest") -> "Longest":
        """Returns the longest times and all elections of both plays."""
        return Longest(
            max(self.no_commit, other.no_commit),
            max(self.no_leader, other.no_leader),
            max(self.floor, other.floor),
            self.elections + other.elections,
        )


class LateGroup(failover.Group):
    """A group whose event loops are held up for random times.

    Args:
        options: Options of the engines.
        seed: Seed of all random choices.
        mean_s: Mean length of a hold-up, in seconds.
        share: Share of the time in which a loop is held up.
        vms: VMs of the group.
    """

    def __init__(
        self,
        options: engines.Options,
        seed: int,
        mean_s: float,
        share: float,
        vms: tuple[str, ...],
    ) -> None:
        self.until = dict.fromkeys(vms, 0.0)
        self.hold_ups: list[tuple[float, float, str]] = []
        self._rng = random.Random(seed + 99)
        self._mean_s = mean_s
        self._gap_s = mean_s * (1 - share) / share
        super().__init__(options, failover.Conditions(), seed, vms)
        for vm in vms:
            self.at(failover.WARM_S, functools.partial(self._hold, vm))

    def write(self) -> None:
        """Has the leader append an entry if its loop runs."""
        if self.leader and self.now >= self.until[self.leader]:
            super().write()

    def _hold(self, vm: str) -> None:
        length_s = self._rng.expovariate(1 / self._mean_s)
        gap_s = self._rng.expovariate(1 / self._gap_s)
        self.until[vm] = self.now + length_s
        self.hold_ups.append((self.now, self.until[vm], vm))
        self.at(self.until[vm] + gap_s, functools.partial(self._hold, vm))

    def _postpone(
        self, vm: str, action: abc.Callable[[], None], delay_s: float
    ) -> bool:
        """Postpones an action of a VM that is held up; returns whether."""
        if self.now >= self.until[vm]:
            return False
        self.at(self.until[vm] + delay_s, action)
        return True

    def _tick(self, vm: str, number: int) -> None:
        action = functools.partial(self._tick, vm, number)
        if not self._postpone(vm, action, TICK_DELAY_S):
            super()._tick(vm, number)

    def _deliver(self, message: types.Message) -> None:
        action = functools.partial(self._deliver, message)
        if not self._postpone(message.target.vm, action, INBOX_DELAY_S):
            super()._deliver(message)

    def _synced(self, vm: str, index: int, term: int) -> None:
        action = functools.partial(self._synced, vm, index, term)
        if not self._postpone(vm, action, INBOX_DELAY_S):
            super()._synced(vm, index, term)


def play(
    mean_s: float, share: float, seed: int, vms: tuple[str, ...]
) -> Longest:
    """Plays a group and returns its longest times."""
    options = failover.options_of(learnt=True)
    group = LateGroup(options, seed, mean_s, share, vms)
    failover.started(group, PLAY_S - failover.WARM_S)
    longest = Longest()
    commit_at = lead_at = group.now
    committed = 0
    while group.next_at < PLAY_S:
        group.run(group.next_at, lambda: False)
        newest = max(engine.committed for engine in group.engines.values())
        if newest > committed:
            longest.no_commit = max(longest.no_commit, group.now - commit_at)
            committed, commit_at = newest, group.now
        if group.leader:
            longest.no_leader = max(longest.no_leader, group.now - lead_at)
            lead_at = group.now
    longest.no_commit = max(longest.no_commit, PLAY_S - commit_at)
    longest.no_leader = max(longest.no_leader, PLAY_S - lead_at)
    longest.floor = floor(group.hold_ups, len(vms))
    longest.elections = group.elections
    return longest


def floor(hold_ups: abc.Sequence[tuple[float, float, str]], vms: int) -> float:
    """Returns the longest time in which no two of the VMs ran at once.

    Args:
        hold_ups: Begin, end and VM of each hold-up.
        vms: Number of VMs.

    Examples:
        >>> floor([(6.0, 7.0, "a"), (6.5, 9.0, "b")], 2)
        3.0
        >>> floor([(6.0, 7.0, "a"), (6.5, 9.0, "b")], 3)
        0.5
    """
    changes = sorted(
        [(begin, 1) for begin, _, _ in hold_ups]
        + [(end, -1) for _, end, _ in hold_ups]
    )
    held = 0
    blocked_since = None
    longest = 0.0
    for (at, change), (next_at, _) in itertools.pairwise(
        [*changes, (PLAY_S, 0)]
    ):
        held += change
        runs = vms - held >= 2 and next_at - at >= EXCHANGE_S
        if not runs and blocked_since is None:
            blocked_since = at
        elif runs and blocked_since is not None:
            longest = max(longest, at - blocked_since)
            blocked_since = None
    return longest


def main(plays: int = 6) -> None:
    """Prints a row for each number of voters and kind of hold-up.

    Args:
        plays: Number of plays a row.
    """
    for vms in (failover.VMS[:2], failover.VMS):
        for mean_s, share in HOLD_UPS:
            longest = functools.reduce(
                Longest.merged,
                (play(mean_s, share, seed, vms) for seed in range(plays)),
            )
            print(
                f"voters={len(vms)} mean_s={mean_s} share={share}"
                f" no_commit_s={longest.no_commit:.2f}"
                f" no_leader_s={longest.no_leader:.2f}"
                f" floor_s={longest.floor:.2f}"
                f" elections={longest.elections}",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
