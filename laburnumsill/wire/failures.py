"""Errors of the peer protocol."""

from laburnumsill.core import errors


class WireError(errors.LaburnumsillError):
    """Base of what goes wrong on a connection between two VMs."""

    slug = "wire"
    status = 502
    title = "Failure on a peer connection"


class MalformedFrameError(WireError):
    """Bytes from a peer that are no frame of this protocol."""

    slug = "malformed-frame"
    title = "Malformed frame"


class FrameTooLargeError(WireError):
    """A frame or a message over the limit of the protocol."""

    slug = "frame-too-large"
    status = 413
    title = "Frame too large"


class HelloRefusedError(WireError):
    """The other end of a connection is not the VM it should be."""

    slug = "hello-refused"
    title = "Wrong VM or protocol at the other end"


class ConnectionLostError(WireError):
    """A connection ended: closed, reset, replaced or silent for too long."""

    slug = "connection-lost"
    title = "The connection was lost"


class ConnectionIdleError(ConnectionLostError):
    """This VM has left a connection that it did not use any more."""

    slug = "connection-idle"
    title = "The connection was not in use"


class PeerListenError(WireError):
    """The peer address cannot be listened on."""

    slug = "peer-listen"
    status = 500
    title = "Cannot listen on the peer address"


class AddressInUseError(PeerListenError):
    """Another process listens on the peer address."""

    slug = "address-in-use"
    title = "The peer address is in use"
