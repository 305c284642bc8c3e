"""Announcements of workers, from their bytes to the product's types.

Anyone may write to the address that takes them, so nothing is guessed: an
announcement that is not whole and sound names no worker.
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
"""A worker's state on the wire when it is about to leave."""

LARGEST_BODY_BYTES = 64 * 1024
"""An announcement of the users has some 250 bytes."""

_WORKER_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
"""It is sent in a header of each order."""

_ADDRESS = re.compile(
    r"(?P<host>[^\[\]:]+|\[[^\[\]]+\]):(?P<port>[1-9]\d{0,4})"
)
_HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9-]{1,63}(\.(?!-)[A-Za-z0-9-]{1,63})*")
_LONGEST_HOST = 253
_LARGEST_PORT = 65_535


class MalformedAnnouncementError(decoding.MalformedBodyError):
    """An announcement that names no worker that could be used."""

    slug = "malformed-announcement"
    title = "Malformed announcement"


def decode(worker_id: str, raw: bytes) -> intakes.Announcement:
    """Returns the announcement that a worker made.

    Args:
        worker_id: From the path of the call.
        raw: The body of the call.

    Raises:
        MalformedAnnouncementError: It names no worker that could be used;
            the detail says why.
    """
    check_worker_id(worker_id)
    body = _body(raw)
    _check_address(body.address)
    capacity = body.capacity
    lasts = body.born is not msgspec.UNSET
    worker = model.Worker(
        incarnations.incarnation_id(worker_id, body.born),
        body.service,
        body.address,
        body.zone,
        model.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        body.labels,
        _rack(body.labels),
        body.state == DRAINING,
        worker_id if lasts else "",
    )
    clock_ms = None if body.clock_ms is msgspec.UNSET else body.clock_ms
    return intakes.Announcement(worker, body.seq, clock_ms)


def check_worker_id(worker_id: str) -> None:
    """Checks that an id can be a worker's.

    Raises:
        MalformedAnnouncementError: It can not.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise MalformedAnnouncementError(f"the id is {worker_id[:80]!r}")


def _body(raw: bytes) -> wire.HeartbeatBody:
    if len(raw) > LARGEST_BODY_BYTES:
        raise MalformedAnnouncementError(f"{len(raw)} bytes")
    try:
        body = decoding.parse(raw, wire.HeartbeatBody)
        # The decoder above takes the last of equal names, and skips over
        # what it does not know without a look at its bytes.
        json.loads(raw.decode(), object_pairs_hook=_without_repetition)
    except decoding.MalformedBodyError as error:
        raise MalformedAnnouncementError(error.detail) from error
    except (ValueError, RecursionError) as error:
        raise MalformedAnnouncementError(str(error)) from error
    return body


def _without_repetition(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Returns the members of an object.

    Raises:
        ValueError: Two have the same name, so nobody knows which one counts.
    """
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError(f"a name twice among {sorted(members)!r:.100}")
    return members


def _check_address(address: str) -> None:
    """Checks that something may be listening at an address.

    Raises:
        MalformedAnnouncementError: That can not be.
    """
    found = _ADDRESS.fullmatch(address)
    if (
        found is None
        or int(found["port"]) > _LARGEST_PORT
        or not _is_host(found["host"])
    ):
        raise MalformedAnnouncementError(f"the address is {address[:80]!r}")


def _is_host(text: str) -> bool:
    """Returns whether a name or an IP address names one host.

    Examples:
        >>> [_is_host(t) for t in ("10.0.0.9", "[::1]", "w-1.example")]
        [True, True, True]
        >>> [_is_host(t) for t in ("10.0.0.999", "0.0.0.0", "a b", "[::]")]
        [False, False, False, False]
    """
    is_name = not text.startswith("[") and not text[-1].isdigit()
    if is_name:
        fits = len(text) <= _LONGEST_HOST
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

    The wire does not mark it: labels are the worker's kind and its rack, in
    this order, and racks are named like ``r1-3``.

    Examples:
        >>> _rack(("a", "r1-3"))
        'r1-3'
    """
    return labels[-1] if len(labels) > 1 else ""
