"""What all commands share: the VMs, the output and a deadline."""

import dataclasses
import os
import time
import typing
import urllib.parse
from collections import abc

import orjson

from laburnumsill.cli import client as clients
from laburnumsill.cli import output
from laburnumsill.cli import values
from laburnumsill.core import ids

DEFAULT_TIMEOUT_S = "10"
KEY_HEADER = "Idempotency-Key"

Run = abc.Callable[[], None]
View = abc.Callable[[typing.Any], object]


class Action:
    """A command that was parsed and is still to be run.

    Fire runs a command before it has looked at all arguments. So commands
    return an action, which is run once nothing is left over: a misspelt flag
    never changes anything.
    """

    def __init__(self, run: Run) -> None:
        self._run = run

    def _execute(self) -> None:
        self._run()


def execute(action: Action) -> None:
    """Runs a parsed command."""
    action._execute()


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """The global options, checked when they are used.

    Attributes:
        vms: The VMs, as given.
        format: How results are printed, as given.
        timeout: Seconds for the whole command, as given.
    """

    vms: str | None
    format: str
    timeout: str

    def client(self) -> clients.Client:
        """Returns a client whose deadline starts now."""
        environment = os.environ.get(values.VMS_VARIABLE)
        addresses = values.addresses(self.vms, environment)
        timeout_s = values.seconds("--timeout", self.timeout)
        return clients.Client(addresses, time.monotonic() + timeout_s)

    def get(self, path: str, **query: str | None) -> typing.Any:
        """Returns the values that a path reads as."""
        call = clients.Call("GET", path + query_text(query))
        return self.client().call(call).json()

    def change(
        self,
        method: str,
        path: str,
        body: object = None,
        key: str | None = None,
        *,
        resendable: bool = True,
    ) -> typing.Any:
        """Returns the answer to a call that changes something.

        Args:
            method: The HTTP method.
            path: The path.
            body: Values to send as JSON, None for none.
            key: The Idempotency-Key, None for a fresh one.
            resendable: Whether the VMs know a resend by its key, or it is
                harmless.
        """
        call = clients.Call(
            method,
            path,
            b"" if body is None else orjson.dumps(body),
            {KEY_HEADER: key or ids.fresh("cli")},
            resendable,
        )
        return self.client().call(call).json()

    def show(self, value: object, view: View | None = None) -> None:
        """Prints a result.

        Args:
            value: The result.
            view: What a table shows of it; JSON shows it whole.
        """
        format = values.one_of("--output", self.format, output.FORMATS)
        if format == "json":
            print(output.as_json(value))
        else:
            if view is not None and isinstance(value, dict | list):
                value = view(value)
            print(output.as_table(value))

    def show_list(self, answer: typing.Any, view: View | None = None) -> None:
        """Prints a list, and in a table what else the answer says.

        Args:
            answer: The list, alone or among other fields.
            view: What a table shows of the list.
        """
        found = records(answer)
        if self.as_json or found is answer:
            self.show(answer, view if isinstance(answer, list) else None)
            return
        self.show(found, view)
        for name, value in answer.items():
            if value and value is not found:
                self.show({name: value})

    @property
    def as_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.format == "json"


def query_text(query: abc.Mapping[str, str | None]) -> str:
    """Returns a query string of what is given, empty without any.

    Examples:
        >>> query_text({"account": "a b", "state": None})
        '?account=a+b'
    """
    given = {name: value for name, value in query.items() if value}
    return "?" + urllib.parse.urlencode(given) if given else ""


def quoted(part: str) -> str:
    """Returns one segment of a path."""
    return urllib.parse.quote(part, safe="")


def records(answer: typing.Any) -> typing.Any:
    """Returns the list of records in an answer, else the answer.

    Examples:
        >>> records({"jobs": [{"job_id": "north.1"}], "unavailable": []})
        [{'job_id': 'north.1'}]
    """
    if not isinstance(answer, dict):
        return answer
    lists = [value for value in answer.values() if _has_records(value)]
    return lists[0] if len(lists) == 1 else answer


def _has_records(value: object) -> bool:
    return isinstance(value, list) and any(
        isinstance(item, dict) for item in value
    )
