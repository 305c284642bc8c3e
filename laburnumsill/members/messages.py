"""Notices between the member tables of two VMs.

A notice that is answered names its sender, as handlers see notices alone.
Members are named by 64-bit keys and their contents by 64-bit digests, see
`entries`; a heartbeat in a batch costs about 25 bytes.
"""

import dataclasses

from laburnumsill.core import codec
from laburnumsill.core import members

Heartbeat = tuple[int, int, int, int, int]
"""One heartbeat: key, digest, sequence, busy slots, next in milliseconds."""

HeardElsewhere = tuple[int, int, int, int, int]
"""Who was heard: key, digest, sequence, milliseconds ago, next in ms."""


@codec.register("members.row")
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """All that is said of one member; exactly one of the two is set.

    Attributes:
        server: A backend server, or None.
        worker: A worker, or None.
        gone: Whether it is gone.
        next_ms: When it is to announce again, in milliseconds from now.
        gone_ms: How long ago it was declared gone, in milliseconds.
    """

    server: members.BackendServer | None = None
    worker: members.Worker | None = None
    gone: bool = False
    next_ms: int = 0
    gone_ms: int = 0


@codec.register("members.rows")
@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows that are new or have changed.

    Attributes:
        sender: The VM that sends it.
        rows: The rows.
        heard: Whether the sender has just heard the members announce this.
        relayed: Whether it was passed on by a VM that is no watcher.
    """

    sender: str
    rows: tuple[Row, ...]
    heard: bool = False
    relayed: bool = False


@codec.register("members.heartbeats")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Heartbeats without a change, for a watcher."""

    sender: str
    heartbeats: tuple[Heartbeat, ...]
    relayed: bool = False


@codec.register("members.wanted")
@dataclasses.dataclass(frozen=True, slots=True)
class RowRequest:
    """Keys of heartbeats whose row the sender lacks."""

    sender: str
    keys: tuple[int, ...]


@codec.register("members.suspicion")
@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Keys of members that the sender would declare gone."""

    sender: str
    keys: tuple[int, ...]


@codec.register("members.confirmed")
@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionReply:
    """The answer to an suspicion.

    Attributes:
        sender: The VM that sends it.
        heard: Members that the sender has heard within their TTL.
        silent: Keys of all others.
    """

    sender: str
    heard: tuple[HeardElsewhere, ...]
    silent: tuple[int, ...]


@codec.register("members.probe")
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a VM of a domain whether it knows the same of the domain.

    Attributes:
        sender: The VM that sends it.
        domain: The failure domain.
        number: Number of this probe; answers bear it.
        root: Digest of all that the sender knows of the domain.
    """

    sender: str
    domain: str
    number: int
    root: int


@codec.register("members.agreed")
@dataclasses.dataclass(frozen=True, slots=True)
class Agreed:
    """The answer to a probe: the same."""

    domain: str
    number: int
    root: int


@codec.register("members.differs")
@dataclasses.dataclass(frozen=True, slots=True)
class Differs:
    """The answer to a probe: not the same; the digest of each bucket."""

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]


@codec.register("members.pull")
@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Asks for what the sender lacks in some buckets.

    Attributes:
        sender: The VM that sends it.
        domain: The failure domain.
        number: Number of the probe that this follows.
        buckets: The buckets that differ.
        have: Digests of the sender's rows in them.
    """

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]
    have: tuple[int, ...]


@codec.register("members.pulled")
@dataclasses.dataclass(frozen=True, slots=True)
class Pulled:
    """The answer to a pull.

    Attributes:
        sender: The VM that sends it.
        domain: The failure domain.
        number: Number of the probe that this follows.
        buckets: The buckets that were asked for.
        rows: Rows that the asker lacks, with those that are gone.
        unknown: Digests that the asker has and the answerer has not.
        more: Whether there are more rows than fit into one notice.
    """

    sender: str
    domain: str
    number: int
    buckets: tuple[int, ...]
    rows: tuple[Row, ...]
    unknown: tuple[int, ...]
    more: bool
