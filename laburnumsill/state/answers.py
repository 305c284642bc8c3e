"""Backend server answers as stored in replicated state for resends."""

import dataclasses

from laburnumsill.core import codec


@codec.register("state.stored-answer")
@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The complete answer of a backend server.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
