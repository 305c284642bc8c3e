"""Entries of the member table and the order of reports on a member.

The version of a report is (incarnation, sequence, gone). Incarnations of a
member are compared as strings, so a member uses its start time in a fixed
width as its incarnation. A merge of two reports keeps the one with the
greater version. Merging is commutative, associative and idempotent, so late,
reordered and repeated notices have no effect.
"""

import dataclasses
import math

import xxhash

from laburnumsill.core import members
from laburnumsill.members import messages

FINAL_SEQUENCE = 2**62
"""Sequence of the final report on an incarnation that has left."""

Member = members.BackendServer | members.Worker
Group = tuple[str, str]
"""Kind and service of servers, or kind and domain of workers.

Lookups return all members of a group.
"""

Version = tuple[str, int, bool]

SERVER = "server"
WORKER = "worker"


@dataclasses.dataclass(slots=True)
class Entry:
    """Entry of one member; times are points on the monotonic clock.

    Attributes:
        key: See `member_key`.
        member: The newest report on the member.
        digest: See `content_digest`.
        gone: Whether the member is gone, which makes the entry a tombstone.
        watcher_rank: 0 if this VM is the first watcher of the member, 1 if it
            is the second, otherwise None.
        expires_at: When the TTL or the suspicion ends; infinite if this VM is
            not a watcher.
        watched_since: When this VM became a watcher of the member, or last
            resumed after a stall.
        suspicion_expires_at: When the query to the other watcher times out;
            None if the member is not suspected.
        last_contact_at: When an announcement last reached this VM or, as
            reported in a `messages.SuspicionReply`, another VM.
        updated_at: When this VM last merged a newer report.
        confirmed_at: When a VM of the domain last confirmed the entry.
        interval_ms: Announcement interval of the member in milliseconds.
        gone_at: When the member was declared gone; infinite if it was not.
        broadcast_busy: Busy slots in the last broadcast.
        broadcast_busy_at: When the last broadcast was queued.
    """

    key: int
    member: Member
    digest: int
    gone: bool
    watcher_rank: int | None = None
    expires_at: float = math.inf
    watched_since: float = -math.inf
    suspicion_expires_at: float | None = None
    last_contact_at: float = -math.inf
    updated_at: float = -math.inf
    confirmed_at: float = -math.inf
    interval_ms: int = 0
    gone_at: float = math.inf
    broadcast_busy: int = 0
    broadcast_busy_at: float = -math.inf

    @property
    def version(self) -> Version:
        """Version of the report, which decides between two reports."""
        return version(self.member, self.gone)

    @property
    def evidence_at(self) -> float:
        """Time of the latest contact, update or confirmation."""
        return max(self.last_contact_at, self.updated_at, self.confirmed_at)

    def row(self, now: float) -> messages.Row:
        """Returns the row to send to other VMs, with ages as of `now`."""
        server = worker = None
        if isinstance(self.member, members.BackendServer):
            server = self.member
        else:
            worker = self.member
        if not self.gone:
            return messages.Row(server, worker, False, self.interval_ms)
        gone_ms = max(0, int((now - self.gone_at) * 1000))
        return messages.Row(server, worker, True, gone_ms=gone_ms)


def version(member: Member, gone: bool) -> Version:
    """Returns the version of a report; see the module docstring."""
    return member.incarnation, member.sequence, gone


def member_id(member: Member) -> str:
    """Returns the id of a member, which for a server includes its service.

    Examples:
        >>> server = members.BackendServer("s1", "tee", "n", "", "i", 1, 8, 64)
        >>> member_id(server)
        'tee/s1'
    """
    if isinstance(member, members.BackendServer):
        return server_member_id(member.service, member.server_id)
    return member.worker_id


def server_member_id(service: str, server_id: str) -> str:
    """Returns the member id of a backend server."""
    return f"{service}/{server_id}"


def kind_of(member: Member) -> str:
    """Returns the kind of a member: ``server`` or ``worker``."""
    if isinstance(member, members.BackendServer):
        return SERVER
    return WORKER


def group_of(member: Member) -> Group:
    """Returns the group of a member, fixed as long as it keeps its domain."""
    if isinstance(member, members.BackendServer):
        return SERVER, member.service
    return WORKER, member.domain


def key_of(kind: str, identifier: str) -> int:
    """Returns the 64-bit key of a member, given its kind and member id."""
    return xxhash.xxh64_intdigest(f"{kind}\0{identifier}".encode())


def member_key(member: Member) -> int:
    """Returns the 64-bit key of a member."""
    return key_of(kind_of(member), member_id(member))


def content_digest(member: Member) -> int:
    """Returns a digest of all fields but sequence and busy slots.

    Those two change with each announcement, the others rarely.
    """
    if isinstance(member, members.BackendServer):
        fixed: Member = dataclasses.replace(member, sequence=0, busy=0)
    else:
        fixed = dataclasses.replace(member, sequence=0)
    return xxhash.xxh64_intdigest(repr(fixed).encode())


def member_of(row: messages.Row) -> Member | None:
    """Returns the member of a row, or None if the row is malformed."""
    return row.server if row.server is not None else row.worker


def busy_of(member: Member) -> int:
    """Returns the busy slots of a server, or 0 for a worker."""
    return member.busy if isinstance(member, members.BackendServer) else 0


def with_heartbeat(member: Member, sequence: int, busy: int) -> Member:
    """Returns the member with sequence and busy slots of a heartbeat."""
    if isinstance(member, members.BackendServer):
        return dataclasses.replace(member, sequence=sequence, busy=busy)
    return dataclasses.replace(member, sequence=sequence)
