"""Rendezvous hashing: a stable choice of nodes with few moves on changes.

References:
    D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections import abc

import xxhash


def rendezvous_order(key: str, nodes: abc.Iterable[str]) -> list[str]:
    """Returns `nodes` in descending order of their weight for `key`.

    Args:
        key: The key to place.
        nodes: The candidates, in any order.

    Examples:
        >>> order = rendezvous_order("k", ["a", "b", "c"])
        >>> order == rendezvous_order("k", ["c", "b", "a"])
        True
    """
    return sorted(
        nodes,
        key=lambda node: (
            -xxhash.xxh64_intdigest(f"{node}\0{key}".encode()),
            node,
        ),
    )


def rendezvous(key: str, nodes: abc.Iterable[str]) -> str:
    """Returns the node with the greatest weight for `key`.

    Raises:
        ValueError: `nodes` is empty.
    """
    order = rendezvous_order(key, nodes)
    if not order:
        raise ValueError(f"no node to place {key!r} on")
    return order[0]


def digest(raw: bytes) -> str:
    """Returns a 128-bit digest of `raw` in hex, used to compare bodies."""
    return xxhash.xxh3_128_hexdigest(raw)
