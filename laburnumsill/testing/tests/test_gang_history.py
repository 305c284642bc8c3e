"""The check of histories finds what it is there to find."""

import pathlib

import orjson
import pytest

from laburnumsill.testing import gang_history


class Site:
    """The files of two workers."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def names(self, prefix):
        return [f"{prefix}0", f"{prefix}1"]

    def file(self, name):
        return self._folder / name

    def write(self, worker, *lines):
        text = b"".join(
            orjson.dumps(
                {
                    "at": at,
                    "what": what,
                    "job_id": "j",
                    "task_id": f"j.{epoch}.{worker}",
                    "epoch": epoch,
                }
            )
            + b"\n"
            for at, what, epoch in lines
        )
        self.file(f"worker-{worker}.jsonl").write_bytes(text)


def history(folder, first, second):
    site = Site(folder)
    site.write(0, *first)
    site.write(1, *second)
    return gang_history.check_gangs(site, {"j": 2})


def test_whole_gangs_one_epoch_after_another_pass(tmp_path: pathlib.Path):
    ran = [(0, "running", 1), (5, "ended", 1), (6, "running", 2)]
    assert len(history(tmp_path, ran, ran)) == 2


def test_half_a_gang_is_found(tmp_path: pathlib.Path):
    with pytest.raises(AssertionError):
        history(tmp_path, [(0, "running", 1), (9, "ended", 1)], [])


def test_a_member_that_outlives_its_gang_is_found(tmp_path: pathlib.Path):
    first = [(0, "running", 1), (1, "ended", 1)]
    second = [(0, "running", 1), (9, "ended", 1)]
    with pytest.raises(AssertionError):
        history(tmp_path, first, second)


def test_half_a_gang_that_still_runs_is_found(tmp_path: pathlib.Path):
    with pytest.raises(AssertionError):
        history(tmp_path, [(0, "running", 1)], [])


def test_a_member_that_runs_on_alone_is_found(tmp_path: pathlib.Path):
    first = [(0, "running", 1), (1, "ended", 1)]
    with pytest.raises(AssertionError):
        history(tmp_path, first, [(0, "running", 1)])


def test_a_late_start_is_found(tmp_path: pathlib.Path):
    with pytest.raises(AssertionError):
        history(tmp_path, [(0, "running", 1)], [(3, "running", 1)])


def test_two_epochs_at_once_are_found(tmp_path: pathlib.Path):
    first = [(0, "running", 1), (5, "ended", 1), (5.5, "running", 2)]
    second = [(0, "running", 1), (5.6, "ended", 1), (5.5, "running", 2)]
    with pytest.raises(AssertionError):
        history(tmp_path, first, second)


def test_an_earlier_epoch_that_never_ended_is_found(tmp_path: pathlib.Path):
    ran = [(0, "running", 1), (1, "running", 2)]
    with pytest.raises(AssertionError):
        history(tmp_path, ran, ran)


def test_a_start_before_all_have_prepared_is_found(tmp_path: pathlib.Path):
    site = Site(tmp_path)
    site.write(0, (0, "prepared", 1), (2, "running", 1))
    site.write(1, (1, "prepared", 1), (2, "running", 1))
    gang_history.check_prepared_first(site, {"j": 2})
    site.write(1, (3, "prepared", 1), (4, "running", 1))
    with pytest.raises(AssertionError):
        gang_history.check_prepared_first(site, {"j": 2})
    site.write(1)
    with pytest.raises(AssertionError):
        gang_history.check_prepared_first(site, {"j": 2})
