"""Loads a configuration from a base file and a site's overlay file.

Reads both files, merges the overlay into the base and validates the result.
An error names the file that sets the invalid value.
"""

import pathlib

import pydantic

from laburnumsill.config import models
from laburnumsill.config import overlay
from laburnumsill.config import toml_files


def load(
    base_path: str | pathlib.Path, overlay_path: str | pathlib.Path | None
) -> models.Configuration:
    """Returns the configuration merged from the two files.

    Args:
        base_path: Path of the base file.
        overlay_path: Path of the site's overlay, None for the base alone.

    Raises:
        toml_files.InvalidFileError: A file cannot be read, or a value in it
            is invalid; the context has the fields ``file``, ``key``,
            ``value`` and ``expected``.
    """
    base_path = pathlib.Path(base_path)
    base = overlay.split_base(toml_files.read(base_path), str(base_path))
    if overlay_path is None:
        return toml_files.validated(models.Configuration, base.tree, base_path)
    overlay_path = pathlib.Path(overlay_path)
    overlay_tree = toml_files.read(overlay_path)
    merged = overlay.merge(base, overlay_tree, str(overlay_path))
    try:
        return models.Configuration.model_validate(merged, strict=True)
    except pydantic.ValidationError as failure:
        invalid = toml_files.first_invalid_value(failure)
        file = overlay_path if _sets(overlay_tree, invalid.key) else base_path
        raise toml_files.InvalidFileError.at(
            file, invalid.key, invalid.value, invalid.expected
        ) from failure


def _sets(tree: object, key: str) -> bool:
    """Returns whether `tree` sets the dotted `key` or a non-table parent."""
    for part in key.split("."):
        if not isinstance(tree, dict):
            return True
        if part not in tree:
            return False
        tree = tree[part]
    return True
