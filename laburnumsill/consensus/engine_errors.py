"""Errors that the consensus engine raises."""

from laburnumsill.core import errors


class NotLeaderError(errors.NoQuorumError):
    """This replica does not lead, or is transferring leadership.

    Attributes:
        leader: VM of the leader, or None if unknown.
    """

    slug = "not-leader"
    title = "This replica does not lead the group"

    def __init__(
        self,
        detail: str,
        *,
        leader: str | None = None,
        retry_after_s: float | None = None,
        **context: errors.Context,
    ) -> None:
        super().__init__(
            detail, retry_after_s=retry_after_s, leader=leader, **context
        )
        self.leader = leader


class LeadUnconfirmedError(errors.NoQuorumError):
    """A VM did not confirm its leadership, so it was sent no command."""

    slug = "lead-unconfirmed"
    title = "The lead was not confirmed"


class NoRoomError(errors.UnavailableError):
    """Too few voters can write, so no entry can be committed."""

    slug = "no-room"
    title = "The disks of too many voters are full"


class MembershipPendingError(errors.UnavailableError):
    """The previous membership change is not committed yet."""

    slug = "membership-pending"
    title = "Another membership change is not committed yet"


class InvalidMembershipError(errors.InvalidInputError):
    """A change from the current membership that is not allowed."""

    slug = "invalid-membership"
    title = "The membership may not follow the present one"


class NoSuchVoterError(errors.InvalidInputError):
    """The target VM of a leadership transfer has no voter."""

    slug = "no-such-voter"
    title = "The VM has no voter in the group"


class LogBrokenError(errors.StorageError):
    """A safety invariant of the log is violated; the replica must stop."""

    slug = "log-broken"
    title = "The replicated log is broken"
