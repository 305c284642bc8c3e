"""Modules that a role loads, which cost time and memory at every start."""

import json
import subprocess
import sys

import pytest

LIBRARIES = {
    "entry": {"aioprometheus", "h11", "loguru", "msgspec", "thrift", "trio"},
    "core": {
        "aioprometheus",
        "h11",
        "httpcore",
        "loguru",
        "msgspec",
        "thrift",
        "trio",
    },
}
"""The libraries that a role's own modules import."""

NOT_LOADED = {
    "entry": {"fire", "h2", "httpcore", "hypercorn", "pydantic", "starlette"},
    "core": {"fire", "hypercorn", "pydantic", "starlette"},
}

ENTRY_SUBPACKAGES = {
    "laburnumsill.batch": {"caller_commands", "gateway", "model"},
    "laburnumsill.consensus": {
        "engine_errors",
        "forwarded",
        "leader_forwarder",
        "leader_tracker",
        "remote_groups",
    },
    "laburnumsill.state": {"highest_version"},
}
"""The modules of the replicated state that an entry needs: its messages and the
search for the leader, but neither the engine nor the ledger."""


def loaded(role: str) -> set[str]:
    """Returns the names of the modules that a role loads."""
    text = (
        f"import json, sys, laburnumsill.daemon.{role}_role;"
        "print(json.dumps(sorted(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", text], check=True, capture_output=True
    )
    return set(json.loads(done.stdout))


@pytest.mark.parametrize("role", ["entry", "core"])
def test_a_role_loads_no_unused_library(role):
    roots = {name.partition(".")[0] for name in loaded(role)}
    assert LIBRARIES[role] <= roots
    assert not roots & NOT_LOADED[role]


def test_an_entry_loads_only_the_messages_of_the_replicated_state():
    modules = loaded("entry")
    for subpackage, expected in ENTRY_SUBPACKAGES.items():
        prefix = f"{subpackage}."
        assert {
            name.removeprefix(prefix)
            for name in modules
            if name.startswith(prefix)
        } == expected
