"""Errors of the peer protocol."""

from laburnumsill.core import errors


class WireError(errors.LaburnumsillError):
    """Base class of failures of a connection between two VMs."""

    slug = "wire"
    status = 502
    title = "Failure on a peer connection"


class MalformedFrameError(WireError):
    """Bytes from a peer are not a frame of this protocol."""

    slug = "malformed-frame"
    title = "Malformed frame"


class FrameTooLargeError(WireError):
    """A frame or a message exceeds the limit of the protocol."""

    slug = "frame-too-large"
    status = 413
    title = "Frame too large"


class HelloRefusedError(WireError):
    """The other end is not the expected VM or speaks another protocol."""

    slug = "hello-refused"
    title = "Wrong VM or protocol at the other end"


class ConnectionLostError(WireError):
    """A connection was closed, reset or replaced, or timed out."""

    slug = "connection-lost"
    title = "The connection was lost"


class ConnectionIdleError(ConnectionLostError):
    """This VM closed an on-demand connection that was idle."""

    slug = "connection-idle"
    title = "The connection was not in use"


class PeerListenError(WireError):
    """Listening on the peer address failed."""

    slug = "peer-listen"
    status = 500
    title = "Cannot listen on the peer address"


class AddressInUseError(PeerListenError):
    """Another process listens on the peer address."""

    slug = "address-in-use"
    title = "The peer address is in use"
