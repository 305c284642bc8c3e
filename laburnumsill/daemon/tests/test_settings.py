"""Parsing and validation of the settings of a daemon."""

import pathlib

import pytest

from laburnumsill.config import toml_files
from laburnumsill.core import topology
from laburnumsill.daemon import settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
VMS = """
[[vms]]
vm_id = "vm1"
domain = "north"
client_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
disk = true

[[vms]]
vm_id = "vm2"
domain = "south"
client_address = "127.0.0.1:7003"
peer_address = "127.0.0.1:7004"
"""
OWN = 'vm_id = "vm1"\ndata_folder = "data"\n'


def write(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "vm.toml"
    path.write_text(text)
    return path


def test_a_complete_file(tmp_path):
    dial = 'log_level = "DEBUG"\ndial = {vm2 = "127.0.0.1:9"}\n'
    loaded = settings.load(write(tmp_path, OWN + dial + VMS))
    assert loaded.local_vm.domain == "north"
    assert loaded.local_vm in loaded.vms
    assert len(loaded.vms) == 2
    assert loaded.dial == {"vm2": "127.0.0.1:9"}
    assert loaded.data_folder == tmp_path / "data"
    assert loaded.listen_address == "127.0.0.1:7001"
    assert loaded.log_level == "DEBUG"


def test_list_of_vms_in_another_file(tmp_path):
    (tmp_path / "all.toml").write_text(VMS)
    path = write(tmp_path, 'vm_id = "vm2"\nvms_file = "all.toml"')
    loaded = settings.load(path)
    assert loaded.data_folder is None
    assert loaded.dial == {"vm1": "127.0.0.1:7002"}


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("vm_id = ", ""),
        (OWN, "vms_file"),
        (OWN + 'vms_file = "x.toml"\n' + VMS, "vms_file"),
        ('vm_id = "vm1"\n' + VMS, "data_folder"),
        ('vm_id = "vm2"\ndata_folder = "data"\n' + VMS, "data_folder"),
        ('vm_id = "vm3"\n' + VMS, "vm_id"),
        ("vm_id = 3\n" + VMS, "vm_id"),
        (VMS, "vm_id"),
        (OWN + "colour = 1\n" + VMS, "colour"),
        (OWN + 'log_level = "LOUD"\n' + VMS, "log_level"),
        (OWN + "replace_after_s = 0\n" + VMS, "replace_after_s"),
        (OWN + 'dial = {vm9 = "127.0.0.1:9"}\n' + VMS, "dial"),
        (OWN + 'dial = {vm2 = "127.0.0.1"}\n' + VMS, "dial.vm2"),
        (OWN + VMS.replace("7003", "70030"), "vms.1.client_address"),
        (OWN + VMS.replace("127.0.0.1:7004", "host:1"), "vms.1.peer_address"),
        (OWN + VMS.replace("7003", "7001"), "vms.1.client_address"),
        (OWN + VMS.replace("7004", "7003"), "vms.1.peer_address"),
        (OWN + VMS.replace('"vm2"', '"vm1"'), "vms.1.vm_id"),
        (OWN + VMS.replace("true", '"maybe"'), "vms.0.disk"),
        (OWN + VMS.replace('domain = "south"', ""), "vms.1.domain"),
    ],
)
def test_error_names_file_key_and_expected_value(tmp_path, text, key):
    path = write(tmp_path, text)
    with pytest.raises(settings.InvalidSettingsError) as caught:
        settings.load(path)
    context = caught.value.context
    assert context["file"] == str(path)
    assert context["key"] == key
    assert context["expected"]
    assert "\n" not in str(caught.value)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(toml_files.MissingFileError, match="none.toml"):
        settings.load(tmp_path / "none.toml")
    path = write(tmp_path, OWN + 'vms_file = "none.toml"')
    with pytest.raises(toml_files.MissingFileError, match="none.toml"):
        settings.load(path)


@pytest.mark.parametrize(
    ("site", "domains"), [("tana-shore", 3), ("fingal", 4)]
)
def test_settings_of_the_examples_are_valid(site, domains):
    for number in range(1, 9):
        loaded = settings.load(EXAMPLES / site / f"vm{number}.toml")
        assert loaded.local_vm.vm_id == f"vm{number}"
        assert len(loaded.vms) == 8
        assert len(topology.domains(loaded.vms)) == domains
        disks = [vm for vm in loaded.vms if vm.has_disk]
        assert len(disks) == 4
        assert len(topology.domains(disks)) == domains
