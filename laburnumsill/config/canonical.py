"""The one encoding of a configuration that its digest is taken of.

The same configuration always gives the same bytes: JSON with sorted keys,
every value written out, defaults too.
"""

import orjson
import pydantic

from laburnumsill.config import models
from laburnumsill.config import toml_files
from laburnumsill.core import errors
from laburnumsill.core import hashing


class UnreadableConfigurationError(errors.InvalidConfigurationError):
    """Bytes or values from outside that are no valid configuration.

    Its context has the fields ``key``, ``value`` and ``expected``.
    """

    slug = "unreadable-configuration"
    title = "No valid configuration"


def encode(configuration: models.Configuration) -> bytes:
    """Returns the canonical JSON of a configuration.

    Examples:
        >>> one = models.Configuration(site="a", domains=["north"])
        >>> decode(encode(one)) == one
        True
    """
    return orjson.dumps(
        configuration.model_dump(mode="json"), option=orjson.OPT_SORT_KEYS
    )


def digest(raw: bytes) -> str:
    """Returns the digest of canonical bytes, in hex."""
    return hashing.digest(raw)


def decode(raw: bytes) -> models.Configuration:
    """Returns the configuration that JSON stands for.

    Raises:
        UnreadableConfigurationError: `raw` is no JSON or does not validate.
    """
    try:
        return models.Configuration.model_validate_json(raw, strict=True)
    except pydantic.ValidationError as failure:
        raise _unreadable(failure) from failure


def from_values(values: object) -> models.Configuration:
    """Returns the configuration that plain JSON values stand for.

    Raises:
        UnreadableConfigurationError: The values do not validate.
    """
    try:
        return models.Configuration.model_validate(values, strict=True)
    except pydantic.ValidationError as failure:
        raise _unreadable(failure) from failure


def _unreadable(
    failure: pydantic.ValidationError,
) -> UnreadableConfigurationError:
    spot = toml_files.first_spot(failure)
    value = repr(spot.value)[:80]
    key = spot.key or "configuration"
    return UnreadableConfigurationError(
        f"{key}: got {value}, expected {spot.expected}",
        key=key,
        value=value,
        expected=spot.expected,
    )
