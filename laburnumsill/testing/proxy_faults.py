"""The faults of a proxied link, and what a link has carried."""

import dataclasses
import enum

from laburnumsill.core import errors


class ProxyError(errors.LaburnumsillError):
    """The control interface of a proxy refused a call."""

    slug = "proxy"
    title = "The fault-injecting proxy refused a call"


class Mode(enum.Enum):
    """What becomes of the connections of a link.

    DROP swallows bytes and hides the end of a connection; what has lost
    bytes is reset when the fault is healed. HOLD keeps bytes back until
    then, as TCP does over a short partition; they are lost if their sender
    resets the connection meanwhile. RESET and CUT concern both directions:
    RESET takes connections and resets them, CUT closes them and refuses new
    ones.
    """

    PASS = "pass"
    DROP = "drop"
    HOLD = "hold"
    RESET = "reset"
    CUT = "cut"


class Direction(enum.Enum):
    """A direction of a link, or both."""

    TO_TARGET = "to-target"
    FROM_TARGET = "from-target"
    BOTH = "both"

    @property
    def single(self) -> tuple["Direction", ...]:
        """The one or two single directions that this means."""
        if self is Direction.BOTH:
            return (Direction.TO_TARGET, Direction.FROM_TARGET)
        return (self,)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one direction of a link; the default is none.

    Attributes:
        mode: What becomes of connections.
        delay_s: Time by which bytes are delayed, in seconds.
        jitter_s: Up to so much is added to it at random; order is kept.
        bytes_per_s: Bandwidth of each connection, or None.
        cut_after_bytes: Each connection that is open when the fault is set
            is closed after so many further bytes, or None.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float | None = None
    cut_after_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatus:
    """A link and its counters since the start.

    Attributes:
        name: Its name.
        listen: The address that connections are taken on.
        target: The address that they are passed to.
        connections: Connections taken.
        open: Connections that are open now.
        to_target_bytes: Bytes delivered to the target.
        from_target_bytes: Bytes delivered from the target.
    """

    name: str
    listen: str
    target: str
    connections: int
    open: int
    to_target_bytes: int
    from_target_bytes: int
