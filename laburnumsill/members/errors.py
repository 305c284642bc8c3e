"""Failures of announcements."""

from laburnumsill.core import errors


class UnknownServiceError(errors.UnknownNameError):
    """A backend server of a service that the configuration lacks."""

    slug = "unknown-service"
    title = "Unknown service"


class UnknownDomainError(errors.UnknownNameError):
    """A member of a failure domain that has no VM."""

    slug = "unknown-domain"
    title = "Unknown failure domain"


class UnknownMemberError(errors.NotFoundError):
    """A member that this VM does not know."""

    slug = "unknown-member"
    title = "Unknown member"


class StaleIncarnationError(errors.ConflictError):
    """A member of which a later incarnation has announced itself."""

    slug = "stale-incarnation"
    title = "A later incarnation is known"


class DomainUnreachableError(errors.UnavailableError):
    """No VM of the member's failure domain can be reached from this one."""

    slug = "domain-unreachable"
    title = "The failure domain cannot be reached from here"


class CutOffError(errors.UnavailableError):
    """This VM reaches no other and could not pass an announcement on."""

    slug = "cut-off"
    title = "This VM is cut off from the others"


class TableFullError(errors.OverloadedError):
    """The failure domain has as many members as can be known."""

    slug = "member-table-full"
    title = "The member table is full"
