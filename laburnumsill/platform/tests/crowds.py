"""Callers of the platform that keep their connections."""

import json
import typing
from collections import abc

from laburnumsill.platform.tests import standin
from laburnumsill.testing import kept_connections

HEADERS = {
    "host": standin.HOST,
    "authorization": f"Bearer {standin.KEY}",
    "x-deadline-ms": "3000",
}


def submission(number: int) -> kept_connections.Call:
    """Returns a call that submits a job of its own."""
    document = {"spec": "text", "steps": [{"count": 1, "cpu": 1000, "gpu": 1}]}
    body = json.dumps(document).encode()
    return kept_connections.Call("POST", f"/batch/{number:016x}", (body,))


def crowd(
    address: str,
    calls: abc.Callable[[int], kept_connections.Call] = submission,
    **options: typing.Any,
) -> kept_connections.Crowd:
    """Returns callers of an address, which have a key; see `Crowd`."""
    return kept_connections.Crowd(address, calls, HEADERS, **options)
