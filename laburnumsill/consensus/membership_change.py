"""Choice of the next membership change of a group.

Memberships change by one replica at a time. A new replica is added as a
learner, catches up and is promoted; only then is an undesired voter removed. A
replica that restarted under a new incarnation replaces its predecessor: the
predecessor is removed first and the new incarnation is promoted next, so that
both never count as voters at the same time.
"""

import dataclasses
from collections import abc

from laburnumsill.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """The request of a replica to join a group.

    Attributes:
        replica: The id of the replica.
        with_disk: Whether the replica syncs to a disk.
    """

    replica: types.ReplicaId
    with_disk: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """The state from which a leader derives the next membership change.

    Attributes:
        membership: The current, committed membership.
        desired_voters: The VMs that should have voters.
        join_requests: The join requests by VM.
        caught_up: The reachable learners that have nearly the whole log.
        alive: The replicas with recent contact, including the leader.
        disks: The VMs that have a disk.
        desired_learners: Further VMs that should have learners, so that these
            can be promoted without delay.
    """

    membership: types.Membership
    desired_voters: abc.Sequence[str]
    join_requests: abc.Mapping[str, JoinRequest]
    caught_up: frozenset[types.ReplicaId]
    alive: frozenset[types.ReplicaId]
    disks: frozenset[str]
    desired_learners: abc.Sequence[str] = ()


def next_change(view: MembershipView) -> types.Membership | None:
    """Returns the membership to propose next, or None if no change is due.

    Without any desired voters nothing is changed.

    Examples:
        >>> a, b, c, new = (types.ReplicaId(vm, i) for vm, i in [
        ...     ("a", "1"), ("b", "1"), ("c", "1"), ("c", "2")])
        >>> view = MembershipView(
        ...     types.Membership((a, b, c)), ["a", "b", "c"],
        ...     {"c": JoinRequest(new, False)}, frozenset(),
        ...     frozenset({a, b}), frozenset())
        >>> next_change(view).learners == (new,)
        True
    """
    if not view.desired_voters:
        return None
    return (
        _add_learner(view)
        or _remove_learners(view)
        or _remove_voter(view)
        or _promote_learner(view)
    )


def _add_learner(view: MembershipView) -> types.Membership | None:
    """Adds a desired replica, in place of another learner of its VM."""
    members = view.membership.voters + view.membership.learners
    for vm in (*view.desired_voters, *view.desired_learners):
        request = view.join_requests.get(vm)
        if request is None or request.replica in members:
            continue
        others = tuple(
            learner for learner in view.membership.learners if learner.vm != vm
        )
        return _with_members(
            view, view.membership.voters, (*others, request.replica)
        )
    return None


def _remove_learners(view: MembershipView) -> types.Membership | None:
    """Removes the learners that are not desired."""
    remaining = tuple(
        learner
        for learner in view.membership.learners
        if learner.vm in view.desired_voters
        or learner.vm in view.desired_learners
    )
    if remaining == view.membership.learners:
        return None
    return _with_members(view, view.membership.voters, remaining)


def _promote_learner(view: MembershipView) -> types.Membership | None:
    """Promotes a caught-up learner.

    If a former incarnation on its VM still votes, that one is removed instead.
    """
    for learner in view.membership.learners:
        if (
            learner not in view.caught_up
            or learner.vm not in view.desired_voters
        ):
            continue
        old = [v for v in view.membership.voters if v.vm == learner.vm]
        if old:
            return _without_voter(view, old[0])
        voters = (*view.membership.voters, learner)
        if not _majority_alive(view, voters, learner):
            continue
        learners = tuple(
            other for other in view.membership.learners if other != learner
        )
        return _with_members(view, voters, learners)
    return None


def _remove_voter(view: MembershipView) -> types.Membership | None:
    """Removes an undesired voter after its replacement has been promoted.

    This comes before the next promotion, so that there is never more than one
    voter above the desired number.
    """
    if len(view.membership.voters) <= len(set(view.desired_voters)):
        return None
    for voter in view.membership.voters:
        if voter.vm not in view.desired_voters:
            return _without_voter(view, voter)
    return None


def _without_voter(
    view: MembershipView, removed: types.ReplicaId
) -> types.Membership | None:
    voters = tuple(v for v in view.membership.voters if v != removed)
    if not _majority_alive(view, voters):
        return None
    return _with_members(view, voters, view.membership.learners)


def _majority_alive(
    view: MembershipView,
    voters: tuple[types.ReplicaId, ...],
    promoted: types.ReplicaId | None = None,
) -> bool:
    """Returns whether a change to `voters` could be committed now."""
    alive = sum(v in view.alive or v == promoted for v in voters)
    return alive > len(voters) // 2


def _with_members(
    view: MembershipView,
    voters: tuple[types.ReplicaId, ...],
    learners: tuple[types.ReplicaId, ...],
) -> types.Membership:
    """Returns a membership whose disks are those of its replicas.

    The disk of a learner on the VM of a voter counts only after that voter was
    removed, because the membership records disks by VM.
    """
    voting = {voter.vm for voter in voters}
    counted = voters + tuple(v for v in learners if v.vm not in voting)
    disks = frozenset(v.vm for v in counted if _has_disk(view, v))
    return types.Membership(voters, learners, disks)


def _has_disk(view: MembershipView, replica: types.ReplicaId) -> bool:
    """Returns whether a replica has a disk.

    The join request of the replica says so, but only VMs that ran at that time
    received the request. The leader may not be one of them; then the record in
    the membership counts.
    """
    recorded = replica.vm in view.membership.with_disk
    if replica in view.membership.voters:
        return recorded
    request = view.join_requests.get(replica.vm)
    if request is not None and request.replica == replica:
        return request.with_disk
    return recorded or replica.vm in view.disks
