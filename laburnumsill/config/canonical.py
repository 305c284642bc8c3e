"""Canonical JSON encoding of a configuration, and its digest.

Equal configurations have the same encoding: JSON with sorted keys that states
every value, also those that equal the default.
"""

import orjson
import pydantic

from laburnumsill.config import models
from laburnumsill.config import toml_files
from laburnumsill.core import errors
from laburnumsill.core import hashing


class UnreadableConfigurationError(errors.InvalidConfigurationError):
    """Bytes or values do not encode a valid configuration.

    Its context has the fields ``key``, ``value`` and ``expected``.
    """

    slug = "unreadable-configuration"
    title = "No valid configuration"


def encode(configuration: models.Configuration) -> bytes:
    """Returns the canonical JSON of a configuration.

    Examples:
        >>> configuration = models.Configuration(site="a", domains=["north"])
        >>> decode(encode(configuration)) == configuration
        True
    """
    return orjson.dumps(
        configuration.model_dump(mode="json"), option=orjson.OPT_SORT_KEYS
    )


def digest(raw: bytes) -> str:
    """Returns the digest of a canonical encoding, in hex."""
    return hashing.digest(raw)


def decode(raw: bytes) -> models.Configuration:
    """Returns the configuration that JSON text encodes.

    Raises:
        UnreadableConfigurationError: `raw` is not JSON or not a valid
            configuration.
    """
    try:
        return models.Configuration.model_validate_json(raw, strict=True)
    except pydantic.ValidationError as failure:
        raise _unreadable(failure) from failure


def from_values(values: object) -> models.Configuration:
    """Returns the configuration for parsed JSON values.

    Raises:
        UnreadableConfigurationError: The values are not a valid
            configuration.
    """
    try:
        return models.Configuration.model_validate(values, strict=True)
    except pydantic.ValidationError as failure:
        raise _unreadable(failure) from failure


def _unreadable(
    failure: pydantic.ValidationError,
) -> UnreadableConfigurationError:
    invalid = toml_files.first_invalid_value(failure)
    value = repr(invalid.value)[:80]
    key = invalid.key or "configuration"
    return UnreadableConfigurationError(
        f"{key}: got {value}, expected {invalid.expected}",
        key=key,
        value=value,
        expected=invalid.expected,
    )
