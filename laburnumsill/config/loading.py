"""From a base file and a site's overlay file to a configuration.

The pipeline: read both files, lay the overlay over the base, validate. An
error names the file that the offending value stands in.
"""

import pathlib

import pydantic

from laburnumsill.config import models
from laburnumsill.config import overlay
from laburnumsill.config import toml_files


def load(
    base_path: str | pathlib.Path, overlay_path: str | pathlib.Path | None
) -> models.Configuration:
    """Returns the configuration that the files make together.

    Args:
        base_path: The base.
        overlay_path: The site's overlay, None for the base alone.

    Raises:
        toml_files.InvalidFileError: A file cannot be read, or a value in it
            is wrong; the context has file, key, value and what was expected.
    """
    base_path = pathlib.Path(base_path)
    base = overlay.split_base(toml_files.read(base_path), str(base_path))
    if overlay_path is None:
        return toml_files.validated(models.Configuration, base.tree, base_path)
    overlay_path = pathlib.Path(overlay_path)
    above = toml_files.read(overlay_path)
    merged = overlay.merge(base, above, str(overlay_path))
    try:
        return models.Configuration.model_validate(merged, strict=True)
    except pydantic.ValidationError as failure:
        spot = toml_files.first_spot(failure)
        file = overlay_path if _sets(above, spot.key) else base_path
        raise toml_files.InvalidFileError.at(
            file, spot.key, spot.value, spot.expected
        ) from failure


def _sets(tree: object, key: str) -> bool:
    """Returns whether a file states the dotted `key` or a value above it."""
    for part in key.split("."):
        if not isinstance(tree, dict):
            return True
        if part not in tree:
            return False
        tree = tree[part]
    return True
