"""Names of HTTP headers, and the selection of end-to-end headers.

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

_OWN_HEADERS = frozenset(
    {CLASS, TIMEOUT_MS, OUTCOME, REQUEST_ID, b"date", b"expect"}
)
"""Headers that this system reads or writes itself and does not forward.

`date` is among them because the HTTP server sets it, and an answer may have
it only once."""


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
    """Returns the end-to-end headers, which a proxy forwards.

    Examples:
        >>> end_to_end(((b"connection", b"x-a"), (b"x-a", b"1"), (b"b", b"2")))
        ((b'b', b'2'),)
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    removed = HOP_BY_HOP | _OWN_HEADERS | connection_options
    return tuple(pair for pair in headers if pair[0] not in removed)
