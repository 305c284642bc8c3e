"""The command-line tool `laburnumsill`.

The exit codes are in `laburnumsill.cli.failures`.
"""

import contextlib
import sys
from collections import abc

import fire
from fire import decorators

from laburnumsill.cli import config_commands
from laburnumsill.cli import failures
from laburnumsill.cli import help_text
from laburnumsill.cli import job_commands
from laburnumsill.cli import output
from laburnumsill.cli import request_commands
from laburnumsill.cli import session as sessions
from laburnumsill.cli import site_commands
from laburnumsill.core import errors

HELP_FLAGS = frozenset({"--help", "-h"})


@decorators.SetParseFn(str)
class Tool:
    """Operates a site of laburnumsill.

    Exit codes: 0 done; 1 refused or failed, the problem is printed; 2 bad
    usage or a bad file; 3 no VM answered; 4 the outcome is unknown.

    Args:
        vms: The VMs' client addresses, comma-separated, or the TOML file
            with the list of VMs; default: LABURNUMSILL_VMS. They are tried in
            this order.
        output: table or json.
        timeout: Timeout of the whole command in seconds.
    """

    def __init__(
        self,
        vms: str | None = None,
        output: str = "table",
        timeout: str = sessions.DEFAULT_TIMEOUT_S,
    ) -> None:
        self._session = sessions.Session(vms, output, timeout)
        self.config = config_commands.ConfigCommands(self._session)
        self.account = site_commands.AccountCommands(self._session)
        self.job = job_commands.JobCommands(self._session)
        self.request = request_commands.RequestCommands(self._session)
        self.member = site_commands.MemberCommands(self._session)
        self.group = site_commands.GroupCommands(self._session)

    def check(self) -> sessions.Action:
        """Shows whether each VM is ready, or why it is not."""
        return sessions.Action(lambda: site_commands.check(self._session))


def run(arguments: abc.Sequence[str]) -> int:
    """Runs a command line and returns its exit code."""
    help_text.install()
    try:
        result = _parse(arguments)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else 1
    if not isinstance(result, sessions.Action):
        wants_help = not HELP_FLAGS.isdisjoint(arguments)
        return failures.EXIT_DONE if wants_help else failures.EXIT_USAGE
    try:
        sessions.execute(result)
    except errors.LaburnumsillError as error:
        _print_error(error, _wants_json(arguments))
        return failures.exit_code(error)
    except KeyboardInterrupt:
        return failures.EXIT_INTERRUPTED
    return failures.EXIT_DONE


def main() -> None:
    """Runs the tool with the arguments of the process, and exits."""
    sys.exit(run(sys.argv[1:]))


def _parse(arguments: abc.Sequence[str]) -> object:
    """Parses a command line with Fire.

    Returns:
        An action if the command line is complete, else the component of the
        tool at which it ends.
    """
    wants_help = not HELP_FLAGS.isdisjoint(arguments)
    if wants_help and len(arguments) == 1:
        arguments = ()  # without arguments, Fire lists the commands
    redirect_help = contextlib.redirect_stderr(sys.stdout)
    with redirect_help if wants_help else contextlib.nullcontext():
        return fire.Fire(
            Tool,
            command=list(arguments),
            name="laburnumsill",
            serialize=_hide_actions,
        )


def _hide_actions(result: object) -> object:
    """Returns the object that Fire prints: None for an action."""
    return None if isinstance(result, sessions.Action) else result


def _wants_json(arguments: abc.Sequence[str]) -> bool:
    """Returns whether errors have to be printed as JSON."""
    line = " ".join(arguments)
    return "--output=json" in line or "--output json" in line


def _print_error(error: errors.LaburnumsillError, as_json: bool) -> None:
    if as_json:
        print(output.failure_json(error), file=sys.stderr)
    else:
        line = output.failure_line(error)
        print(f"laburnumsill: {line}", file=sys.stderr)


if __name__ == "__main__":
    main()
