"""Leader election: campaigns and the rules for granting votes."""

import enum

from laburnumsill.consensus import membership
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import types


class Stage(enum.Enum):
    """Stage of a campaign."""

    PRE_VOTE = "pre-vote"
    """Asks whether a vote could succeed, without entering a new term."""
    VOTE = "vote"
    """Requests votes in a new term."""


class Campaign:
    """A candidate's attempt to become leader.

    The pre-vote keeps a replica that cannot win from disturbing a leader
    with a newer term.

    Attributes:
        stage: Pre-vote or vote.
        for_transfer: Whether the leader asked for the campaign by TIMEOUT_NOW,
            so that voters do not refuse it although their leader is alive.

    References:
        D. Ongaro, "Consensus: bridging theory and practice", 2014,
        section 9.6.
    """

    def __init__(
        self, replica: replica_module.Replica, stage: Stage, for_transfer: bool
    ) -> None:
        self.stage = stage
        self.for_transfer = for_transfer
        self._replica = replica
        self._supporters = {replica.replica_id}

    @property
    def won(self) -> bool:
        """Whether a majority of the voters has granted its vote."""
        voters = self._replica.log.membership.voters
        granted = sum(voter in self._supporters for voter in voters)
        return granted >= membership.majority(self._replica.log.membership)

    def start(self) -> None:
        """Enters a new term in the vote stage; requests all other votes."""
        replica = self._replica
        term = replica.term + 1
        kind = types.MessageKind.PRE_VOTE
        if self.stage is Stage.VOTE:
            kind = types.MessageKind.VOTE
            replica.enter_term(term)
            replica.vote_for(replica.replica_id)
        for voter in replica.log.membership.voters:
            if voter == replica.replica_id:
                continue
            replica.send(
                kind,
                voter,
                term=term,
                index=replica.log.last_index,
                log_term=replica.log.last_term,
                granted=self.for_transfer,
            )

    def count(self, message: types.Message) -> None:
        """Counts a reply to this campaign."""
        expected = types.MessageKind.PRE_VOTE_REPLY
        term = self._replica.term + 1
        if self.stage is Stage.VOTE:
            expected = types.MessageKind.VOTE_REPLY
            term = self._replica.term
        matches = message.kind is expected and message.term == term
        if matches and message.granted:
            self._supporters.add(message.source)


def is_up_to_date(
    replica: replica_module.Replica, message: types.Message
) -> bool:
    """Returns whether a candidate's log is at least as up-to-date as ours.

    A candidate that lacks a committed entry is refused by at least one replica
    of every majority, because every majority contains a holder of that entry.
    """
    own = (replica.log.last_term, replica.log.last_index)
    return (message.log_term, message.index) >= own


def answer_pre_vote(
    replica: replica_module.Replica,
    message: types.Message,
    has_live_leader: bool,
) -> bool:
    """Answers a PRE_VOTE; returns whether it was granted.

    Granting it does not bind this replica.

    Args:
        replica: This replica.
        message: The PRE_VOTE.
        has_live_leader: Whether a leader sent a message within the election
            timeout.
    """
    granted = (
        message.term > replica.term
        and not has_live_leader
        and is_up_to_date(replica, message)
    )
    replica.send(
        types.MessageKind.PRE_VOTE_REPLY,
        message.source,
        term=message.term if granted else replica.term,
        granted=granted,
    )
    return granted


def goes_before(
    replica: replica_module.Replica, message: types.Message
) -> bool:
    """Returns whether the sender of a PRE_VOTE goes before this candidate.

    The candidate with the more up-to-date log does, else that with the lower
    id.
    """
    own = (replica.log.last_term, replica.log.last_index)
    other = (message.log_term, message.index)
    if other != own:
        return other > own
    return message.source < replica.replica_id


def answer_vote(
    replica: replica_module.Replica, message: types.Message
) -> bool:
    """Answers a VOTE of the current term; returns whether it was granted.

    A replica without a membership answers too, because only candidates whose
    log has it as a voter request its vote.
    """
    may_vote = replica.vote is None or replica.vote == message.source
    granted = may_vote and is_up_to_date(replica, message)
    if granted:
        replica.vote_for(message.source)
    replica.send(types.MessageKind.VOTE_REPLY, message.source, granted=granted)
    return granted
