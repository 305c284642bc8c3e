"""Decoder for the announcements of workers.

The address that receives announcements is not authenticated. An incomplete or
invalid announcement is therefore rejected as a whole.
"""

import ipaddress
import json
import re

import msgspec

from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.platform import decoding
from laburnumsill.platform import incarnations
from laburnumsill.platform import wire

DRAINING = "draining"
"""State on the wire of a worker that is about to leave."""

MAX_BODY_BYTES = 64 * 1024
"""Size limit of an announcement; the users' workers send about 250 bytes."""

_WORKER_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
"""Valid worker ids; the id is sent in a header of each order."""

_ADDRESS = re.compile(
    r"(?P<host>[^\[\]:]+|\[[^\[\]]+\]):(?P<port>[1-9]\d{0,4})"
)
_HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9-]{1,63}(\.(?!-)[A-Za-z0-9-]{1,63})*")
_MAX_HOST_CHARS = 253
_MAX_PORT = 65_535


class MalformedAnnouncementError(decoding.MalformedBodyError):
    """An announcement that does not describe a usable worker."""

    slug = "malformed-announcement"
    title = "Malformed announcement"


def decode(worker_id: str, raw: bytes) -> intakes.Announcement:
    """Decodes and validates the announcement of a worker.

    Args:
        worker_id: From the path of the call.
        raw: The body of the call.

    Raises:
        MalformedAnnouncementError: The announcement does not describe a
            usable worker; the detail gives the reason.
    """
    check_worker_id(worker_id)
    body = _body(raw)
    _check_address(body.address)
    capacity = body.capacity
    has_stable_id = body.born is not msgspec.UNSET
    worker = model.Worker(
        incarnations.incarnation_id(worker_id, body.born),
        body.service,
        body.address,
        body.zone,
        model.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        body.labels,
        _rack(body.labels),
        body.state == DRAINING,
        worker_id if has_stable_id else "",
    )
    remaining_ms = None
    if worker.draining and body.remaining_ms is not msgspec.UNSET:
        remaining_ms = body.remaining_ms
    return intakes.Announcement(worker, body.seq, body.clock_ms, remaining_ms)


def check_worker_id(worker_id: str) -> None:
    """Checks that an id is a valid worker id.

    Raises:
        MalformedAnnouncementError: The id is invalid.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise MalformedAnnouncementError(f"the id is {worker_id[:80]!r}")


def _body(raw: bytes) -> wire.HeartbeatBody:
    if len(raw) > MAX_BODY_BYTES:
        raise MalformedAnnouncementError(f"{len(raw)} bytes")
    try:
        body = decoding.parse(raw, wire.HeartbeatBody)
        # The decoder above accepts repeated names, of which the last one
        # counts, and skips unknown members without validating them.
        json.loads(raw.decode(), object_pairs_hook=_without_repetition)
    except decoding.MalformedBodyError as error:
        raise MalformedAnnouncementError(error.detail) from error
    except (ValueError, RecursionError) as error:
        raise MalformedAnnouncementError(str(error)) from error
    return body


def _without_repetition(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Returns the members of a JSON object.

    Raises:
        ValueError: A name is repeated, which makes the object ambiguous.
    """
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError(f"a name twice among {sorted(members)!r:.100}")
    return members


def _check_address(address: str) -> None:
    """Checks that an address is a valid host and port.

    Raises:
        MalformedAnnouncementError: The address is invalid.
    """
    match = _ADDRESS.fullmatch(address)
    if (
        match is None
        or int(match["port"]) > _MAX_PORT
        or not _is_host(match["host"])
    ):
        raise MalformedAnnouncementError(f"the address is {address[:80]!r}")


def _is_host(text: str) -> bool:
    """Returns whether a text is a host name or the IP address of one host.

    Examples:
        >>> [_is_host(t) for t in ("10.0.0.9", "[::1]", "w-1.example")]
        [True, True, True]
        >>> [_is_host(t) for t in ("10.0.0.999", "0.0.0.0", "a b", "[::]")]
        [False, False, False, False]
    """
    is_name = not text.startswith("[") and not text[-1].isdigit()
    if is_name:
        fits = len(text) <= _MAX_HOST_CHARS
        return fits and _HOST_NAME.fullmatch(text) is not None
    try:
        if text.startswith("["):
            host: ipaddress.IPv4Address | ipaddress.IPv6Address
            host = ipaddress.IPv6Address(text[1:-1])
        else:
            host = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (host.is_unspecified or host.is_multicast)


def _rack(labels: tuple[str, ...]) -> str:
    """Returns the rack among a worker's labels.

    The wire does not mark the rack: the labels are the kind of the worker and
    its rack, in this order, and racks have names such as ``r1-3``.

    Examples:
        >>> _rack(("a", "r1-3"))
        'r1-3'
    """
    return labels[-1] if len(labels) > 1 else ""
