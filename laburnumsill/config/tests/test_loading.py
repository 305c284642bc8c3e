import pathlib

import pytest

from laburnumsill.config import canonical
from laburnumsill.config import loading
from laburnumsill.config import overlay
from laburnumsill.config import toml_files

UNKNOWN = overlay.UnknownOverlayKeyError
UNCHANGED = overlay.UnchangedOverlayKeyError
INVALID = toml_files.InvalidFileError
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
BASE = """
open_tables = ["accounts", "accounts.*.guarantee"]
site = "base"
domains = ["main"]
[classes.quick]
urgency = 0
repeatable = true
[services.booking]
classes = ["quick"]
[accounts.lakeside]
weight = 1.0
guarantee = {}
[jobs]
lease_s = 10
"""
SITE = 'site = "shore"\ndomains = ["north"]\n'


def load(folder: pathlib.Path, base: str, site: str):
    (folder / "base.toml").write_text(base)
    (folder / "site.toml").write_text(site)
    return loading.load(folder / "base.toml", folder / "site.toml")


def test_overlay_values_replace_base_values(tmp_path):
    text = "[jobs]\nlease_s = 5\n[accounts.new]\nweight = 2.0\n"
    text += "[accounts.lakeside.guarantee.north]\nracks = 1\n"
    configuration = load(tmp_path, BASE, SITE + text)
    assert configuration.site == "shore"
    assert configuration.jobs.lease_s == 5
    assert configuration.jobs.max_tries == 3
    assert configuration.accounts["new"].weight == 2
    assert configuration.accounts["lakeside"].guarantee["north"].racks == 1


@pytest.mark.parametrize(
    ("text", "error", "key"),
    [
        ("jobs.leese_s = 5", UNKNOWN, "jobs.leese_s"),
        ("colour = 5", UNKNOWN, "colour"),
        ("jobs = 5", UNKNOWN, "jobs"),
        ("jobs.lease_s.x = 5", UNKNOWN, "jobs.lease_s"),
        ("classes.slow.urgency = 5", UNKNOWN, "classes.slow"),
        ('open_tables = ["classes"]', UNKNOWN, "open_tables"),
        ("jobs.lease_s = 10", UNCHANGED, "jobs.lease_s"),
        ("jobs.lease_s = 10.0", UNCHANGED, "jobs.lease_s"),
        ("[jobs]", UNCHANGED, "jobs"),
        ("jobs.lease_s = -1", INVALID, "jobs.lease_s"),
        ('jobs.lease_s = "1"', INVALID, "jobs.lease_s"),
        ("accounts.a.colour = 1", INVALID, "accounts.a.colour"),
        (
            "accounts.a.guarantee.nowhere.racks = 1",
            INVALID,
            "accounts.a.guarantee",
        ),
        (
            'services.booking.classes = ["quick", "slow"]',
            INVALID,
            "services.booking.classes",
        ),
        ("jobs.lease_s = ", INVALID, ""),
        ("jobs.lease_s = 5\njobs.lease_s = 6", INVALID, ""),
    ],
)
def test_error_of_an_invalid_overlay_names_file_and_key(
    tmp_path, text, error, key
):
    with pytest.raises(error) as caught:
        load(tmp_path, BASE, SITE + text)
    assert type(caught.value) is error
    assert caught.value.context["file"] == str(tmp_path / "site.toml")
    assert caught.value.context["key"] == key
    assert "\n" not in str(caught.value)


def test_error_of_an_invalid_base_value_names_the_base_file(tmp_path):
    base = BASE.replace("lease_s = 10", "lease_s = 0")
    with pytest.raises(toml_files.InvalidFileError) as caught:
        load(tmp_path, base, SITE)
    assert caught.value.context["file"] == str(tmp_path / "base.toml")
    assert caught.value.context["key"] == "jobs.lease_s"
    with pytest.raises(toml_files.InvalidFileError, match="open_tables"):
        load(tmp_path, BASE.replace('["accounts",', '[7, "accounts",'), SITE)


def test_unreadable_files_are_refused(tmp_path):
    with pytest.raises(toml_files.MissingFileError, match="none.toml"):
        loading.load(tmp_path / "none.toml", None)
    with pytest.raises(toml_files.MissingFileError):
        loading.load(tmp_path, None)
    (tmp_path / "latin.toml").write_bytes(b'site = "\xe9"')
    with pytest.raises(toml_files.InvalidFileError, match="UTF-8"):
        loading.load(tmp_path / "latin.toml", None)


@pytest.mark.parametrize(
    ("site", "domains"), [("tana-shore", 3), ("fingal", 4)]
)
def test_examples(site, domains):
    configuration = loading.load(
        EXAMPLES / "base.toml", EXAMPLES / site / "site.toml"
    )
    assert configuration.site == site
    assert len(configuration.domains) == domains
    assert len(configuration.accounts) == 4
    for domain in configuration.domains:
        shapes = [
            account.guarantee[domain]
            for account in configuration.accounts.values()
            if domain in account.guarantee
        ]
        guaranteed = sum(
            16 * shape.racks
            + 8 * shape.workers
            + 2 * shape.pairs
            + shape.accelerators
            for shape in shapes
        )
        assert 0 < guaranteed <= 16


def test_canonical_form_is_stable():
    configuration = loading.load(
        EXAMPLES / "base.toml", EXAMPLES / "fingal" / "site.toml"
    )
    raw = canonical.encode(configuration)
    assert canonical.decode(raw) == configuration
    assert canonical.encode(canonical.decode(raw)) == raw
    shuffled = dict(reversed(list(configuration.model_dump().items())))
    other = canonical.from_values(shuffled)
    assert canonical.digest(canonical.encode(other)) == canonical.digest(raw)


@pytest.mark.parametrize(
    "raw", [b"", b"[]", b"{", b'{"site": "a"}', b'{"site":"A","domains":["b"]}']
)
def test_bytes_that_are_not_a_configuration_are_refused(raw):
    with pytest.raises(canonical.UnreadableConfigurationError) as caught:
        canonical.decode(raw)
    assert caught.value.context["expected"]
