"""Names of headers, and which of them pass an intermediary.

References:
    RFC 9110, section 7.6.1: hop-by-hop header fields.
"""

from laburnumsill.clients import backend

KEY = b"idempotency-key"
CLASS = b"laburnumsill-class"
ACCOUNT = b"laburnumsill-account"
TIMEOUT_MS = b"laburnumsill-timeout-ms"
OUTCOME = b"laburnumsill-outcome"
REQUEST_ID = b"laburnumsill-request-id"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

_OWN = frozenset({CLASS, TIMEOUT_MS, OUTCOME, REQUEST_ID, b"date", b"expect"})
"""Headers that this system reads or writes itself; `date` is written by the
HTTP server and may stand in an answer only once."""


def find(headers: backend.Headers, wanted: bytes) -> str | None:
    """Returns the value of the header `wanted`, or None.

    Examples:
        >>> find(((b"idempotency-key", b"k1"),), KEY)
        'k1'
    """
    for name, value in headers:
        if name == wanted:
            return value.decode("latin-1").strip()
    return None


def end_to_end(headers: backend.Headers) -> backend.Headers:
    """Returns the headers that are passed on.

    Examples:
        >>> end_to_end(((b"connection", b"x-a"), (b"x-a", b"1"), (b"b", b"2")))
        ((b'b', b'2'),)
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | _OWN | named
    return tuple(pair for pair in headers if pair[0] not in dropped)
