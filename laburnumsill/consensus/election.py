"""Campaigns, and who may be voted for."""

import enum

from laburnumsill.consensus import membership
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import types


class Stage(enum.Enum):
    """How far a campaign has got."""

    PRE_VOTE = "pre-vote"
    """Asking whether a campaign could succeed, without a new term."""
    VOTE = "vote"
    """Asking for votes in a new term."""


class Campaign:
    """One attempt of a replica to become leader.

    The pre-vote keeps a replica that cannot win from disturbing a leader
    with a newer term.

    Attributes:
        stage: How far it has got.
        ordered: Whether the leader asked for it, so that no voter refuses
            it because it still hears from that leader.

    References:
        D. Ongaro, "Consensus: bridging theory and practice", 2014,
        section 9.6.
    """

    def __init__(
        self, replica: replica_module.Replica, stage: Stage, ordered: bool
    ) -> None:
        self.stage = stage
        self.ordered = ordered
        self._replica = replica
        self._granted = {replica.me}

    @property
    def won(self) -> bool:
        """Whether a majority of the voters supports it."""
        voters = self._replica.log.membership.voters
        granted = sum(voter in self._granted for voter in voters)
        return granted >= membership.majority(self._replica.log.membership)

    def start(self) -> None:
        """Enters the new term if this is the real vote; asks all voters."""
        replica = self._replica
        term = replica.term + 1
        kind = types.MessageKind.PRE_VOTE
        if self.stage is Stage.VOTE:
            kind = types.MessageKind.VOTE
            replica.enter_term(term)
            replica.vote_for(replica.me)
        for voter in replica.log.membership.voters:
            if voter == replica.me:
                continue
            replica.send(
                kind,
                voter,
                term=term,
                index=replica.log.last_index,
                log_term=replica.log.last_term,
                granted=self.ordered,
            )

    def count(self, message: types.Message) -> None:
        """Counts a reply to this campaign."""
        expected = types.MessageKind.PRE_VOTE_REPLY
        term = self._replica.term + 1
        if self.stage is Stage.VOTE:
            expected = types.MessageKind.VOTE_REPLY
            term = self._replica.term
        timely = message.kind is expected and message.term == term
        if timely and message.granted:
            self._granted.add(message.source)


def is_current(replica: replica_module.Replica, message: types.Message) -> bool:
    """Returns whether a candidate's log is at least as new as ours.

    A candidate whose log lacks a committed entry is refused by at least one
    replica of each majority, because one of them holds that entry.
    """
    own = (replica.log.last_term, replica.log.last_index)
    return (message.log_term, message.index) >= own


def answer_pre_vote(
    replica: replica_module.Replica, message: types.Message, led: bool
) -> None:
    """Answers a pre-vote; nothing is promised by it.

    Args:
        replica: This replica.
        message: The PRE_VOTE.
        led: Whether a leader was heard within the election timeout.
    """
    granted = (
        message.term > replica.term and not led and is_current(replica, message)
    )
    replica.send(
        types.MessageKind.PRE_VOTE_REPLY,
        message.source,
        term=message.term if granted else replica.term,
        granted=granted,
    )


def answer_vote(
    replica: replica_module.Replica, message: types.Message
) -> bool:
    """Answers a vote of the present term; returns whether it was granted.

    A replica that has no membership yet answers too: only a candidate whose
    log names it as a voter asks it.
    """
    free = replica.vote is None or replica.vote == message.source
    granted = free and is_current(replica, message)
    if granted:
        replica.vote_for(message.source)
    replica.send(types.MessageKind.VOTE_REPLY, message.source, granted=granted)
    return granted
