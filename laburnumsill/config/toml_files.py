"""Reads TOML files into validated models; errors name file and key."""

import dataclasses
import pathlib
import tomllib
import typing

import pydantic

from laburnumsill.core import errors

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Size limit of a settings or configuration file."""

_SHOWN_VALUE_LENGTH = 80
_PYDANTIC_PREFIXES = ("Input should be ", "Value error, ")

Tree = dict[str, typing.Any]
ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)
ErrorT = typing.TypeVar("ErrorT", bound="InvalidFileError")


class InvalidFileError(errors.InvalidConfigurationError):
    """A settings or configuration file is invalid.

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
        """Returns the error for a value at one key of a file.

        Args:
            file: Path of the file, as the user gave it.
            key: The dotted key, empty for the file as a whole.
            value: The offending value.
            expected: Description of a valid value.

        Examples:
            >>> str(InvalidFileError.at("a.toml", "x.y", 7, "a string"))
            'a.toml: x.y: got 7, expected a string'
        """
        shown = repr(value)
        if len(shown) > _SHOWN_VALUE_LENGTH:
            shown = shown[:_SHOWN_VALUE_LENGTH] + "..."
        location = f"{file}: {key}" if key else str(file)
        return cls(
            f"{location}: got {shown}, expected {expected}",
            file=str(file),
            key=key,
            value=shown,
            expected=expected,
        )


class MissingFileError(InvalidFileError):
    """A file does not exist or cannot be read."""

    slug = "missing-file"
    title = "The file cannot be read"


def read(
    path: pathlib.Path, error: type[InvalidFileError] = InvalidFileError
) -> Tree:
    """Returns the tables of a TOML file.

    Args:
        path: The file.
        error: Class of the error for a file that is too large or not TOML.

    Raises:
        MissingFileError: The file cannot be read.
        InvalidFileError: It is too large or not TOML; of class `error`.
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
    """Returns the instance of `model` with the values of `tree`.

    Args:
        model: The model.
        tree: The parsed file.
        file: Path of the file, for the error.
        error: Class of the error for an invalid value.

    Raises:
        InvalidFileError: A value is invalid; of class `error`.
    """
    try:
        return model.model_validate(tree, strict=True)
    except pydantic.ValidationError as failure:
        invalid = first_invalid_value(failure)
        raise error.at(
            file, invalid.key, invalid.value, invalid.expected
        ) from failure


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidValue:
    """A value that failed validation.

    Attributes:
        key: Its dotted key.
        value: The value, None if it is missing.
        expected: Description of a valid value.
    """

    key: str
    value: object
    expected: str


def first_invalid_value(failure: pydantic.ValidationError) -> InvalidValue:
    """Returns the first invalid value that `failure` reports."""
    first = failure.errors()[0]
    context = first.get("ctx", {})
    kind = first["type"]
    if kind == "unknown_name":
        known = f"a known {context['kind']}"
        return InvalidValue(context["key"], context["value"], known)
    value = None if kind == "missing" else first["input"]
    key = ".".join(str(part) for part in first["loc"])
    return InvalidValue(key, value, _expected(kind, first["msg"]))


def _expected(kind: str, message: str) -> str:
    """Returns the description of a valid value for a Pydantic error."""
    if kind == "missing":
        return "a value"
    if kind == "extra_forbidden":
        return "no such key"
    for prefix in _PYDANTIC_PREFIXES:
        message = message.removeprefix(prefix)
    return message
