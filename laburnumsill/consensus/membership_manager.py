"""Discovery and membership changes of the hosted groups.

A replica that is not a member of its group sends a hello to the other VMs. One
designated VM may bootstrap the group; all other replicas are added by the
leader. The leader compares the current membership with the desired one and
proposes one change at a time.
"""

import contextlib
from collections import abc

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import group as groups
from laburnumsill.consensus import group_bootstrap
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_recovery
from laburnumsill.consensus import membership_change
from laburnumsill.consensus import types
from laburnumsill.consensus import voter_choice
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.core import replication

HELLO_TIMEOUT_S = 1.0
"""Timeout of one round of hellos, in seconds."""

LEADERLESS_TIMEOUT_S = 1.0
"""Time without a known leader after which a member sends hellos to learn
whether it is still a member, in seconds. A replica that was replaced while it
was unreachable counts as a spare only after its hello."""

MAX_PROMOTION_LAG = 256
"""Number of entries that a learner may lack when it is promoted to a voter."""

_CHANGE_REFUSED = (
    engines.MembershipPendingError,
    engines.NotLeaderError,
    engines.NoRoomError,
)


class MembershipManager:
    """Bootstraps, joins and recovers groups, and changes their membership.

    Args:
        local_vm: The id of this VM.
        initial_voters: The initial voters by group.
        disks: The VMs that have a disk.
        peers: The connections to the other VMs.
        clock: The clock of this process.
        options: The settings of the engine.
        choice: Chooses the voters among the reachable VMs, or None if the
            settings name them.
    """

    def __init__(
        self,
        local_vm: str,
        initial_voters: abc.Mapping[str, abc.Sequence[str]],
        disks: frozenset[str],
        peers: replication.Peers,
        clock: clocks.Clock,
        options: engines.Options,
        choice: voter_choice.VoterChoice | None = None,
    ) -> None:
        self._local_vm = local_vm
        self._choice = choice
        self._join_requested_at: dict[str, dict[str, float]] = {}
        self._initial_voters = initial_voters
        self._disks = disks
        self._peers = peers
        self._clock = clock
        self._options = options
        self._desired_voters = {
            name: tuple(vms) for name, vms in initial_voters.items()
        }
        self._desired_voters_set = False
        self._join_requests: dict[
            str, dict[str, membership_change.JoinRequest]
        ] = {}
        self._leader_seen_at: dict[str, float] = {}
        self._reported_leaders: dict[str, str] = {}

    @property
    def desired_voters(self) -> abc.Mapping[str, tuple[str, ...]]:
        """The desired voters by group."""
        return self._desired_voters

    def reported_leader(self, name: str) -> str | None:
        """Returns the leader of a group of which this VM is not a member.

        A replica outside the membership receives no heartbeats; it learns the
        leader from the answers to its hellos.
        """
        return self._reported_leaders.get(name)

    def set_desired_voters(
        self, desired_voters: abc.Mapping[str, abc.Sequence[str]]
    ) -> None:
        """Replaces the desired voters by group."""
        self._desired_voters_set = True
        self._desired_voters = {
            name: tuple(vms) for name, vms in desired_voters.items()
        }

    def answer_hello(
        self,
        hello: host_messages.Hello,
        group: groups.HostedGroup | None,
    ) -> host_messages.HelloAnswer:
        """Answers the hello of a replica and records its join request."""
        request = membership_change.JoinRequest(hello.replica, hello.with_disk)
        requests = self._join_requests.setdefault(hello.group, {})
        requests[hello.replica.vm] = request
        requested_at = self._join_requested_at.setdefault(hello.group, {})
        requested_at[hello.replica.vm] = self._clock.monotonic()
        if group is None:
            return host_messages.HelloAnswer()
        return _hello_answer(group, hello.replica)

    def needs_discovery(self, group: groups.HostedGroup) -> bool:
        """Returns whether a replica has to send hellos.

        This holds for a replica that is not a member, and for one that has
        known no leader for `LEADERLESS_TIMEOUT_S`.
        """
        if not group.is_member:
            return True
        now = self._clock.monotonic()
        if group.engine.leader is not None:
            self._leader_seen_at[group.name] = now
            self._reported_leaders.pop(group.name, None)
        return (
            now - self._leader_seen_at.setdefault(group.name, now)
            > LEADERLESS_TIMEOUT_S
        )

    async def discover(self, group: groups.HostedGroup) -> bool:
        """Sends one round of hellos; bootstraps or recovers the group if due.

        Returns:
            Whether to retire this replica: this VM is not among the desired
            voters, and the replica is fresh or was removed from its group.
        """
        name = group.name
        initial_voters = self._initial_voters.get(name, ())
        desired = self._desired_voters.get(name, ())
        voters = group.engine.membership.voters
        vms = dict.fromkeys(
            [*initial_voters, *desired, *(v.vm for v in voters)]
        )
        vms.pop(self._local_vm, None)
        hello = host_messages.Hello(name, group.replica_id, group.with_disk)
        deadline = self._clock.monotonic() + HELLO_TIMEOUT_S
        answers = await group_bootstrap.send_hellos(
            self._peers, vms, hello, deadline
        )
        self._record_leader(name, answers)
        if group.is_fresh and self._is_bootstrap_vm(name):
            membership = group_bootstrap.initial_membership(
                group.replica_id, group.with_disk, initial_voters, answers
            )
            if membership is not None:
                await group.bootstrap(membership)
                return False
        if group.is_member and not group.is_fresh:
            self._recover_if_due(group, answers)
        if self._local_vm in desired:
            return False
        return group.is_fresh or any(
            answer.established and answer.leader and not answer.member
            for answer in answers.values()
        )

    def _record_leader(
        self, name: str, answers: group_bootstrap.Answers
    ) -> None:
        self._reported_leaders.pop(name, None)
        with_leader = [answer for answer in answers.values() if answer.leader]
        if with_leader and not any(answer.member for answer in with_leader):
            latest = max(with_leader, key=lambda answer: answer.term)
            self._reported_leaders[name] = latest.leader or ""

    def reconcile(self, group: groups.HostedGroup) -> bool:
        """Proposes the next membership change of a group led here, if any.

        Returns:
            Whether a change was proposed.
        """
        view = self._view(group)
        change = membership_change.next_change(view)
        if change is None:
            return False
        with contextlib.suppress(*_CHANGE_REFUSED):
            group.propose_membership(change)
            logs.decision(
                "make-up-change",
                group=group.name,
                desired=",".join(view.desired_voters),
                voters=_names(change.voters),
                learners=_names(change.learners),
                disks=",".join(sorted(change.with_disk)),
            )
            return True
        return False

    def _recover_if_due(
        self, group: groups.HostedGroup, answers: group_bootstrap.Answers
    ) -> None:
        """Continues with the surviving voters if `host_recovery` allows it."""
        recovery = host_recovery.recovery_membership(
            group.engine.membership,
            _hello_answer(group, group.replica_id),
            answers,
        )
        if recovery is None:
            return
        term, membership = recovery
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

    def _desired_learners(self, group: groups.HostedGroup) -> tuple[str, ...]:
        """Returns the VMs that should be learners, besides desired voters."""
        if self._choice is None:
            return ()
        return self._choice.desired_learners(self._voter_view(group))

    def _target_voters(self, group: groups.HostedGroup) -> tuple[str, ...]:
        """Returns the VMs that should vote, as far as this VM knows.

        A VM that has just started knows only the initial voters. If the
        membership has changed since, it stays unchanged until
        `set_desired_voters` is called; otherwise a restart would revert the
        changes.
        """
        if self._choice is not None:
            return self._choice.desired_voters(self._voter_view(group))
        membership = group.engine.membership
        members = [m.vm for m in membership.voters + membership.learners]
        initial_voters = self._initial_voters.get(group.name, ())
        if self._desired_voters_set or set(members) <= set(initial_voters):
            return self._desired_voters.get(group.name, ())
        return tuple(dict.fromkeys(members))

    def _voter_view(self, group: groups.HostedGroup) -> voter_choice.VoterView:
        engine = group.engine
        last_contact_at = {
            replica.vm: follower.last_contact_at
            for replica, follower in engine.progress.items()
        }
        return voter_choice.VoterView(
            tuple(dict.fromkeys(v.vm for v in engine.membership.voters)),
            tuple(dict.fromkeys(v.vm for v in engine.membership.learners)),
            {**last_contact_at, self._local_vm: self._clock.monotonic()},
            self._join_requested_at.get(group.name, {}),
            self._clock.monotonic(),
        )

    def _is_bootstrap_vm(self, name: str) -> bool:
        initial_voters = self._initial_voters.get(name, ())
        if self._local_vm not in initial_voters:
            return False
        return (
            group_bootstrap.bootstrap_vm(initial_voters, self._disks)
            == self._local_vm
        )

    def _view(
        self, group: groups.HostedGroup
    ) -> membership_change.MembershipView:
        engine = group.engine
        progress = engine.progress
        alive_after = self._clock.monotonic() - self._options.election_timeout_s
        alive = {
            replica
            for replica, follower in progress.items()
            if follower.last_contact_at >= alive_after and follower.match > 0
        }
        caught_up = {
            replica
            for replica in alive
            if progress[replica].match + MAX_PROMOTION_LAG >= engine.last_index
        }
        return membership_change.MembershipView(
            engine.membership,
            self._target_voters(group),
            self._join_requests.get(group.name, {}),
            frozenset(caught_up),
            frozenset(alive | {group.replica_id}),
            self._disks,
            self._desired_learners(group),
        )


def _hello_answer(
    group: groups.HostedGroup, sender: types.ReplicaId
) -> host_messages.HelloAnswer:
    engine = group.engine
    membership = engine.membership
    return host_messages.HelloAnswer(
        replica=group.replica_id,
        fresh=group.is_fresh,
        with_disk=group.with_disk,
        member=sender in membership.voters + membership.learners,
        leader=engine.leader.vm if engine.leader else None,
        term=engine.term,
        last_term=engine.term_at(engine.last_index) or 0,
        last_index=engine.last_index,
    )


def _names(replicas: abc.Iterable[types.ReplicaId]) -> str:
    return ",".join(
        f"{replica.vm}/{replica.incarnation}" for replica in replicas
    )
