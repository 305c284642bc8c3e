"""Corrections to Fire's help: plain text, without a pager process.

Fire shows the metadata of its decorators as a group of commands, and omits the
global flags in the help of a command. This module removes the metadata and
appends the global flags and exit codes.
"""

import os
import typing
from collections import abc

from fire import core

_METADATA = "FIRE_METADATA"
_METADATA_GROUP = (
    f"\nGROUPS\n    GROUP is one of the following:\n\n     {_METADATA}\n"
)
_METADATA_LINE = f"     {_METADATA}\n\n"
_GROUP_CHOICE = "GROUP | "
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
    """Replaces Fire's display function, which starts a pager."""
    core.Display = _display


def _display(lines: abc.Iterable[str], out: typing.TextIO) -> None:
    print(cleaned("\n".join(lines) + "\n"), file=out)


def cleaned(text: str) -> str:
    """Returns Fire's help without its metadata and with the global flags."""
    if _METADATA_GROUP in text:
        text = text.replace(_METADATA_GROUP, "")
        text = text.replace(_GROUP_CHOICE, "", 1)
    text = text.replace(_METADATA_LINE, "")
    return text.rstrip(os.linesep) + "\n" + _GLOBAL_FLAGS
