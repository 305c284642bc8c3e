"""The role a replica has in its term, and how it changes."""

from laburnumsill.consensus import election
from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import leading
from laburnumsill.consensus import patience as patience_module
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import types

FIRST_WAIT = 0.4
"""Share of the election timeout that a replica waits at least after it has
started: time for connections to be made and a heartbeat to come."""


class Role:
    """Whether a replica leads, campaigns or follows.

    Attributes:
        leadership: What a leader keeps, or None.
        campaign: The present campaign, or None.
        leader: The leader of the present term, as far as is known.
        election_at: When to campaign unless a leader is heard before.
    """

    def __init__(self, replica: replica_module.Replica) -> None:
        self.leadership: leading.Leadership | None = None
        self.campaign: election.Campaign | None = None
        self.leader: types.ReplicaId | None = None
        self.election_at = replica.now
        self._replica = replica
        self._heard_at = replica.now
        self._heard: tuple[types.ReplicaId, int] | None = None
        self._patience = patience_module.Patience(replica.options)
        self._wait_at_start()

    @property
    def name(self) -> str:
        """One of leader, candidate, follower and learner."""
        if self.leadership:
            return "leader"
        if self.campaign:
            return "candidate"
        return "follower" if self._replica.may_campaign else "learner"

    def hear(self, leader: types.ReplicaId) -> None:
        """Follows the leader that a message of the present term came from.

        Raises:
            engine_errors.LogBrokenError: This replica leads the term itself.
        """
        if self.leadership:
            raise engine_errors.LogBrokenError(
                f"two leaders in term {self._replica.term}: {leader!r} and"
                f" {self._replica.me!r}"
            )
        lead = (leader, self._replica.term)
        if lead != self._heard:
            self._patience.lose()
        self._heard = lead
        self.campaign = None
        self.leader = leader
        self._heard_at = self._replica.now
        self._patience.hear(self._heard_at)
        self._wait_for_leader()

    def led(self) -> bool:
        """Returns whether a leader was heard and is not missed yet."""
        if self.leadership:
            return self.leadership.supported
        patience_s = self._patience.timeout_s
        return (
            self.leader is not None
            and self._replica.now < self._heard_at + patience_s
        )

    def meet_newer_term(self, message: types.Message) -> bool:
        """Enters a newer term; returns whether to go on with the message."""
        kind = message.kind
        if kind is types.MessageKind.PRE_VOTE:
            return True
        if kind is types.MessageKind.PRE_VOTE_REPLY and message.granted:
            return True
        uninvited = kind is types.MessageKind.VOTE and not message.granted
        if uninvited and self.led():
            return False
        self.step_down()
        self._replica.enter_term(message.term)
        return True

    def leave_if_removed(self) -> None:
        """Hands over once the membership without this replica is committed."""
        if self.leadership and self.leadership.removed:
            self.leadership.hand_over()
            self.step_down()

    def miss_leader(self) -> None:
        """Campaigns, or waits on, after a time without a leader."""
        self.leader = None
        if self._replica.may_campaign and self._replica.writable:
            self.start_campaign(election.Stage.PRE_VOTE, ordered=False)
        else:
            self._wait_for_leader()

    def start_campaign(self, stage: election.Stage, ordered: bool) -> None:
        """Campaigns, if this replica is a voter and can store its vote.

        Args:
            stage: Whether to begin with the pre-vote or the vote.
            ordered: Whether the leader asked for it.
        """
        replica = self._replica
        ready = replica.may_campaign and replica.writable
        if self.leadership or not ready:
            return
        self.leader = None
        self.campaign = election.Campaign(self._replica, stage, ordered)
        self.campaign.start()
        self._wait_for_votes()
        self._finish_campaign()

    def _finish_campaign(self) -> None:
        campaign = self.campaign
        if campaign is None or not campaign.won:
            return
        self.campaign = None
        if campaign.stage is election.Stage.PRE_VOTE:
            self.start_campaign(election.Stage.VOTE, ordered=False)
            return
        self.leader = self._replica.me
        self.leadership = leading.Leadership(self._replica)

    def step_down(self) -> None:
        """Becomes a follower that knows no leader."""
        if self.leadership:
            self.leadership.resign()
        self.leadership = None
        self.campaign = None
        self.leader = None
        self._wait_for_leader()

    def _wait_for_leader(self) -> None:
        """Waits once to twice its patience, so that ties are rare."""
        spread = 1 + self._replica.random.random()
        wait_s = self._patience.timeout_s * spread
        self.election_at = self._replica.now + wait_s

    def _wait_at_start(self) -> None:
        """Waits less after a start, as all may have started just now.

        If there is a leader, it is heard within a heartbeat, and the
        pre-vote keeps the others from being disturbed.
        """
        timeout = self._replica.options.election_timeout_s
        spread = FIRST_WAIT + self._replica.random.random() / 2
        self.election_at = self._replica.now + timeout * spread

    def _wait_for_votes(self) -> None:
        """Waits less than for a leader: nothing is disturbed by a retry."""
        spread = (1 + self._replica.random.random()) / 2
        wait_s = self._patience.timeout_s * spread
        self.election_at = self._replica.now + wait_s

    def confirm_support(self) -> leading.Leadership | None:
        """Returns the leadership; gives it up if a majority is silent."""
        if self.leadership and not self.leadership.supported:
            self.step_down()
        return self.leadership

    def answer_candidate(self, message: types.Message) -> None:
        """Answers a pre-vote or a vote."""
        if message.kind is types.MessageKind.PRE_VOTE:
            led = self.led()
            election.answer_pre_vote(self._replica, message, led)
        elif message.term < self._replica.term:
            self._replica.send(
                types.MessageKind.VOTE_REPLY, message.source, granted=False
            )
        elif election.answer_vote(self._replica, message):
            self._wait_for_leader()

    def count_vote(self, message: types.Message) -> None:
        """Counts a reply to the present campaign, if any."""
        if self.campaign:
            self.campaign.count(message)
            self._finish_campaign()
