"""Keeping the make-up of the hosted groups as it is desired.

A replica that is in no membership it knows of asks the other VMs: the one
founder may found the group, all others are added by its leader. The leader
compares the present make-up with the desired one and proposes one change at
a time.
"""

import contextlib
from collections import abc

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import founding
from laburnumsill.consensus import group as groups
from laburnumsill.consensus import group_make_up
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_recovery
from laburnumsill.consensus import types
from laburnumsill.consensus import voter_choice
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import replication

ANSWER_WITHIN_S = 1.0
"""Longest wait for one round of answers."""

LEADERLESS_S = 1.0
"""A member that knew no leader for so long asks whether it still is one. One
that was replaced while it was away is a spare only once it has asked."""

CAUGHT_UP_ENTRIES = 256
"""A learner may miss so many entries when it is promoted."""

NO_CHANGE = (
    engines.MembershipPendingError,
    engines.NotLeaderError,
    engines.NoRoomError,
)


class Keeper:
    """Founds, joins and changes groups.

    Args:
        me: This VM.
        first: The voters of each group's first make-up.
        disks: The VMs that have a disk.
        peers: The other VMs.
        clock: The clock of this process.
        options: The engine's settings.
        choice: Chooses the voters among the VMs that are there, where no
            settings name them; None where they do.
    """

    def __init__(
        self,
        me: str,
        first: abc.Mapping[str, abc.Sequence[str]],
        disks: frozenset[str],
        peers: replication.Peers,
        clock: clocks.Clock,
        options: engines.Options,
        choice: voter_choice.VoterChoice | None = None,
    ) -> None:
        self._me = me
        self._choice = choice
        self._asking: dict[str, dict[str, float]] = {}
        self._first = first
        self._disks = disks
        self._peers = peers
        self._clock = clock
        self._options = options
        self._make_up = {name: tuple(vms) for name, vms in first.items()}
        self._told = False
        self._candidates: dict[str, dict[str, group_make_up.Candidate]] = {}
        self._led_at: dict[str, float] = {}
        self._told_leaders: dict[str, str] = {}

    @property
    def make_up(self) -> abc.Mapping[str, tuple[str, ...]]:
        """The desired voters by group."""
        return self._make_up

    def told_leader(self, name: str) -> str | None:
        """Returns who leads a group that this VM is no member of.

        Whoever stands by hears no heartbeats, but is told when it asks.
        """
        return self._told_leaders.get(name)

    def set_make_up(self, make_up: abc.Mapping[str, abc.Sequence[str]]) -> None:
        """Replaces the desired voters; leaders bring them about."""
        self._told = True
        self._make_up = {name: tuple(vms) for name, vms in make_up.items()}

    def answer(
        self,
        hello: host_messages.Hello,
        group: groups.HostedGroup | None,
    ) -> host_messages.HelloAnswer:
        """Answers a replica's hello, and remembers that it wants to join."""
        candidate = group_make_up.Candidate(hello.replica, hello.with_disk)
        known = self._candidates.setdefault(hello.group, {})
        known[hello.replica.vm] = candidate
        asking = self._asking.setdefault(hello.group, {})
        asking[hello.replica.vm] = self._clock.monotonic()
        if group is None:
            return host_messages.HelloAnswer()
        return _answer(group, hello.replica)

    def needs_to_ask(self, group: groups.HostedGroup) -> bool:
        """Returns whether a replica is no member, or may not be any more."""
        if not group.is_member:
            return True
        now = self._clock.monotonic()
        if group.engine.leader is not None:
            self._led_at[group.name] = now
            self._told_leaders.pop(group.name, None)
        return now - self._led_at.setdefault(group.name, now) > LEADERLESS_S

    async def ask(self, group: groups.HostedGroup) -> bool:
        """Asks the other VMs once; founds or recovers the group if due.

        Returns:
            Whether this replica is not wanted any more: the group goes on
            without it and the desired make-up lacks this VM.
        """
        name = group.name
        first = self._first.get(name, ())
        wanted = self._make_up.get(name, ())
        voters = group.engine.membership.voters
        asked = dict.fromkeys([*first, *wanted, *(v.vm for v in voters)])
        asked.pop(self._me, None)
        hello = host_messages.Hello(name, group.me, group.with_disk)
        deadline = self._clock.monotonic() + ANSWER_WITHIN_S
        answers = await founding.ask(self._peers, asked, hello, deadline)
        self._note_leader(name, answers)
        if group.is_fresh and self._founds(name):
            membership = founding.founding_membership(
                group.me, group.with_disk, first, answers
            )
            if membership is not None:
                await group.found(membership)
                return False
        if group.is_member and not group.is_fresh:
            self._recover_if_due(group, answers)
        if self._me in wanted:
            return False
        return group.is_fresh or any(
            answer.established and answer.leader and not answer.member
            for answer in answers.values()
        )

    def _note_leader(self, name: str, answers: founding.Answers) -> None:
        self._told_leaders.pop(name, None)
        leading = [answer for answer in answers.values() if answer.leader]
        if leading and not any(answer.member for answer in leading):
            newest = max(leading, key=lambda answer: answer.term)
            self._told_leaders[name] = newest.leader or ""

    def reconcile(self, group: groups.HostedGroup) -> bool:
        """Proposes the next change of a group led here, if one is due."""
        view = self._view(group)
        change = group_make_up.next_change(view)
        if change is None:
            return False
        with contextlib.suppress(*NO_CHANGE):
            group.propose_membership(change)
            logs.decision(
                "make-up-change",
                group=group.name,
                desired=",".join(view.desired),
                voters=_names(change.voters),
                learners=_names(change.learners),
                disks=",".join(sorted(change.with_disk)),
            )
            return True
        return False

    def _recover_if_due(
        self, group: groups.HostedGroup, answers: founding.Answers
    ) -> None:
        """Goes on with the voters that are left, where that loses nothing."""
        found = host_recovery.recovery_entry(
            group.engine.membership, _answer(group, group.me), answers
        )
        if found is None:
            return
        term, membership = found
        logs.event(
            "group-recovered",
            level="WARNING",
            group=group.name,
            term=term,
            voters=_names(membership.voters),
            lost=_names(
                set(group.engine.membership.voters) - set(membership.voters)
            ),
        )
        group.recover(term, membership)

    def _prepared(self, group: groups.HostedGroup) -> tuple[str, ...]:
        """Returns the VMs that are to learn the log, besides the desired."""
        if self._choice is None:
            return ()
        return self._choice.prepared(self._voter_view(group))

    def _desired(self, group: groups.HostedGroup) -> tuple[str, ...]:
        """Returns the VMs that are to vote, as far as this VM can know.

        A VM that has just started knows only the first make-up. Where the
        group has moved on from that, it is left as it is until this VM is
        told, instead of being taken back.
        """
        if self._choice is not None:
            return self._choice.desired(self._voter_view(group))
        membership = group.engine.membership
        members = [m.vm for m in membership.voters + membership.learners]
        first = self._first.get(group.name, ())
        if self._told or set(members) <= set(first):
            return self._make_up.get(group.name, ())
        return tuple(dict.fromkeys(members))

    def _voter_view(self, group: groups.HostedGroup) -> voter_choice.VoterView:
        engine = group.engine
        heard_at = {
            replica.vm: one.heard_at for replica, one in engine.progress.items()
        }
        return voter_choice.VoterView(
            tuple(dict.fromkeys(v.vm for v in engine.membership.voters)),
            tuple(dict.fromkeys(v.vm for v in engine.membership.learners)),
            {**heard_at, self._me: self._clock.monotonic()},
            self._asking.get(group.name, {}),
            self._clock.monotonic(),
        )

    def _founds(self, name: str) -> bool:
        first = self._first.get(name, ())
        if self._me not in first:
            return False
        return founding.founder(first, self._disks) == self._me

    def _view(self, group: groups.HostedGroup) -> group_make_up.View:
        engine = group.engine
        progress = engine.progress
        heard_after = self._clock.monotonic() - self._options.election_timeout_s
        alive = {
            replica
            for replica, one in progress.items()
            if one.heard_at >= heard_after and one.match > 0
        }
        caught_up = {
            replica
            for replica in alive
            if progress[replica].match + CAUGHT_UP_ENTRIES >= engine.last_index
        }
        return group_make_up.View(
            engine.membership,
            self._desired(group),
            self._candidates.get(group.name, {}),
            frozenset(caught_up),
            frozenset(alive | {group.me}),
            self._disks,
            self._prepared(group),
        )


def _answer(
    group: groups.HostedGroup, asker: types.ReplicaId
) -> host_messages.HelloAnswer:
    engine = group.engine
    membership = engine.membership
    return host_messages.HelloAnswer(
        replica=group.me,
        fresh=group.is_fresh,
        with_disk=group.with_disk,
        member=asker in membership.voters + membership.learners,
        leader=engine.leader.vm if engine.leader else None,
        term=engine.term,
        last_term=engine.term_at(engine.last_index) or 0,
        last_index=engine.last_index,
    )


def _names(replicas: abc.Iterable[types.ReplicaId]) -> str:
    return ",".join(
        f"{replica.vm}/{replica.incarnation}" for replica in replicas
    )
