"""How Fire shows help: as plain text, without a pager process.

Fire lists its own marks on functions as a group of commands, and knows the
global flags only before the first word; both are put right here.
"""

import os
import typing
from collections import abc

from fire import core

_MARKS = "FIRE_METADATA"
_ONLY_MARKS = f"\nGROUPS\n    GROUP is one of the following:\n\n     {_MARKS}\n"
_MARKS_LINE = f"     {_MARKS}\n\n"
_MARKS_CHOICE = "GROUP | "
_GLOBAL_FLAGS = """
GLOBAL FLAGS, anywhere on the line
    --vms=VMS
        The VMs' client addresses with commas between, or the TOML file with
        the list of VMs; else LABURNUMSILL_VMS.
    --output=table|json
    --timeout=SECONDS
        For the whole command; 10 if left out.

EXIT CODES
    0 done; 1 refused or failed; 2 bad usage or a bad file; 3 no VM
    answered; 4 the outcome is unknown.
"""


def install() -> None:
    """Makes Fire show help as described."""
    core.Display = _display


def _display(lines: abc.Iterable[str], out: typing.TextIO) -> None:
    print(tidied("\n".join(lines) + "\n"), file=out)


def tidied(text: str) -> str:
    """Returns Fire's help with what it lacks and without what is its own."""
    if _ONLY_MARKS in text:
        text = text.replace(_ONLY_MARKS, "")
        text = text.replace(_MARKS_CHOICE, "", 1)
    text = text.replace(_MARKS_LINE, "")
    return text.rstrip(os.linesep) + "\n" + _GLOBAL_FLAGS
