"""Reading TOML files into validated models, with errors that name the spot."""

import dataclasses
import pathlib
import tomllib
import typing

import pydantic

from laburnumsill.core import errors

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Largest settings or configuration file."""

_SHOWN_VALUE_LENGTH = 80
_PYDANTIC_PREFIXES = ("Input should be ", "Value error, ")

Tree = dict[str, typing.Any]
ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)
ErrorT = typing.TypeVar("ErrorT", bound="InvalidFileError")


class InvalidFileError(errors.InvalidConfigurationError):
    """A file of settings or configuration that cannot be used.

    Its context has the fields ``file``, ``key``, ``value`` and ``expected``.
    """

    slug = "invalid-file"
    title = "Invalid file"

    @classmethod
    def at(
        cls: type[ErrorT],
        file: str | pathlib.Path,
        key: str,
        value: object,
        expected: str,
    ) -> ErrorT:
        """Returns the error for one spot of a file.

        Args:
            file: The file, as the user named it.
            key: The dotted key, empty for the file as a whole.
            value: The offending value.
            expected: What would have been right.

        Examples:
            >>> str(InvalidFileError.at("a.toml", "x.y", 7, "a string"))
            'a.toml: x.y: got 7, expected a string'
        """
        shown = repr(value)
        if len(shown) > _SHOWN_VALUE_LENGTH:
            shown = shown[:_SHOWN_VALUE_LENGTH] + "..."
        spot = f"{file}: {key}" if key else str(file)
        return cls(
            f"{spot}: got {shown}, expected {expected}",
            file=str(file),
            key=key,
            value=shown,
            expected=expected,
        )


class MissingFileError(InvalidFileError):
    """A file that does not exist or cannot be read."""

    slug = "missing-file"
    title = "The file cannot be read"


def read(
    path: pathlib.Path, error: type[InvalidFileError] = InvalidFileError
) -> Tree:
    """Returns the tables of a TOML file.

    Args:
        path: The file.
        error: The type of the error for a file that is not TOML.

    Raises:
        MissingFileError: The file cannot be read.
        InvalidFileError: It is not TOML, or too long; of the type `error`.
    """
    try:
        raw = path.read_bytes()
    except OSError as failure:
        reason = failure.strerror or repr(failure)
        raise MissingFileError.at(path, "", reason, "a readable file") from (
            failure
        )
    if len(raw) > MAX_FILE_BYTES:
        limit = f"at most {MAX_FILE_BYTES} bytes"
        raise error.at(path, "", len(raw), limit)
    try:
        return tomllib.loads(raw.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as failure:
        raise error.at(path, "", str(failure), "TOML in UTF-8") from failure


def validated(
    model: type[ModelT],
    tree: typing.Mapping[str, typing.Any],
    file: str | pathlib.Path,
    error: type[InvalidFileError] = InvalidFileError,
) -> ModelT:
    """Returns `tree` as an instance of `model`.

    Args:
        model: The model.
        tree: The tables of the file.
        file: The file, for the error.
        error: The type of the error for a value that does not validate.

    Raises:
        InvalidFileError: A value does not validate; of the type `error`.
    """
    try:
        return model.model_validate(tree, strict=True)
    except pydantic.ValidationError as failure:
        spot = first_spot(failure)
        raise error.at(file, spot.key, spot.value, spot.expected) from failure


@dataclasses.dataclass(frozen=True, slots=True)
class Spot:
    """Where a model failed to validate, and why."""

    key: str
    value: object
    expected: str


def first_spot(failure: pydantic.ValidationError) -> Spot:
    """Returns the first thing that `failure` complains of."""
    first = failure.errors()[0]
    context = first.get("ctx", {})
    kind = first["type"]
    if kind == "unknown_name":
        known = f"a known {context['kind']}"
        return Spot(context["key"], context["value"], known)
    value = None if kind == "missing" else first["input"]
    key = ".".join(str(part) for part in first["loc"])
    return Spot(key, value, _expected(kind, first["msg"]))


def _expected(kind: str, message: str) -> str:
    if kind == "missing":
        return "a value"
    if kind == "extra_forbidden":
        return "no such key"
    for prefix in _PYDANTIC_PREFIXES:
        message = message.removeprefix(prefix)
    return message
