"""What one VM knows of one member, and which of two reports is newer.

A report's version is (incarnation, sequence, gone). Incarnations of a member
are ordered as strings, so a member takes its start time, in a fixed width.
Of two reports the greater version stays; the join is commutative,
associative and idempotent, so that late, crossed and repeated notices do no
harm.
"""

import dataclasses
import math

import xxhash

from laburnumsill.core import members
from laburnumsill.members import messages

FINAL_SEQUENCE = 2**62
"""Sequence of the report that a member has left for good."""

Member = members.BackendServer | members.Worker
Group = tuple[str, str]
"""Kind and service, or kind and domain: members that are asked for together."""

Version = tuple[str, int, bool]

SERVER = "server"
WORKER = "worker"


@dataclasses.dataclass(slots=True)
class Entry:
    """One member; times are points on the monotonic clock.

    Attributes:
        key: See `member_key`.
        member: Its newest report.
        digest: See `content_digest`.
        gone: Whether it is gone.
        rank: 0 for the first watcher, 1 for the second, None for others.
        due: When it is gone unless heard again; infinite for others than
            watchers.
        adopted_at: When this VM became its watcher or stood still.
        suspected_until: When an suspicion has waited long enough, or None.
        heard_at: When an announcement last reached this VM.
        learnt_at: When a newer report last reached this VM.
        confirmed_at: When a VM of its domain last said it knows the same.
        next_ms: What the member was told, in milliseconds.
        gone_at: When it was declared gone, if it is.
        broadcast_busy: Busy slots that all VMs know of.
        broadcast_busy_at: When they were told.
    """

    key: int
    member: Member
    digest: int
    gone: bool
    rank: int | None = None
    due: float = math.inf
    adopted_at: float = -math.inf
    suspected_until: float | None = None
    heard_at: float = -math.inf
    learnt_at: float = -math.inf
    confirmed_at: float = -math.inf
    next_ms: int = 0
    gone_at: float = math.inf
    broadcast_busy: int = 0
    broadcast_busy_at: float = -math.inf

    @property
    def version(self) -> Version:
        """What decides between two reports."""
        return version(self.member, self.gone)

    @property
    def evidence_at(self) -> float:
        """When this VM last had a reason to believe this entry."""
        return max(self.heard_at, self.learnt_at, self.confirmed_at)

    def row(self, now: float) -> messages.Row:
        """Returns this entry for other VMs, with ages as of `now`."""
        server = worker = None
        if isinstance(self.member, members.BackendServer):
            server = self.member
        else:
            worker = self.member
        if not self.gone:
            return messages.Row(server, worker, False, self.next_ms)
        gone_ms = max(0, int((now - self.gone_at) * 1000))
        return messages.Row(server, worker, True, gone_ms=gone_ms)


def version(member: Member, gone: bool) -> Version:
    """Returns the version of a report."""
    return member.incarnation, member.sequence, gone


def member_id(member: Member) -> str:
    """Returns a member's id; a server's is unique with its service only.

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
    """Returns ``server`` or ``worker``."""
    if isinstance(member, members.BackendServer):
        return SERVER
    return WORKER


def group_of(member: Member) -> Group:
    """Returns the group of a member, which never changes in its domain."""
    if isinstance(member, members.BackendServer):
        return SERVER, member.service
    return WORKER, member.domain


def key_of(kind: str, identifier: str) -> int:
    """Returns the 64-bit key of a member."""
    return xxhash.xxh64_intdigest(f"{kind}\0{identifier}".encode())


def member_key(member: Member) -> int:
    """Returns the 64-bit key of a member."""
    return key_of(kind_of(member), member_id(member))


def content_digest(member: Member) -> int:
    """Returns a digest of all but what changes with each announcement."""
    if isinstance(member, members.BackendServer):
        fixed: Member = dataclasses.replace(member, sequence=0, busy=0)
    else:
        fixed = dataclasses.replace(member, sequence=0)
    return xxhash.xxh64_intdigest(repr(fixed).encode())


def member_of(row: messages.Row) -> Member | None:
    """Returns the member that a row is about, None if it is damaged."""
    return row.server if row.server is not None else row.worker


def busy_of(member: Member) -> int:
    """Returns a server's busy slots, 0 for a worker."""
    return member.busy if isinstance(member, members.BackendServer) else 0


def with_heartbeat(member: Member, sequence: int, busy: int) -> Member:
    """Returns the member as of a later heartbeat."""
    if isinstance(member, members.BackendServer):
        return dataclasses.replace(member, sequence=sequence, busy=busy)
    return dataclasses.replace(member, sequence=sequence)
