"""Values of the command line: all come as text and are checked here."""

import pathlib
import typing

import pydantic

from laburnumsill.cli import failures
from laburnumsill.config import toml_files

VMS_VARIABLE = "LABURNUMSILL_VMS"
"""The environment variable that gives the VMs where ``--vms`` does not."""

_TRUE = frozenset({"true", "yes", "1"})
_FALSE = frozenset({"false", "no", "0"})
_MAX_PORT = 65_535


class _Vm(pydantic.BaseModel):
    """What the tool needs of an entry of the list of VMs."""

    client_address: str


class _Vms(pydantic.BaseModel):
    """The list of VMs that the daemons' settings share."""

    vms: list[_Vm] = pydantic.Field(min_length=1)


def text(flag: str, value: str | None) -> str:
    """Returns a text that must be given.

    Raises:
        failures.UsageError: It is missing or empty.
    """
    if not value:
        raise _wrong(flag, value, "a value")
    return value


def whole_number(flag: str, value: str, least: int = 0) -> int:
    """Returns a whole number of at least `least`.

    Raises:
        failures.UsageError: It is none.
    """
    try:
        number = int(value)
    except ValueError:
        number = least - 1
    if number < least:
        raise _wrong(flag, value, f"a whole number of at least {least}")
    return number


def seconds(flag: str, value: str) -> float:
    """Returns a positive number of seconds.

    Raises:
        failures.UsageError: It is none.
    """
    try:
        number = float(value)
    except ValueError:
        number = 0.0
    if not 0 < number < float("inf"):
        raise _wrong(flag, value, "a positive number of seconds")
    return number


def truth(flag: str, value: str) -> bool:
    """Returns a truth value; a flag without a value is true.

    Raises:
        failures.UsageError: It is neither.
    """
    if value.lower() in _TRUE:
        return True
    if value.lower() in _FALSE:
        return False
    raise _wrong(flag, value, "true or false")


def one_of(flag: str, value: str, choices: typing.Sequence[str]) -> str:
    """Returns one of `choices`.

    Raises:
        failures.UsageError: It is none of them.
    """
    if value not in choices:
        raise _wrong(flag, value, "one of " + ", ".join(choices))
    return value


def addresses(value: str | None, environment: str | None) -> list[str]:
    """Returns the client addresses of the VMs.

    Args:
        value: ``--vms``: addresses with commas between, or a TOML file with
            the list of VMs.
        environment: The same, from the environment, if ``--vms`` is absent.

    Raises:
        failures.UsageError: There are none, or one is no address.
        toml_files.InvalidFileError: The file is no list of VMs.
    """
    source = value or environment
    if not source:
        raise _wrong("--vms", value, f"addresses here or in {VMS_VARIABLE}")
    if source.endswith(".toml"):
        path = pathlib.Path(source)
        found = toml_files.validated(_Vms, toml_files.read(path), path)
        return [vm.client_address for vm in found.vms]
    listed = [part.strip() for part in source.split(",") if part.strip()]
    for address in listed:
        host, _, port = address.rpartition(":")
        good = host and port.isdecimal() and int(port) <= _MAX_PORT
        if not good:
            raise _wrong("--vms", address, "host:port or a .toml file")
    return listed


def _wrong(flag: str, value: str | None, expected: str) -> failures.UsageError:
    got = "nothing" if value is None else repr(value)
    return failures.UsageError(f"{flag}: got {got}, expected {expected}")
