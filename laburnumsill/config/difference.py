"""The difference between two configurations in canonical JSON.

Explanation:
    A difference says which values of the newer one are set and which keys of
    the older one are removed, by path. Objects are compared key by key, all
    else is set whole. It is deterministic, and with B and N in canonical
    form ``apply(B, difference(B, N)) == N``, byte for byte.

    Python takes 1, 1.0 and True for equal, and these have different digests,
    so what was found is applied before it is returned.

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
import operator
import typing
from collections import abc

import orjson

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing

Path = tuple[str, ...]
_Same = abc.Callable[[typing.Any, typing.Any], bool]


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


class Document:
    """Canonical JSON with the values that it stands for, never changed.

    A version after a version shares all values that are the same, so that
    only the text of the whole is made anew.

    Attributes:
        text: The canonical JSON.
        values: What it stands for; not to be changed.
    """

    def __init__(self, text: bytes, values: typing.Any) -> None:
        self.text = text
        self.values = values

    @staticmethod
    def parse(text: bytes) -> "Document":
        """Returns the document that JSON stands for.

        Raises:
            UnfitDifferenceError: It is no JSON, so nothing applies to it.
        """
        try:
            return Document(text, orjson.loads(text))
        except orjson.JSONDecodeError as failure:
            raise UnfitDifferenceError(f"no JSON: {failure}") from failure

    def after(self, change: Difference) -> "Document":
        """Returns the document that `change` makes of this one.

        Raises:
            UnfitDifferenceError: A path does not exist in this one.
        """
        values = self.values
        try:
            for path in change.removals:
                values = _without(values, path)
            for one in change.settings:
                values = _with(values, one.path, orjson.loads(one.value))
            return Document(_text(values), values)
        except (LookupError, TypeError, ValueError) as failure:
            raise UnfitDifferenceError(f"cannot be applied: {failure!r}") from (
                failure
            )

    def after_checked(self, change: Difference, digest: str) -> "Document":
        """Returns what `change` makes of this if it has the digest.

        Raises:
            UnfitDifferenceError: It has not, or a path does not exist.
        """
        new = self.after(change)
        actual = hashing.digest(new.text)
        if actual != digest:
            raise UnfitDifferenceError(
                f"it gives digest {actual}, not {digest}", digest=actual
            )
        return new


def difference(base: bytes, new: bytes) -> Difference | None:
    """Returns what makes `new` of `base`.

    Explanation:
        Python's comparison is fast and nearly always right; where it is not,
        applying shows it, and the texts are compared.

    Returns:
        None if there is no such difference: one of the two is not JSON, or
        `new` is not in canonical form.
    """
    try:
        old, newer = Document.parse(base), Document.parse(new)
        for same in (operator.eq, _same_text):
            found = _difference_of(old.values, newer.values, same)
            if old.after(found).text == new:
                return found
    except (UnfitDifferenceError, orjson.JSONEncodeError):
        return None
    return None


def apply(base: bytes, change: Difference) -> bytes:
    """Returns the canonical JSON that `change` makes of `base`.

    Raises:
        UnfitDifferenceError: A path does not exist in `base`.
    """
    return Document.parse(base).after(change).text


def apply_checked(base: bytes, change: Difference, digest: str) -> bytes:
    """Returns what `change` makes of `base` if it has the promised digest.

    Raises:
        UnfitDifferenceError: It has not, or a path does not exist in `base`.
    """
    return Document.parse(base).after_checked(change, digest).text


def _difference_of(
    base: typing.Any, new: typing.Any, same: _Same
) -> Difference:
    settings: list[Setting] = []
    removals: list[Path] = []
    _compare((), base, new, same, settings, removals)
    return Difference(tuple(settings), tuple(removals))


def _compare(
    path: Path,
    base: typing.Any,
    new: typing.Any,
    same: _Same,
    settings: list[Setting],
    removals: list[Path],
) -> None:
    """Adds what differs at and below `path`."""
    if same(base, new):
        return
    if not (isinstance(base, dict) and isinstance(new, dict)):
        settings.append(Setting(path, _text(new)))
        return
    removals.extend((*path, key) for key in sorted(base.keys() - new.keys()))
    for key in sorted(new):
        below = (*path, key)
        if key in base:
            _compare(below, base[key], new[key], same, settings, removals)
        else:
            settings.append(Setting(below, _text(new[key])))


def _same_text(base: typing.Any, new: typing.Any) -> bool:
    return _text(base) == _text(new)


def _with(values: typing.Any, path: Path, value: typing.Any) -> typing.Any:
    """Returns `values` with `value` at `path`; shares all the rest."""
    if not path:
        return value
    copy = _copied(values)
    below = value if len(path) == 1 else _with(values[path[0]], path[1:], value)
    copy[path[0]] = below
    return copy


def _without(values: typing.Any, path: Path) -> typing.Any:
    """Returns `values` without the key at `path`; shares all the rest."""
    copy = _copied(values)
    if len(path) == 1:
        del copy[path[0]]
    else:
        copy[path[0]] = _without(values[path[0]], path[1:])
    return copy


def _copied(values: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(values, dict):
        raise TypeError(f"a {type(values).__name__} is no object")
    return dict(values)


def _text(value: typing.Any) -> bytes:
    """Returns a value as canonical JSON, see `config.canonical`."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
