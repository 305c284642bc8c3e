"""State shared by all commands: the VMs, the output format, the timeout."""

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
    """A parsed command that has not been executed yet.

    Fire calls a command before it has checked all arguments. Commands
    therefore return an action, which is executed after all arguments were
    consumed: a misspelt flag never changes anything.
    """

    def __init__(self, run: Run) -> None:
        self._run = run

    def _execute(self) -> None:
        self._run()


def execute(action: Action) -> None:
    """Executes a parsed command."""
    action._execute()


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """The unparsed global flags, which are validated when they are used.

    Attributes:
        vms: The value of ``--vms``.
        format: The value of ``--output``.
        timeout: The value of ``--timeout``: seconds for the whole command.
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
        """Returns the decoded JSON answer to a GET."""
        call = clients.Call("GET", path + query_text(query))
        return self.client().call(call).json()

    def change(
        self,
        method: str,
        path: str,
        body: object = None,
        key: str | None = None,
        *,
        idempotent: bool = True,
    ) -> typing.Any:
        """Sends a call that changes state; returns the decoded JSON answer.

        Args:
            method: The HTTP method.
            path: The path.
            body: Values to send as JSON, None for none.
            key: The Idempotency-Key, None for a new one.
            idempotent: Whether the VMs recognize a resend by its key, or
                sending the call twice has the effect of sending it once.
        """
        call = clients.Call(
            method,
            path,
            b"" if body is None else orjson.dumps(body),
            {KEY_HEADER: key or ids.fresh("cli")},
            idempotent,
        )
        return self.client().call(call).json()

    def show(self, value: object, view: View | None = None) -> None:
        """Prints a result.

        Args:
            value: The result.
            view: Converts the result for a table; JSON has all fields.
        """
        format = values.one_of("--output", self.format, output.FORMATS)
        if format == "json":
            print(output.as_json(value))
        else:
            if view is not None and isinstance(value, dict | list):
                value = view(value)
            print(output.as_table(value))

    def show_list(self, answer: typing.Any, view: View | None = None) -> None:
        """Prints a list of records; a table is followed by the other fields.

        Args:
            answer: The list, or an object that has it as a field.
            view: Converts the list for a table.
        """
        listed = records(answer)
        if self.as_json or listed is answer:
            self.show(answer, view if isinstance(answer, list) else None)
            return
        self.show(listed, view)
        for name, value in answer.items():
            if value and value is not listed:
                self.show({name: value})

    @property
    def as_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.format == "json"


def query_text(query: abc.Mapping[str, str | None]) -> str:
    """Returns the query string of the given parameters, or an empty string.

    Examples:
        >>> query_text({"account": "a b", "state": None})
        '?account=a+b'
    """
    given = {name: value for name, value in query.items() if value}
    return "?" + urllib.parse.urlencode(given) if given else ""


def quote_segment(part: str) -> str:
    """Returns a path segment, percent-encoded."""
    return urllib.parse.quote(part, safe="")


def records(answer: typing.Any) -> typing.Any:
    """Returns the only list of records in an answer, else the answer.

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
