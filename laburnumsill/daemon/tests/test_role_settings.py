"""Parsing, validation and reloading of the settings of a role."""

import pathlib

import pytest

from laburnumsill.config import switches
from laburnumsill.core import errors
from laburnumsill.daemon import role_main
from laburnumsill.daemon import role_settings
from laburnumsill.daemon import running

GOOD = """
name = "core-1"
address = "10.1.0.22"
failure_domain = "north"
peer_port = 7000
seeds = ["10.1.0.22:8526", "10.2.0.38:8526"]
founding = true
data_folder = "/data"
[listen]
control = "10.1.0.22:8526"
[bounds]
longest_lease_ms = 9000
"""


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return role_settings.load(path)


def test_settings_are_read(tmp_path):
    loaded = load(tmp_path, GOOD)
    assert loaded.seed_vms == ("10.1.0.22", "10.2.0.38")
    assert loaded.peer_address("10.2.0.38") == "10.2.0.38:7000"
    assert loaded.bounds.longest_lease_ms == 9000
    assert loaded.bounds.key_revoked_ms == 5000
    assert loaded.bounds.restore_ms is None
    assert loaded.bounds.shutdown_s == 6.0
    assert loaded.scheduling.saved_progress is switches.Switch.AUTO


def test_time_until_the_process_is_killed_may_be_a_fraction(tmp_path):
    for text, shutdown_s in (("2", 2.0), ("2.5", 2.5)):
        loaded = load(tmp_path, f"{GOOD}shutdown_s = {text}\n")
        assert loaded.bounds.shutdown_s == shutdown_s


def test_connections_and_calls_fit_into_the_machine(tmp_path):
    """The rest is for the state and for the connections to others."""
    machines = ((160, 1_638), (200, 4_100), (296, 4_096), (424, 4_096))
    for memory_mb, descriptors in machines:
        limits = load(
            tmp_path,
            f"{GOOD}[limits]\nmemory_mb = {memory_mb}\n"
            f"descriptors = {descriptors}\n",
        ).limits
        used = limits.connections * role_settings.CONNECTION_BYTES
        used += limits.call_bytes
        assert used <= memory_mb * role_settings.MIB / 2
        assert limits.connections <= 0.75 * (descriptors - 200)


def test_a_machine_that_is_too_small_still_gets_connections(tmp_path):
    text = f"{GOOD}[limits]\nmemory_mb = 1\ndescriptors = 100\n"
    assert load(tmp_path, text).limits.connections > 0


def test_switches_of_the_scheduler_are_read(tmp_path):
    text = GOOD + 'restore_ms = 0\n[scheduling]\nsaved_progress = "off"\n'
    loaded = load(tmp_path, text)
    assert loaded.scheduling.saved_progress is switches.Switch.OFF
    assert loaded.scheduling.deferred_preemption is switches.Switch.AUTO
    assert loaded.bounds.restore_ms == 0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (GOOD.replace("peer_port = 7000", ""), "peer_port"),
        (GOOD.replace("7000", '"7000"'), "peer_port"),
        (GOOD.replace("founding", "foundign"), "foundign"),
        (GOOD.replace("[listen]", "[listen"), "settings.toml"),
        (GOOD + "unknown_ms = 5\n", "unknown_ms"),
        (GOOD + "restore_ms = -1\n", "restore_ms"),
        (GOOD + "[scheduling]\nsaved_progress = true\n", "saved_progress"),
        (GOOD + '[scheduling]\nsaved_progress = "On"\n', "saved_progress"),
        (GOOD + '[scheduling]\nsaved = "on"\n', "saved"),
    ],
)
def test_error_names_the_invalid_key_or_the_file(tmp_path, text, named):
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        load(tmp_path, text)
    assert named in caught.value.detail


def test_an_unreadable_file_exits_with_bad_settings(tmp_path, capsys):
    missing = tmp_path / "missing.toml"
    assert role_main.run("core", missing) == running.EXIT_BAD_SETTINGS
    assert "missing.toml" in capsys.readouterr().err


def test_the_template_has_only_known_keys():
    """The template in `deploy` sets only keys of the settings classes."""
    root = pathlib.Path(__file__).parents[3]
    text = (root / "deploy" / "settings.toml.template").read_text()
    known = set(role_settings.RoleSettings.__struct_fields__)
    known |= set(role_settings.Listen.__struct_fields__)
    known |= set(role_settings.Bounds.__struct_fields__)
    known |= set(role_settings.Limits.__struct_fields__)
    keys = {
        line.split("=")[0].strip()
        for line in text.splitlines()
        if "=" in line and not line.startswith("#")
    }
    assert keys and keys <= known


def test_an_invalid_file_raises_a_typed_error(tmp_path):
    """The file is polled, so it may be read while it is being written."""
    wrong = []
    for text in (
        GOOD.replace("7000", "9" * 5_000),
        GOOD.replace("7000", "70000"),
        GOOD.replace("7000", "0"),
        GOOD.replace("9000", "-1"),
        GOOD.replace("9000", "9e3"),
        GOOD.replace("9000", "1979-02-30"),
        GOOD.replace("10.2.0.38:8526", ""),
        GOOD.replace("10.2.0.38:8526", "10.2.0.38"),
        GOOD.replace("10.2.0.38:8526", ":8526"),
        GOOD.replace("10.2.0.38:8526", "10.2.0.38:x"),
        GOOD.replace('["10.1.0.22:8526", "10.2.0.38:8526"]', "[" * 5_000),
        GOOD.replace('address = "10.1.0.22"', 'address = ""'),
    ):
        try:
            load(tmp_path, text)
            wrong.append(f"accepted: {text:.200}")
        except errors.InvalidConfigurationError:
            continue
        except (ValueError, RecursionError) as error:
            wrong.append(f"{error!r:.80}: {text:.200}")
    assert not wrong, "\n".join(wrong)


def test_a_file_is_parsed_only_when_it_changed(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
    file = role_settings.SettingsFile(path)
    first = file.changed()
    assert first is not None and file.changed() is None
    path.write_text(GOOD + "\n")
    assert file.changed() == first
    assert file.changed() is None


def test_an_invalid_change_is_rejected_once_a_valid_one_accepted(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
    file = role_settings.SettingsFile(path)
    first = file.load()
    path.write_text("no settings")
    with pytest.raises(errors.InvalidConfigurationError):
        file.changed()
    assert file.changed() is None
    path.write_text(GOOD)
    assert file.changed() == first
    path.unlink()
    with pytest.raises(errors.InvalidConfigurationError):
        file.changed()
