"""Errors that the consensus engine raises."""

from laburnumsill.core import errors


class NotLeaderError(errors.NoQuorumError):
    """This replica does not lead, or is handing its lead over.

    Attributes:
        leader: The VM that leads as far as is known, or None.
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
    """A VM did not confirm that it leads, so no command was sent to it."""

    slug = "lead-unconfirmed"
    title = "The lead was not confirmed"


class NoRoomError(errors.UnavailableError):
    """So many disks are full that nothing could be committed."""

    slug = "no-room"
    title = "The disks of too many voters are full"


class MembershipPendingError(errors.UnavailableError):
    """The last change of the membership is not committed yet."""

    slug = "membership-pending"
    title = "Another membership change is not committed yet"


class InvalidMembershipError(errors.InvalidInputError):
    """A membership that may not follow the present one."""

    slug = "invalid-membership"
    title = "The membership may not follow the present one"


class NoSuchVoterError(errors.InvalidInputError):
    """The lead cannot go to a VM that has no voter."""

    slug = "no-such-voter"
    title = "The VM has no voter in the group"


class LogBrokenError(errors.StorageError):
    """A rule that the log depends on was broken; the replica must stop."""

    slug = "log-broken"
    title = "The replicated log is broken"
