"""Merges a site's overlay into the base configuration.

An overlay states only values that differ from the base. It may set only keys
that the base has, so that a misspelt key is refused rather than ignored, and
no key to the value that the base already has, so that the overlay stays a list
of the site's differences. The base lists in `open_tables` the tables to which
an overlay may add keys, such as ``accounts.*.guarantee``; a star matches any
single key.
"""

import dataclasses
import typing

from laburnumsill.config import toml_files

OPEN_TABLES_KEY = "open_tables"
"""Key of the base file with the patterns of open tables.

It is not part of the configuration."""

_WILDCARD = "*"

Path = tuple[str, ...]


class UnknownOverlayKeyError(toml_files.InvalidFileError):
    """An overlay sets a key that the base does not have."""

    slug = "unknown-overlay-key"
    title = "The base has no such key"


class UnchangedOverlayKeyError(toml_files.InvalidFileError):
    """An overlay sets a key to the value that the base already has."""

    slug = "unchanged-overlay-key"
    title = "The overlay states what does not differ"


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The base configuration, and the patterns of its open tables."""

    tree: toml_files.Tree
    open_tables: frozenset[Path]

    def is_open(self, table: Path) -> bool:
        """Returns whether an overlay may add keys to `table`."""
        return any(_matches(pattern, table) for pattern in self.open_tables)


def split_base(tree: toml_files.Tree, file: str) -> Base:
    """Splits a base file into the configuration and the open tables.

    Args:
        tree: The parsed base file.
        file: Path of the base file, for the error.

    Raises:
        toml_files.InvalidFileError: `open_tables` is not a list of strings.
    """
    rest = dict(tree)
    names = rest.pop(OPEN_TABLES_KEY, [])
    is_valid = isinstance(names, list) and all(
        isinstance(name, str) for name in names
    )
    if not is_valid:
        raise toml_files.InvalidFileError.at(
            file, OPEN_TABLES_KEY, names, "a list of dotted table names"
        )
    return Base(rest, frozenset(tuple(name.split(".")) for name in names))


def merge(base: Base, overlay: toml_files.Tree, file: str) -> toml_files.Tree:
    """Returns the base with the values of the overlay merged into it.

    Args:
        base: The base.
        overlay: The parsed overlay file.
        file: Path of the overlay file, for the errors.

    Raises:
        UnknownOverlayKeyError: The base has no such key, or only one of
            base and overlay has a table at the key.
        UnchangedOverlayKeyError: The base already has the same value.

    Examples:
        >>> base = Base({"jobs": {"lease_s": 10, "max_tries": 3}}, frozenset())
        >>> merge(base, {"jobs": {"lease_s": 5}}, "site.toml")
        {'jobs': {'lease_s': 5, 'max_tries': 3}}
    """
    return _merge_table(base, base.tree, overlay, (), file)


def _merge_table(
    base: Base,
    base_table: toml_files.Tree,
    overlay_table: toml_files.Tree,
    path: Path,
    file: str,
) -> toml_files.Tree:
    if not overlay_table:
        raise UnchangedOverlayKeyError.at(
            file, ".".join(path), overlay_table, "at least one key that differs"
        )
    merged = dict(base_table)
    for name, value in overlay_table.items():
        key_path = (*path, name)
        if name in base_table:
            merged[name] = _merge_value(
                base, base_table[name], value, key_path, file
            )
        elif base.is_open(path):
            merged[name] = value
        else:
            raise UnknownOverlayKeyError.at(
                file, ".".join(key_path), value, "a key that the base has"
            )
    return merged


def _merge_value(
    base: Base,
    base_value: typing.Any,
    overlay_value: typing.Any,
    path: Path,
    file: str,
) -> typing.Any:
    key = ".".join(path)
    if isinstance(base_value, dict) and isinstance(overlay_value, dict):
        return _merge_table(base, base_value, overlay_value, path, file)
    if isinstance(base_value, dict) or isinstance(overlay_value, dict):
        expected = "a table" if isinstance(base_value, dict) else "no table"
        raise UnknownOverlayKeyError.at(
            file, key, overlay_value, f"{expected}, as in the base"
        )
    if _same(base_value, overlay_value):
        raise UnchangedOverlayKeyError.at(
            file, key, overlay_value, "another value than the base has"
        )
    return overlay_value


def _same(base_value: object, overlay_value: object) -> bool:
    """Returns whether two values are equal; True does not equal 1."""
    if isinstance(base_value, bool) != isinstance(overlay_value, bool):
        return False
    return base_value == overlay_value


def _matches(pattern: Path, table: Path) -> bool:
    return len(pattern) == len(table) and all(
        part in (_WILDCARD, name)
        for part, name in zip(pattern, table, strict=True)
    )
