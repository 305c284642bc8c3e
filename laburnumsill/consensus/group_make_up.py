"""Which change of a group's make-up comes next.

One change at a time: a new replica is added as a learner, catches up and is
promoted; only then is a voter that is no longer wanted removed. A replica
that came back under a new incarnation takes the place of its old one: that
one is removed first and the new one promoted next, so that the dead
incarnation never counts together with the new.
"""

import dataclasses
from collections import abc

from laburnumsill.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that asks to join.

    Attributes:
        replica: The replica.
        with_disk: Whether it syncs to a disk.
    """

    replica: types.ReplicaId
    with_disk: bool


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a leader decides on.

    Attributes:
        membership: The present membership, committed.
        desired: The VMs that are to have the voters.
        candidates: The replicas that ask to join, by VM.
        caught_up: Learners that have nearly all of the log and are there.
        alive: Voters that were heard lately, the leader too.
        disks: The VMs that have a disk.
        prepared: The VMs that are to learn the log besides, so that they can
            be made voters at once.
    """

    membership: types.Membership
    desired: abc.Sequence[str]
    candidates: abc.Mapping[str, Candidate]
    caught_up: frozenset[types.ReplicaId]
    alive: frozenset[types.ReplicaId]
    disks: frozenset[str]
    prepared: abc.Sequence[str] = ()


def next_change(view: View) -> types.Membership | None:
    """Returns the membership to propose next, or None if all is as desired.

    Without any desired VMs nothing is changed.

    Examples:
        >>> a, b, c, new = (types.ReplicaId(vm, i) for vm, i in [
        ...     ("a", "1"), ("b", "1"), ("c", "1"), ("c", "2")])
        >>> view = View(
        ...     types.Membership((a, b, c)), ["a", "b", "c"],
        ...     {"c": Candidate(new, False)}, frozenset(),
        ...     frozenset({a, b}), frozenset())
        >>> next_change(view).learners == (new,)
        True
    """
    if not view.desired:
        return None
    return (
        _add_learner(view)
        or _drop_learner(view)
        or _remove(view)
        or _promote(view)
    )


def _add_learner(view: View) -> types.Membership | None:
    """Adds a wanted replica, in place of another learner of its VM."""
    known = view.membership.voters + view.membership.learners
    for vm in (*view.desired, *view.prepared):
        candidate = view.candidates.get(vm)
        if candidate is None or candidate.replica in known:
            continue
        others = tuple(
            learner for learner in view.membership.learners if learner.vm != vm
        )
        return _with(view, view.membership.voters, (*others, candidate.replica))
    return None


def _drop_learner(view: View) -> types.Membership | None:
    """Removes learners that are not wanted."""
    wanted = tuple(
        learner
        for learner in view.membership.learners
        if learner.vm in view.desired or learner.vm in view.prepared
    )
    if wanted == view.membership.learners:
        return None
    return _with(view, view.membership.voters, wanted)


def _promote(view: View) -> types.Membership | None:
    """Makes a caught-up learner a voter, or makes room for it."""
    for learner in view.membership.learners:
        if learner not in view.caught_up or learner.vm not in view.desired:
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
        return _with(view, voters, learners)
    return None


def _remove(view: View) -> types.Membership | None:
    """Removes a voter that is not wanted, once another has taken its place.

    It goes before the next learner is promoted, so that a majority is never
    larger by more than one voter than it has to be.
    """
    if len(view.membership.voters) <= len(set(view.desired)):
        return None
    for voter in view.membership.voters:
        if voter.vm not in view.desired:
            return _without_voter(view, voter)
    return None


def _without_voter(
    view: View, gone: types.ReplicaId
) -> types.Membership | None:
    voters = tuple(v for v in view.membership.voters if v != gone)
    if not _majority_alive(view, voters):
        return None
    return _with(view, voters, view.membership.learners)


def _majority_alive(
    view: View,
    voters: tuple[types.ReplicaId, ...],
    promoted: types.ReplicaId | None = None,
) -> bool:
    """Whether a change to `voters` could be committed now."""
    alive = sum(v in view.alive or v == promoted for v in voters)
    return alive > len(voters) // 2


def _with(
    view: View,
    voters: tuple[types.ReplicaId, ...],
    learners: tuple[types.ReplicaId, ...],
) -> types.Membership:
    """Returns a membership whose disks are those of its present replicas.

    A learner on the VM of a voter brings its disk in only when that voter
    has gone, because disks are noted by VM.
    """
    voting = {voter.vm for voter in voters}
    counted = voters + tuple(one for one in learners if one.vm not in voting)
    disks = frozenset(one.vm for one in counted if _has_disk(view, one))
    return types.Membership(voters, learners, disks)


def _has_disk(view: View, replica: types.ReplicaId) -> bool:
    """Whether a replica has a disk, as it said itself or as was noted.

    Only those VMs heard it that ran when it asked to join. The leader may be
    another one by now, so what the membership notes of its VM stays.
    """
    marked = replica.vm in view.membership.with_disk
    if replica in view.membership.voters:
        return marked
    candidate = view.candidates.get(replica.vm)
    if candidate is not None and candidate.replica == replica:
        return candidate.with_disk
    return marked or replica.vm in view.disks
