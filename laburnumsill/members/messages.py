"""Notices between the member tables of two VMs.

A handler receives only the notice, so a notice that needs a reply contains
its sender. Members are identified by 64-bit keys and their contents by 64-bit
digests, see `entries`; a heartbeat in a batch takes about 25 bytes.
"""

import dataclasses

from laburnumsill.core import codec
from laburnumsill.core import members

Heartbeat = tuple[int, int, int, int, int]
"""Heartbeat: key, digest, sequence, busy slots, announcement interval in ms."""

LastContact = tuple[int, int, int, int, int]
"""Last contact: key, digest, sequence, age and announcement interval in ms."""


@codec.register("members.row")
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Full report on one member, with either a server or a worker.

    Attributes:
        server: A backend server, or None.
        worker: A worker, or None.
        gone: Whether the member is gone.
        next_ms: Announcement interval of the member in milliseconds.
        gone_ms: Time since the member was declared gone, in milliseconds.
    """

    server: members.BackendServer | None = None
    worker: members.Worker | None = None
    gone: bool = False
    next_ms: int = 0
    gone_ms: int = 0


@codec.register("members.rows")
@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of new or changed members.

    Attributes:
        sender: The VM that sends the notice.
        rows: The rows.
        heard: Whether the rows are forwarded announcements, which count as
            contacts, as opposed to broadcasts.
        relayed: Whether the receiver must not relay the rows again.
    """

    sender: str
    rows: tuple[Row, ...]
    heard: bool = False
    relayed: bool = False


@codec.register("members.heartbeats")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Heartbeats of unchanged members, for a watcher.

    Attributes:
        sender: The VM that sends the notice.
        heartbeats: The heartbeats.
        relayed: Whether the receiver must not relay the heartbeats again.
    """

    sender: str
    heartbeats: tuple[Heartbeat, ...]
    relayed: bool = False


@codec.register("members.wanted")
@dataclasses.dataclass(frozen=True, slots=True)
class RowRequest:
    """Request for the rows of heartbeats whose members the sender lacks."""

    sender: str
    keys: tuple[int, ...]


@codec.register("members.suspicion")
@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Query for last contacts of members that the sender suspects."""

    sender: str
    keys: tuple[int, ...]


@codec.register("members.confirmed")
@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionReply:
    """The reply to a suspicion.

    Attributes:
        sender: The VM that sends the notice.
        heard: Last contacts of the members whose TTL has not ended here.
        silent: Keys of the other members in the query.
    """

    sender: str
    heard: tuple[LastContact, ...]
    silent: tuple[int, ...]


@codec.register("members.probe")
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Comparison of a domain's digest with that of a VM of the domain.

    Attributes:
        sender: The VM that sends the notice.
        domain: The failure domain.
        number: Number of this probe, repeated in the replies.
        root: Digest of all present members of the domain at the sender.
    """

    sender: str
    domain: str
    number: int
    root: int


@codec.register("members.agreed")
@dataclasses.dataclass(frozen=True, slots=True)
class Agreed:
    """The reply to a probe whose digest matches."""

    domain: str
    number: int
    root: int


@codec.register("members.differs")
@dataclasses.dataclass(frozen=True, slots=True)
class Differs:
    """The reply to a probe whose digest differs: digests of all buckets."""

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]


@codec.register("members.pull")
@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Request for the rows that the sender lacks in some buckets.

    Attributes:
        sender: The VM that sends the notice.
        domain: The failure domain.
        number: Number of the probe that found the difference.
        buckets: Numbers of the buckets that differ.
        have: Digests of the present members in these buckets at the sender.
    """

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]
    have: tuple[int, ...]


@codec.register("members.pulled")
@dataclasses.dataclass(frozen=True, slots=True)
class Pulled:
    """The reply to a pull.

    Attributes:
        sender: The VM that sends the notice.
        domain: The failure domain.
        number: Number of the probe that found the difference.
        buckets: Numbers of the requested buckets.
        rows: Rows that the requester lacks, and all tombstones.
        unknown: Digests in the request that the sender does not have.
        more: Whether there are more rows than fit into one notice.
    """

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]
    rows: tuple[Row, ...]
    unknown: tuple[int, ...]
    more: bool
