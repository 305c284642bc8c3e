"""The role of a replica in its term, and the transitions between roles."""

from laburnumsill.consensus import election
from laburnumsill.consensus import election_timeout
from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import leader_state
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import types

MIN_STARTUP_TIMEOUT_SHARE = 0.4
"""Minimum startup timeout of a replica as a share of the election timeout. It
leaves time to connect and to receive a heartbeat."""

MAX_CAMPAIGN_DOUBLINGS = 1
"""Number of failed campaigns in a row after which the campaign timer no longer
doubles. A lost leader is missed for longer with each doubling."""


class Role:
    """The role of a replica: leader, candidate, follower or learner.

    Attributes:
        leadership: The leader state, or None.
        campaign: The current campaign, or None.
        leader: The leader of the current term, or None if unknown.
        election_deadline: Monotonic time at which the election timer expires.
        failed_campaigns: Number of campaigns in a row that timed out since a
            leader was known.
    """

    def __init__(self, replica: replica_module.Replica) -> None:
        self.leadership: leader_state.Leadership | None = None
        self.campaign: election.Campaign | None = None
        self.leader: types.ReplicaId | None = None
        self.election_deadline = replica.now
        self.failed_campaigns = 0
        self._replica = replica
        self._unfinished_vote: election.Campaign | None = None
        self._yielded_in: int | None = None
        self._last_contact_at = replica.now
        self._followed: tuple[types.ReplicaId, int] | None = None
        self._election_timeout = election_timeout.ElectionTimeout(
            replica.options
        )
        self._set_startup_timer()

    @property
    def name(self) -> str:
        """The role: leader, candidate, follower or learner."""
        if self.leadership:
            return "leader"
        if self.campaign:
            return "candidate"
        return "follower" if self._replica.may_campaign else "learner"

    def follow(self, leader: types.ReplicaId) -> None:
        """Follows `leader`, which sent a message in the current term.

        Raises:
            engine_errors.LogBrokenError: This replica is leader of the term.
        """
        if self.leadership:
            raise engine_errors.LogBrokenError(
                f"two leaders in term {self._replica.term}: {leader!r} and"
                f" {self._replica.replica_id!r}"
            )
        followed = (leader, self._replica.term)
        if followed != self._followed:
            self._election_timeout.reset()
        self._followed = followed
        self._end_campaigns()
        self.leader = leader
        self.failed_campaigns = 0
        self._last_contact_at = self._replica.now
        self._election_timeout.on_leader_message(self._last_contact_at)
        self._reset_election_timer()

    def has_live_leader(self) -> bool:
        """Returns whether the known leader is still considered alive.

        For a leader, returns whether a majority has replied to it within the
        election timeout.
        """
        if self.leadership:
            return self.leadership.has_quorum
        timeout_s = self._election_timeout.seconds
        return (
            self.leader is not None
            and self._replica.now < self._last_contact_at + timeout_s
        )

    def handle_newer_term(self, message: types.Message) -> bool:
        """Handles a message of a newer term.

        PRE_VOTE and granted PRE_VOTE_REPLY do not change the term. VOTE is
        ignored while the leader is alive, unless it results from a leadership
        transfer. Any other message makes this replica enter the term.

        Returns:
            Whether the message is to be processed further.
        """
        kind = message.kind
        if kind is types.MessageKind.PRE_VOTE:
            return True
        if kind is types.MessageKind.PRE_VOTE_REPLY and message.granted:
            return True
        needs_no_leader = kind is types.MessageKind.VOTE and not message.granted
        if needs_no_leader and self.has_live_leader():
            return False
        self.step_down()
        self._replica.enter_term(message.term)
        return True

    def resign_if_removed(self) -> None:
        """Steps down once a membership without this replica is committed."""
        if self.leadership and self.leadership.removed:
            self.leadership.transfer_to_best_voter()
            self.step_down()

    def on_election_timeout(self) -> None:
        """Starts a campaign if possible, else restarts the election timer."""
        self.leader = None
        if self.campaign:
            self.failed_campaigns += 1
        if self._replica.may_campaign and self._replica.writable:
            self.start_campaign(election.Stage.PRE_VOTE, for_transfer=False)
        else:
            self._reset_election_timer()

    def start_campaign(self, stage: election.Stage, for_transfer: bool) -> None:
        """Starts a campaign if this replica may campaign and can store a vote.

        Args:
            stage: The first stage, pre-vote or vote.
            for_transfer: Whether the leader asked for the campaign, by a
                leadership transfer.
        """
        replica = self._replica
        ready = replica.may_campaign and replica.writable
        if self.leadership or not ready:
            return
        self.leader = None
        self.campaign = election.Campaign(self._replica, stage, for_transfer)
        if stage is election.Stage.VOTE:
            self._unfinished_vote = self.campaign
        self.campaign.start()
        self._set_campaign_timer()
        self._finish_campaign(self.campaign)

    def _finish_campaign(self, campaign: election.Campaign) -> None:
        if not campaign.won:
            return
        self._end_campaigns()
        if campaign.stage is election.Stage.PRE_VOTE:
            self.start_campaign(election.Stage.VOTE, for_transfer=False)
            return
        self.failed_campaigns = 0
        self.leader = self._replica.replica_id
        self.leadership = leader_state.Leadership(self._replica)

    def _end_campaigns(self) -> None:
        self.campaign = None
        self._unfinished_vote = None

    def step_down(self) -> None:
        """Becomes a follower without a known leader."""
        if self.leadership:
            self.leadership.fail_pending_reads()
        self.leadership = None
        self._end_campaigns()
        self.leader = None
        self._reset_election_timer()

    def _reset_election_timer(self) -> None:
        """Restarts the timer with one to two election timeouts.

        The random spread makes split votes rare.
        """
        spread = 1 + self._replica.random.random()
        wait_s = self._election_timeout.seconds * spread
        self.election_deadline = self._replica.now + wait_s

    def _set_startup_timer(self) -> None:
        """Starts a shorter timer, as the whole group may just have started.

        An existing leader sends a heartbeat within this time, and the
        pre-vote keeps a premature campaign from disturbing the others.
        """
        timeout = self._replica.options.election_timeout_s
        spread = MIN_STARTUP_TIMEOUT_SHARE + self._replica.random.random() / 2
        self.election_deadline = self._replica.now + timeout * spread

    def _set_campaign_timer(self) -> None:
        """Starts the campaign timer with half to one election timeout.

        It is shorter than a follower's timer because a retried campaign
        disturbs no leader.
        """
        spread = (1 + self._replica.random.random()) / 2
        doublings = min(self.failed_campaigns, MAX_CAMPAIGN_DOUBLINGS)
        wait_s = self._election_timeout.seconds * spread * 2**doublings
        self.election_deadline = self._replica.now + wait_s

    def check_quorum(self) -> leader_state.Leadership | None:
        """Steps down without a quorum; returns the leader state, if any."""
        if self.leadership and not self.leadership.has_quorum:
            self.step_down()
        return self.leadership

    def answer_candidate(self, message: types.Message) -> None:
        """Answers a PRE_VOTE or VOTE request."""
        if message.kind is types.MessageKind.PRE_VOTE:
            has_live_leader = self.has_live_leader()
            if election.answer_pre_vote(
                self._replica, message, has_live_leader
            ):
                self._yield_to(message)
        elif message.term < self._replica.term:
            self._replica.send(
                types.MessageKind.VOTE_REPLY, message.source, granted=False
            )
        elif election.answer_vote(self._replica, message):
            self._reset_election_timer()

    def _yield_to(self, message: types.Message) -> None:
        """Abandons a pre-vote in favour of a candidate that goes before.

        Two candidates whose pre-votes cross would both win them and split the
        votes. Loops that are held up wake each other in step, so that random
        timers alone do not separate them. A replica yields once a term, as the
        other candidate may be unable to win.
        """
        campaign = self.campaign
        if campaign is None or campaign.stage is election.Stage.VOTE:
            return
        if self._yielded_in == self._replica.term:
            return
        if election.goes_before(self._replica, message):
            self.campaign = None
            self._yielded_in = self._replica.term
            self._set_campaign_timer()

    def count_vote(self, message: types.Message) -> None:
        """Counts a reply to the current campaign or to the vote before it.

        A vote outlasts its timer until this replica enters another term: while
        the next pre-vote is under way, a majority of late votes still elects
        this replica in the current term.
        """
        is_vote = message.kind is types.MessageKind.VOTE_REPLY
        campaign = self._unfinished_vote if is_vote else self.campaign
        if campaign:
            campaign.count(message)
            self._finish_campaign(campaign)
