"""Tests that the day files of `deploy/days` are valid and documented."""

import pathlib
import tomllib

import pytest

DAYS = pathlib.Path(__file__).parents[3] / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
PLACES = ("class", "service", "zone", "to_zone", "region")


def troubles(day: dict) -> list[dict]:
    """Returns the planned operations and the faults of a day."""
    return day.get("plan", []) + day.get("faults", [])


@pytest.fixture(params=FILES, ids=lambda path: path.stem)
def path(request) -> pathlib.Path:
    """A day file."""
    return request.param


@pytest.fixture
def day(path) -> dict:
    """The only day of a file."""
    (found,) = tomllib.loads(path.read_text())["day"]
    return found


def test_there_are_day_files():
    assert FILES


def test_a_day_file_begins_with_a_comment(path):
    lines = path.read_text().splitlines()
    head = lines[: lines.index("")]
    assert head
    assert all(line.startswith("# ") for line in head)
    assert head[-1].endswith(".")


def test_a_day_is_named_like_its_file(path, day):
    assert day["name"] == path.stem


def test_the_troubles_of_a_day_have_a_kind_and_a_valid_time(day):
    assert troubles(day)
    for trouble in troubles(day):
        assert trouble["kind"]
        assert 0 <= trouble["at"] < day["length_s"]


def test_a_day_refers_to_no_specific_place(day):
    for trouble in troubles(day):
        for place in PLACES:
            assert trouble.get(place, "@").startswith("@")
