"""Parsing and validation of command-line values, which all are strings."""

import pathlib
import typing

import pydantic

from laburnumsill.cli import failures
from laburnumsill.config import toml_files

VMS_VARIABLE = "LABURNUMSILL_VMS"
"""The environment variable that is read if ``--vms`` is absent."""

_TRUE = frozenset({"true", "yes", "1"})
_FALSE = frozenset({"false", "no", "0"})
_MAX_PORT = 65_535


class _Vm(pydantic.BaseModel):
    """The fields of an entry of the list of VMs that the tool reads."""

    client_address: str


class _Vms(pydantic.BaseModel):
    """The file with the list of VMs, which the daemons read as well."""

    vms: list[_Vm] = pydantic.Field(min_length=1)


def required_text(flag: str, value: str | None) -> str:
    """Returns a required string.

    Raises:
        failures.UsageError: The value is missing or empty.
    """
    if not value:
        raise _usage_error(flag, value, "a value")
    return value


def whole_number(flag: str, value: str, minimum: int = 0) -> int:
    """Returns an integer of at least `minimum`.

    Raises:
        failures.UsageError: The value is no such integer.
    """
    try:
        number = int(value)
    except ValueError:
        number = minimum - 1
    if number < minimum:
        raise _usage_error(flag, value, f"a whole number of at least {minimum}")
    return number


def seconds(flag: str, value: str) -> float:
    """Returns a positive, finite number of seconds.

    Raises:
        failures.UsageError: The value is no such number.
    """
    try:
        number = float(value)
    except ValueError:
        number = 0.0
    if not 0 < number < float("inf"):
        raise _usage_error(flag, value, "a positive number of seconds")
    return number


def boolean(flag: str, value: str) -> bool:
    """Returns a boolean; Fire passes a flag without a value as true.

    Raises:
        failures.UsageError: The value is no boolean.
    """
    if value.lower() in _TRUE:
        return True
    if value.lower() in _FALSE:
        return False
    raise _usage_error(flag, value, "true or false")


def one_of(flag: str, value: str, choices: typing.Sequence[str]) -> str:
    """Returns the value if it is one of `choices`.

    Raises:
        failures.UsageError: The value is not one of `choices`.
    """
    if value not in choices:
        raise _usage_error(flag, value, "one of " + ", ".join(choices))
    return value


def addresses(value: str | None, environment: str | None) -> list[str]:
    """Returns the client addresses of the VMs.

    Args:
        value: The value of ``--vms``: comma-separated addresses, or a TOML
            file with the list of VMs.
        environment: The value of `VMS_VARIABLE`, used if ``--vms`` is absent.

    Raises:
        failures.UsageError: No address is given, or one is invalid.
        toml_files.InvalidFileError: The file has no valid list of VMs.
    """
    source = value or environment
    if not source:
        raise _usage_error(
            "--vms", value, f"addresses here or in {VMS_VARIABLE}"
        )
    if source.endswith(".toml"):
        path = pathlib.Path(source)
        vm_list = toml_files.validated(_Vms, toml_files.read(path), path)
        return [vm.client_address for vm in vm_list.vms]
    listed = [part.strip() for part in source.split(",") if part.strip()]
    for address in listed:
        host, _, port = address.rpartition(":")
        valid = host and port.isdecimal() and int(port) <= _MAX_PORT
        if not valid:
            raise _usage_error("--vms", address, "host:port or a .toml file")
    return listed


def _usage_error(
    flag: str, value: str | None, expected: str
) -> failures.UsageError:
    got = "nothing" if value is None else repr(value)
    return failures.UsageError(f"{flag}: got {got}, expected {expected}")
