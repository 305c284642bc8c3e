"""Tests of the causes of a job's time, from log lines to sums."""

import pytest

from laburnumsill.explain import causes
from laburnumsill.explain import lines
from laburnumsill.explain import stories
from laburnumsill.explain import sums

Cause = causes.Cause


def site_of(*texts: str) -> stories.SiteStory:
    """Returns the site of log lines, each of which begins with its second."""
    return stories.story_of(
        lines.events_of(
            f"time=2026-01-01T00:00:{float(at):06.3f}Z level=INFO {rest}"
            for at, _, rest in (text.partition(" ") for text in texts)
        )
    )


def parts_of(site: stories.SiteStory, job_id: str) -> dict[str, float]:
    """Returns the seconds of a job by cause."""
    parts: dict[str, float] = {}
    for span in causes.spans_of(site.jobs[job_id], site):
        parts[span.cause] = parts.get(span.cause, 0) + span.seconds
    return {cause: round(seconds, 3) for cause, seconds in parts.items()}


SCHEDULER_STARTED = "0.0 event=scheduler-started fence=1 vm=core1"
REFUSED = (
    "1.5 event=caller-request job=j queue=q account=a method=POST status=503"
    " reason=no-quorum took_ms=500 vm=front1"
)
ACCEPTED = (
    "2.6 event=caller-request job=j queue=q account=a method=POST status=200"
    ' reason="" took_ms=100 vm=front2'
)
ENDED = (
    "9.0 event=job-ended job=j state=completed stretch=1.5 target_ms=500"
    " vm=core1"
)


def placed(at: float, run: str, worker: str, gang: bool = True) -> str:
    return (
        f"{at} event=run-placed job=j run={run} worker={worker} queue=q"
        f' gang={gang} waited_ms=0 refusal="" vm=core1'
    )


def started(at: float, run: str) -> str:
    return f'{at} event=run-started job=j run={run} worker=w saved="" vm=core1'


def ended(at: float, run: str, kind: str) -> str:
    return f"{at} event=run-ended job=j run={run} kind={kind} vm=core1"


def test_refused_submissions_count_from_the_first():
    site = site_of(
        SCHEDULER_STARTED,
        REFUSED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        started(2.7, "j.0.0.0#1"),
        ended(9.0, "j.0.0.0#1", "done"),
        ENDED,
    )
    assert parts_of(site, "j") == {
        Cause.HAND_IN: 1.6,
        Cause.STARTING: 0.1,
        Cause.RUNNING: 6.3,
    }
    job = site.jobs["j"]
    assert [call.reason for call in job.submissions] == ["no-quorum", ""]
    spans = causes.spans_of(job, site)
    assert causes.late_by_s(job, spans) == pytest.approx(8 - 1.5 * 6.3 - 0.5)


def test_a_gang_starts_with_its_last_task():
    site = site_of(
        SCHEDULER_STARTED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        placed(2.6, "j.0.0.1#1", "w2"),
        started(2.7, "j.0.0.0#1"),
        started(3.6, "j.0.0.1#1"),
        ended(9.0, "j.0.0.0#1", "done"),
    )
    parts = parts_of(site, "j")
    assert parts[Cause.STARTING] == 1.0
    assert parts[Cause.RUNNING] == 5.4


def test_waiting_is_split_into_capacity_and_lack_of_a_leader():
    site = site_of(
        SCHEDULER_STARTED,
        placed(1.0, "k.0.0.0#1", "w1").replace("job=j", "job=k"),
        ACCEPTED,
        "3.0 event=unit-waits job=j occurrence=0 step=0 obstacle=no",
        "3.1 event=run-stop job=k run=k.0.0.0#1 reason=room for_job=j vm=core1",
        "4.0 event=scheduler-started fence=2 vm=core2",
        placed(4.5, "j.0.0.0#1", "w1").replace("core1", "core2"),
        started(4.5, "j.0.0.0#1"),
        ended(9.0, "j.0.0.0#1", "done"),
        ENDED,
    )
    parts = parts_of(site, "j")
    assert parts[Cause.NO_LEADER] == 0.9
    assert parts[Cause.ROOM] == pytest.approx(0.5 + 0.5)
    assert Cause.STOPS not in parts


def test_waiting_is_split_into_capacity_and_preemption():
    site = site_of(
        SCHEDULER_STARTED,
        placed(1.0, "k.0.0.0#1", "w1").replace("job=j", "job=k"),
        ACCEPTED,
        "3.1 event=run-stop job=k run=k.0.0.0#1 reason=room for_job=j vm=core1",
        placed(4.5, "j.0.0.0#1", "w1"),
        started(4.5, "j.0.0.0#1"),
        ended(9.0, "j.0.0.0#1", "done"),
    )
    parts = parts_of(site, "j")
    assert parts[Cause.ROOM] == 0.5
    assert parts[Cause.STOPS] == 1.4


@pytest.mark.parametrize(
    "kind, stop, cause",
    [
        ("stopped", "an urgent job needs the room", Cause.STOPPED),
        ("failed", "", Cause.FAILED),
        ("lease-ended", "", Cause.LOST),
        ("member-ended", "", Cause.LOST),
    ],
)
def test_incomplete_runs_count_by_the_kind_of_their_end(kind, stop, cause):
    stop_line = (
        f'5.0 event=run-stop job=j run=j.0.0.0#1 reason="{stop}" vm=core1'
    )
    site = site_of(
        SCHEDULER_STARTED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        started(2.6, "j.0.0.0#1"),
        *([stop_line] if stop else []),
        ended(5.6, "j.0.0.0#1", kind),
        placed(5.6, "j.0.0.0#2", "w1"),
        started(5.6, "j.0.0.0#2"),
        ended(9.0, "j.0.0.0#2", "done"),
    )
    assert parts_of(site, "j")[cause] == 3.0


def test_each_job_counts_in_all_of_its_groups():
    site = site_of(
        "0.0 event=daemon-started domain=north vm=front1",
        SCHEDULER_STARTED,
        REFUSED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        started(2.6, "j.0.0.0#1"),
        ended(9.0, "j.0.0.0#1", "done"),
        ENDED,
    )
    totals = sums.sums_of(site)
    assert set(totals) == {
        "all",
        "queue q",
        "account a",
        "domain north",
        "from second 0",
    }
    assert all(group["jobs"] == 1 for group in totals.values())
    assert totals["all"][Cause.HAND_IN] == pytest.approx(1.6)


def test_foreign_and_malformed_lines_are_skipped():
    malformed = [
        "",
        "time=",
        "time=yesterday event=run-placed",
        "time=2026-01-01T00:00:01.000 event=run-placed vm=a",
        "Traceback (most recent call last):",
        "   1.2 core1 time=2026-01-01T00:00:01.000Z vm=a level=INFO",
    ]
    assert lines.events_of(malformed) == []
    one = lines.parse_event(
        '3.5 core1 time=2026-01-01T00:00:01.000Z event=x a="b \\"c\\"\\nd" vm=v'
    )
    assert one is not None
    assert one.text("a") == 'b "c"\nd'
    assert one.number("a") == 0.0


def test_a_run_that_ended_twice_stays_done():
    site = site_of(
        SCHEDULER_STARTED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        ended(4.0, "j.0.0.0#1", "done"),
        ended(5.0, "j.0.0.0#1", "lease-ended"),
    )
    run = site.jobs["j"].runs["j.0.0.0#1"]
    assert run.end == "done"
    assert run.started_at is None


def test_a_run_of_a_long_running_task_that_was_done_is_followed_by_another():
    """Guards against a story in which such a task has ended."""
    site = site_of(
        SCHEDULER_STARTED,
        ACCEPTED,
        placed(2.6, "j.0.0.0#1", "w1"),
        started(2.7, "j.0.0.0#1"),
        ended(5.0, "j.0.0.0#1", "done"),
        "5.0 event=task-restarts job=j run=j.0.0.0#1 worker=w1 kind=done"
        " pause_ms=0 vm=core1",
        placed(5.2, "j.0.0.0#2", "w2"),
        started(5.3, "j.0.0.0#2"),
        ended(9.0, "j.0.0.0#2", "done"),
    )
    spans = causes.spans_of(site.jobs["j"], site)
    details = [one.detail for one in spans if one.cause is Cause.RUNNING]
    assert details == ["w1, its task lasts and starts again", "w2"]
