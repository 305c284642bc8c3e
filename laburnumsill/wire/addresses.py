"""Addresses of the form ``host:port``."""

from laburnumsill.core import errors

MAX_PORT = 65_535


def split(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        errors.InvalidConfigurationError: The address is not of the form
            ``host:port``.

    Examples:
        >>> split("127.0.0.1:7400")
        ('127.0.0.1', 7400)
        >>> split("[::1]:7400")
        ('::1', 7400)
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise errors.InvalidConfigurationError(
            f"address {address!r} is not of the form host:port"
        )
    return host.strip("[]"), int(port)


def join(host: str, port: int) -> str:
    """Returns the address of a host and a port.

    Examples:
        >>> join("::1", 7400)
        '[::1]:7400'
    """
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
