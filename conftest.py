"""Settings of all tests; passes over and prints what KNOWN-RED.txt names.

Each line of that file is ``test | cause | issue``, where the test is a node
id of pytest. Everything else has to pass.
"""

import pathlib
from collections import abc

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"

# The same examples in each run, and no verdict that hangs on the machine's
# speed; a test may still ask for more examples.
hypothesis.settings.register_profile(
    "laburnumsill", deadline=None, derandomize=True
)
hypothesis.settings.load_profile("laburnumsill")


def _known_red() -> dict[str, str]:
    """Returns the lines of the file by the test that they name."""
    if not KNOWN_RED.exists():
        return {}
    lines = [
        line.strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.strip() and not line.startswith("#")
    ]
    return {line.split("|")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(items: abc.Sequence[pytest.Item]) -> None:
    """Marks the known red tests; they run, and their failure counts not."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the known red tests."""
    for line in _known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")
