"""Laying a site's overlay over the base configuration.

An overlay states only what differs. It may set only keys that the base has,
so that a misspelt key is refused rather than ignored, and no key to the
value that the base has already, so that the overlay stays the list of the
site's differences. The base names in `open_tables` the tables to which an
overlay may add names, such as ``accounts.*.guarantee``; a star stands for
any one name.
"""

import dataclasses
import typing

from laburnumsill.config import toml_files

OPEN_TABLES_KEY = "open_tables"
"""The key of the base file, no part of the configuration, with patterns."""

_ANY_NAME = "*"

Path = tuple[str, ...]


class UnknownOverlayKeyError(toml_files.InvalidFileError):
    """An overlay sets a key that the base lacks."""

    slug = "unknown-overlay-key"
    title = "The base has no such key"


class UnchangedOverlayKeyError(toml_files.InvalidFileError):
    """An overlay states what the base says already."""

    slug = "unchanged-overlay-key"
    title = "The overlay states what does not differ"


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The base configuration and which of its tables are open."""

    tree: toml_files.Tree
    open_tables: frozenset[Path]

    def is_open(self, table: Path) -> bool:
        """Returns whether an overlay may add names to `table`."""
        return any(_matches(pattern, table) for pattern in self.open_tables)


def split_base(tree: toml_files.Tree, file: str) -> Base:
    """Returns the base without its list of open tables, and the list.

    Args:
        tree: The whole base file.
        file: The file, for the error.

    Raises:
        toml_files.InvalidFileError: The list is no list of strings.
    """
    rest = dict(tree)
    names = rest.pop(OPEN_TABLES_KEY, [])
    good = isinstance(names, list) and all(
        isinstance(name, str) for name in names
    )
    if not good:
        raise toml_files.InvalidFileError.at(
            file, OPEN_TABLES_KEY, names, "a list of dotted table names"
        )
    return Base(rest, frozenset(tuple(name.split(".")) for name in names))


def merge(base: Base, overlay: toml_files.Tree, file: str) -> toml_files.Tree:
    """Returns the base with what the overlay states laid over it.

    Args:
        base: The base.
        overlay: The whole overlay file.
        file: The overlay's file, for the errors.

    Raises:
        UnknownOverlayKeyError: The base has no such key, or has a table
            where the overlay has a value, or the other way round.
        UnchangedOverlayKeyError: The base has the same value already.

    Examples:
        >>> base = Base({"jobs": {"lease_s": 10, "max_tries": 3}}, frozenset())
        >>> merge(base, {"jobs": {"lease_s": 5}}, "site.toml")
        {'jobs': {'lease_s': 5, 'max_tries': 3}}
    """
    return _merge_table(base, base.tree, overlay, (), file)


def _merge_table(
    base: Base,
    below: toml_files.Tree,
    above: toml_files.Tree,
    path: Path,
    file: str,
) -> toml_files.Tree:
    if not above:
        raise UnchangedOverlayKeyError.at(
            file, ".".join(path), above, "at least one key that differs"
        )
    merged = dict(below)
    for name, value in above.items():
        here = (*path, name)
        if name in below:
            merged[name] = _merge_value(base, below[name], value, here, file)
        elif base.is_open(path):
            merged[name] = value
        else:
            raise UnknownOverlayKeyError.at(
                file, ".".join(here), value, "a key that the base has"
            )
    return merged


def _merge_value(
    base: Base, below: typing.Any, above: typing.Any, path: Path, file: str
) -> typing.Any:
    key = ".".join(path)
    if isinstance(below, dict) and isinstance(above, dict):
        return _merge_table(base, below, above, path, file)
    if isinstance(below, dict) or isinstance(above, dict):
        wanted = "a table" if isinstance(below, dict) else "no table"
        raise UnknownOverlayKeyError.at(
            file, key, above, f"{wanted}, as in the base"
        )
    if _same(below, above):
        raise UnchangedOverlayKeyError.at(
            file, key, above, "another value than the base has"
        )
    return above


def _same(below: object, above: object) -> bool:
    """Returns whether two values say the same; True is not 1."""
    if isinstance(below, bool) != isinstance(above, bool):
        return False
    return below == above


def _matches(pattern: Path, table: Path) -> bool:
    return len(pattern) == len(table) and all(
        part in (_ANY_NAME, name)
        for part, name in zip(pattern, table, strict=True)
    )
