"""The difference between two configurations in canonical JSON.

Explanation:
    A difference says which values of the newer one are set and which keys of
    the older one are removed, by path. Objects are compared key by key, all
    else is set whole. It is deterministic, and with B and N in canonical
    form ``apply(B, difference(B, N)) == N``, byte for byte.

    Values are compared by their JSON text, since Python takes 1, 1.0 and
    True for equal, and these have different digests.

Examples:
    >>> made = difference(b'{"a":1,"b":{"c":2,"d":3}}', b'{"b":{"c":4}}')
    >>> made.removals
    (('a',), ('b', 'd'))
    >>> made.settings
    (Setting(path=('b', 'c'), value=b'4'),)

References:
    RFC 7396, JSON Merge Patch, which cannot set a value to null.
"""

import dataclasses
import typing

import orjson

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing

Path = tuple[str, ...]


class UnfitDifferenceError(errors.ConflictError):
    """A difference does not give what it promises on this base."""

    slug = "unfit-difference"
    title = "The difference does not fit the version before"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One value that is set, at a path of keys from the root.

    Attributes:
        path: The keys; empty for the whole.
        value: The value in JSON.
    """

    path: Path
    value: bytes


@codec.register("configuration.difference")
@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """What makes a newer configuration of an older one.

    Attributes:
        settings: Values that are set, in order of their paths.
        removals: Paths of the keys that are removed, in order.
    """

    settings: tuple[Setting, ...] = ()
    removals: tuple[Path, ...] = ()

    @property
    def size(self) -> int:
        """How many bytes its paths and values have."""
        paths = [*self.removals, *(one.path for one in self.settings)]
        keys = sum(len(key) for path in paths for key in path)
        return keys + sum(len(one.value) for one in self.settings)


def difference(base: bytes, new: bytes) -> Difference | None:
    """Returns what makes `new` of `base`.

    Returns:
        None if there is no such difference: one of the two is not JSON, or
        `new` is not in canonical form.
    """
    try:
        found = _difference_of(orjson.loads(base), orjson.loads(new))
        return found if apply(base, found) == new else None
    except (orjson.JSONDecodeError, orjson.JSONEncodeError):
        return None


def apply(base: bytes, change: Difference) -> bytes:
    """Returns the canonical JSON that `change` makes of `base`.

    Raises:
        UnfitDifferenceError: A path does not exist in `base`.
    """
    try:
        whole = orjson.loads(base)
        for path in change.removals:
            del _parent(whole, path)[path[-1]]
        for one in change.settings:
            value = orjson.loads(one.value)
            if one.path:
                _parent(whole, one.path)[one.path[-1]] = value
            else:
                whole = value
        return _text(whole)
    except (LookupError, TypeError, ValueError) as failure:
        raise UnfitDifferenceError(f"cannot be applied: {failure!r}") from (
            failure
        )


def apply_checked(base: bytes, change: Difference, digest: str) -> bytes:
    """Returns what `change` makes of `base` if it has the promised digest.

    Raises:
        UnfitDifferenceError: It has not, or a path does not exist in `base`.
    """
    new = apply(base, change)
    actual = hashing.digest(new)
    if actual != digest:
        raise UnfitDifferenceError(
            f"it gives digest {actual}, not {digest}", digest=actual
        )
    return new


def _difference_of(base: typing.Any, new: typing.Any) -> Difference:
    settings: list[Setting] = []
    removals: list[Path] = []
    _compare((), base, new, settings, removals)
    return Difference(tuple(settings), tuple(removals))


def _compare(
    path: Path,
    base: typing.Any,
    new: typing.Any,
    settings: list[Setting],
    removals: list[Path],
) -> None:
    """Adds what differs at and below `path`."""
    text = _text(new)
    if _text(base) == text:
        return
    if not (isinstance(base, dict) and isinstance(new, dict)):
        settings.append(Setting(path, text))
        return
    removals.extend((*path, key) for key in sorted(base.keys() - new.keys()))
    for key in sorted(new):
        below = (*path, key)
        if key in base:
            _compare(below, base[key], new[key], settings, removals)
        else:
            settings.append(Setting(below, _text(new[key])))


def _parent(whole: typing.Any, path: Path) -> dict[str, typing.Any]:
    """Returns the object that holds the last key of `path`."""
    for key in path[:-1]:
        whole = whole[key]
    if not isinstance(whole, dict):
        raise TypeError(f"no object at {path[:-1]}")
    return whole


def _text(value: typing.Any) -> bytes:
    """Returns a value as canonical JSON, see `config.canonical`."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
