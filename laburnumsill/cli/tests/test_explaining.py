"""Tests of `laburnumsill job explain`."""

import orjson

from laburnumsill.cli import failures
from laburnumsill.cli import main

LOG = """\
time=2026-01-01T00:00:00.000Z event=scheduler-started fence=1 vm=core1
time=2026-01-01T00:00:01.000Z event=caller-request job=j queue=q account=a \
method=POST status=200 reason="" took_ms=10 vm=front1
time=2026-01-01T00:00:01.100Z event=run-placed job=j run=j.0.0.0#1 \
worker=w queue=q gang=False waited_ms=100 refusal="" vm=core1
time=2026-01-01T00:00:01.200Z event=run-started job=j run=j.0.0.0#1 vm=core1
time=2026-01-01T00:00:04.200Z event=run-ended job=j run=j.0.0.0#1 kind=done \
vm=core1
"""


def test_job_is_explained_from_log_files(tmp_path, capsys):
    path = tmp_path / "core1.log"
    path.write_text(LOG)
    arguments = ["--output", "json", "job", "explain", "j", "--logs", str(path)]
    assert main.run(arguments) == failures.EXIT_DONE
    rows = orjson.loads(capsys.readouterr().out)
    assert [row["cause"] for row in rows] == [
        "hand-in",
        "room",
        "starting",
        "running",
        "not ended",
    ]


def test_all_jobs_are_summed_by_group(tmp_path, capsys):
    path = tmp_path / "core1.log"
    path.write_text(LOG)
    arguments = ["job", "explain", "--logs", str(path)]
    assert main.run(arguments) == failures.EXIT_DONE
    assert "queue q" in capsys.readouterr().out


def test_job_missing_from_logs_is_refused(tmp_path, capsys):
    path = tmp_path / "core1.log"
    path.write_text(LOG)
    arguments = ["job", "explain", "k", "--logs", str(path)]
    assert main.run(arguments) == failures.EXIT_REFUSED
    assert "k" in capsys.readouterr().err


def test_missing_log_file_is_bad_usage(tmp_path, capsys):
    arguments = ["job", "explain", "--logs", str(tmp_path / "none.log")]
    assert main.run(arguments) == failures.EXIT_USAGE
    assert "none.log" in capsys.readouterr().err
