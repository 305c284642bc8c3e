"""The difference between two configurations in canonical JSON.

Explanation:
    A difference lists the paths that are set, with their new values, and the
    paths of the keys that are removed. Objects are compared key by key; any
    other value is replaced as a whole. It is deterministic, and with B and N
    in canonical form ``apply(B, difference(B, N)) == N``, byte for byte.

    In Python 1, 1.0 and True are equal, but their JSON texts have different
    digests. So a difference is applied and the result compared with the newer
    text before it is returned.

Examples:
    >>> change = difference(b'{"a":1,"b":{"c":2,"d":3}}', b'{"b":{"c":4}}')
    >>> change.removals
    (('a',), ('b', 'd'))
    >>> change.settings
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
_Equality = abc.Callable[[typing.Any, typing.Any], bool]


class UnfitDifferenceError(errors.ConflictError):
    """A difference cannot be applied to a base or gives a wrong digest."""

    slug = "unfit-difference"
    title = "The difference does not fit the version before"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A value that is set at a path.

    Attributes:
        path: Keys from the root; empty for the whole document.
        value: The value as JSON text.
    """

    path: Path
    value: bytes


@codec.register("configuration.difference")
@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """The changes from an older configuration to a newer one.

    Attributes:
        settings: Values that are set, in order of their paths.
        removals: Paths of the keys that are removed, in order.
    """

    settings: tuple[Setting, ...] = ()
    removals: tuple[Path, ...] = ()

    @property
    def size(self) -> int:
        """Total length of its keys, in characters, and values, in bytes."""
        paths = [*self.removals, *(setting.path for setting in self.settings)]
        keys = sum(len(key) for path in paths for key in path)
        return keys + sum(len(setting.value) for setting in self.settings)


class Document:
    """Canonical JSON text with its parsed values; immutable.

    `after` shares all unchanged values with the new document, so that only the
    text is encoded as a whole.

    Attributes:
        text: The canonical JSON.
        values: The parsed values; must not be modified.
    """

    def __init__(self, text: bytes, values: typing.Any) -> None:
        self.text = text
        self.values = values

    @staticmethod
    def parse(text: bytes) -> "Document":
        """Returns the document for a JSON text.

        Raises:
            UnfitDifferenceError: `text` is not JSON, so no difference applies.
        """
        try:
            return Document(text, orjson.loads(text))
        except orjson.JSONDecodeError as failure:
            raise UnfitDifferenceError(f"no JSON: {failure}") from failure

    def after(self, change: Difference) -> "Document":
        """Returns the document with `change` applied.

        Raises:
            UnfitDifferenceError: A path of `change` does not exist.
        """
        values = self.values
        try:
            for path in change.removals:
                values = _without(values, path)
            for setting in change.settings:
                values = _with(
                    values, setting.path, orjson.loads(setting.value)
                )
            return Document(_text(values), values)
        except (LookupError, TypeError, ValueError) as failure:
            raise UnfitDifferenceError(f"cannot be applied: {failure!r}") from (
                failure
            )

    def after_checked(self, change: Difference, digest: str) -> "Document":
        """Returns the document with `change` applied; checks its digest.

        Raises:
            UnfitDifferenceError: The digest differs, or a path does not exist.
        """
        new = self.after(change)
        actual = hashing.digest(new.text)
        if actual != digest:
            raise UnfitDifferenceError(
                f"it gives digest {actual}, not {digest}", digest=actual
            )
        return new


def difference(base: bytes, new: bytes) -> Difference | None:
    """Returns the difference from `base` to `new`.

    Explanation:
        Compares values with the operator ``==`` first, which is fast. If the
        result does not give `new`, for example because ``1 == True``, compares
        the JSON texts of the values.

    Returns:
        None if there is none, because one of the two is not JSON or `new` is
        not in canonical form.
    """
    try:
        old, newer = Document.parse(base), Document.parse(new)
        for equal in (operator.eq, _equal_text):
            change = _difference_of(old.values, newer.values, equal)
            if old.after(change).text == new:
                return change
    except (UnfitDifferenceError, orjson.JSONEncodeError):
        return None
    return None


def apply(base: bytes, change: Difference) -> bytes:
    """Returns the canonical JSON of `base` with `change` applied.

    Raises:
        UnfitDifferenceError: A path does not exist in `base`.
    """
    return Document.parse(base).after(change).text


def apply_checked(base: bytes, change: Difference, digest: str) -> bytes:
    """Returns `base` with `change` applied; checks the digest of the result.

    Raises:
        UnfitDifferenceError: The digest differs, or a path does not exist.
    """
    return Document.parse(base).after_checked(change, digest).text


def _difference_of(
    base: typing.Any, new: typing.Any, equal: _Equality
) -> Difference:
    settings: list[Setting] = []
    removals: list[Path] = []
    _compare((), base, new, equal, settings, removals)
    return Difference(tuple(settings), tuple(removals))


def _compare(
    path: Path,
    base: typing.Any,
    new: typing.Any,
    equal: _Equality,
    settings: list[Setting],
    removals: list[Path],
) -> None:
    """Appends the differences at and below `path` to the two lists."""
    if equal(base, new):
        return
    if not (isinstance(base, dict) and isinstance(new, dict)):
        settings.append(Setting(path, _text(new)))
        return
    removals.extend((*path, key) for key in sorted(base.keys() - new.keys()))
    for key in sorted(new):
        key_path = (*path, key)
        if key in base:
            _compare(key_path, base[key], new[key], equal, settings, removals)
        else:
            settings.append(Setting(key_path, _text(new[key])))


def _equal_text(base: typing.Any, new: typing.Any) -> bool:
    return _text(base) == _text(new)


def _with(values: typing.Any, path: Path, value: typing.Any) -> typing.Any:
    """Returns a copy of `values` with `value` at `path`.

    The copy shares all values off the path.
    """
    if not path:
        return value
    copy = _shallow_copy(values)
    child = value if len(path) == 1 else _with(values[path[0]], path[1:], value)
    copy[path[0]] = child
    return copy


def _without(values: typing.Any, path: Path) -> typing.Any:
    """Returns a copy of `values` without the key at `path`.

    The copy shares all values off the path.
    """
    copy = _shallow_copy(values)
    if len(path) == 1:
        del copy[path[0]]
    else:
        copy[path[0]] = _without(values[path[0]], path[1:])
    return copy


def _shallow_copy(values: typing.Any) -> dict[str, typing.Any]:
    """Returns a shallow copy of a JSON object."""
    if not isinstance(values, dict):
        raise TypeError(f"a {type(values).__name__} is no object")
    return dict(values)


def _text(value: typing.Any) -> bytes:
    """Returns the canonical JSON text of a value, see `config.canonical`."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
