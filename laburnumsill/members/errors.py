"""Errors of announcements."""

from laburnumsill.core import errors


class UnknownServiceError(errors.UnknownNameError):
    """The service of a backend server is not in the configuration."""

    slug = "unknown-service"
    title = "Unknown service"


class UnknownDomainError(errors.UnknownNameError):
    """The failure domain of a member has no VM."""

    slug = "unknown-domain"
    title = "Unknown failure domain"


class UnknownMemberError(errors.NotFoundError):
    """The member is not in the table of this VM."""

    slug = "unknown-member"
    title = "Unknown member"


class StaleIncarnationError(errors.ConflictError):
    """A later incarnation of the member has announced itself."""

    slug = "stale-incarnation"
    title = "A later incarnation is known"


class DomainUnreachableError(errors.UnavailableError):
    """No VM of the failure domain of the member is reachable."""

    slug = "domain-unreachable"
    title = "The failure domain cannot be reached from here"


class CutOffError(errors.UnavailableError):
    """This VM reaches no other VM and cannot forward announcements."""

    slug = "cut-off"
    title = "This VM is cut off from the others"


class TableFullError(errors.OverloadedError):
    """The failure domain has reached the maximum number of members."""

    slug = "member-table-full"
    title = "The member table is full"
