"""Answers as they are kept in replicated state for resends."""

import dataclasses

from laburnumsill.core import codec


@codec.register("state.stored-answer")
@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The whole answer of a backend server.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
