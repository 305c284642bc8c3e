"""Tests that valid announcements are forwarded and all others rejected."""

import json

import hypothesis
import hypothesis.strategies as st
import loguru
import trio

from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.core import codec
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import trio_clock
from laburnumsill.platform import control_app

SOUND = {
    "service": "hutdesk",
    "address": "10.128.0.9:8080",
    "zone": "swords",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
}
REQUIRED = sorted(SOUND)

WRONG_VALUES = {
    "service": ["", None, 7, ["hutdesk"], "x" * 10_000],
    "address": [
        "",
        "10.128.0.9",
        "10.128.0.9:",
        "10.128.0.9:0",
        "10.128.0.9:99999",
        "10.128.0.9:-1",
        "10.128.0.9:8080/x",
        "10.128.0.999:8080",
        "10.128.0:8080",
        "0.0.0.0:8080",
        "224.0.0.1:8080",
        "[::]:8080",
        "::1:8080",
        "http://10.128.0.9:8080",
        "user@10.128.0.9:8080",
        "10.128.0.9 :8080",
        "10.128.0.9:8080\r\nX: y",
        "é.example:8080",
        "a" * 70 + ".example:8080",
        ":8080",
        8080,
        None,
    ],
    "zone": ["", None, 3, {"name": "swords"}],
    "version": [None, 3],
    "slots": [-1, "8", 8.5, None, 10**30],
    "state": ["", "Ready", "unknown", "leaving", None, 1, True, ["ready"]],
    "cold_left_ms": [-1, "0", None, 10**30],
    "capacity": [
        None,
        [],
        {},
        {"cpu": 16000, "mem_mb": 32768},
        {"cpu": -1, "mem_mb": 32768, "gpu": 0},
        {"cpu": 1.5, "mem_mb": 32768, "gpu": 0},
        {"cpu": "16000", "mem_mb": 32768, "gpu": 0},
        {"cpu": True, "mem_mb": 32768, "gpu": 0},
        {"cpu": 10**18, "mem_mb": 32768, "gpu": 0},
        {"cpu": 16000, "mem_mb": 10**30, "gpu": 0},
        {"cpu": 16000, "mem_mb": 32768, "gpu": 10**9},
    ],
    "labels": [None, "a", ["a", 3], ["a", None], [["a"]], {"a": "r1-3"}, [""]],
    "clock_ms": ["482113", None, -1, 10**30, 1.5],
    "seq": ["4", None, -1, 10**30, 1.5, True],
    "remaining_ms": ["4", -1, 10**30],
    "born": ["1", None, -1, 10**30, 1.5, True, [1]],
}
SOUND_RAW = json.dumps(SOUND).encode()
UNREADABLE = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b'"ready"',
    b"[" * 100_000,
    SOUND_RAW[:-1],
    SOUND_RAW + b"x",
    SOUND_RAW.decode().encode("utf-16"),
    SOUND_RAW[:-1] + b', "note": "\xff"}',
    SOUND_RAW[:-1] + b', "note": NaN}',
    SOUND_RAW[:-1] + b', "note": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    SOUND_RAW[:-1] + b', "note": ' + b"9" * 10_000 + b"}",
    SOUND_RAW[:-1] + b', "state": "draining"}',
    SOUND_RAW.replace(b"swords", b"\\ud800"),
    SOUND_RAW.replace(b"16000", b"1e999"),
    SOUND_RAW.replace(b"16000", b"9" * 10_000),
    SOUND_RAW.replace(b'"gpu": 0', b'"gpu": 0, "gpu": 8'),
]
WRONG_IDS = ["", "a/b", "a b", "é", "a\nb", "\x00", "x" * 1_000, "..", "/"]


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


class Intake:
    """Records the announcements that the application forwards."""

    def __init__(self):
        self.taken = []

    async def announce(self, announcement):
        codec.encode(announcement)  # as when it is forwarded to the leader
        self.taken.append(announcement)
        return "127.0.0.1"

    async def leave(self, worker_id):
        self.taken.append(intakes.Departure(worker_id))
        return "127.0.0.1"


class Border:
    """Calls the application of operators and workers without a network."""

    def __init__(self):
        self.intake = Intake()
        self.lines = []
        self.app = control_app.ControlApp(
            "site",
            None,
            self.intake,
            None,
            7000,
            trio_clock.TrioClock(),
            metrics_module.Metrics(),
        )

    def put(self, raw, worker_id="i-1", method="PUT"):
        """Returns the status and the body of the answer."""
        sink = loguru.logger.add(self.lines.append, level="WARNING")
        try:
            return trio.run(self._put, raw, worker_id, method)
        finally:
            loguru.logger.remove(sink)

    async def _put(self, raw, worker_id, method):
        sent = []

        async def receive():
            return {"type": "http.request", "body": raw, "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": f"/-/instances/{worker_id}",
            "headers": [],
        }
        await self.app(scope, receive, send)
        return sent[0]["status"], json.loads(sent[1]["body"])


def bad_bodies():
    """Yields invalid announcements, each with a distinct name."""
    for field in REQUIRED:
        without = {key: SOUND[key] for key in SOUND if key != field}
        yield f"without {field}", json.dumps(without).encode()
    for field, values in WRONG_VALUES.items():
        for value in values:
            name = f"{field} is {value!r:.40}"
            yield name, json.dumps({**SOUND, field: value}).encode()
    for raw in UNREADABLE:
        yield f"{raw[:20]!r}..{raw[-20:]!r}", raw


def rejection_fault(raw, worker_id="i-1", method="PUT"):
    """Returns the fault in the rejection of a bad announcement, or ""."""
    border = Border()
    try:
        status, answer = border.put(raw, worker_id, method)
    except Exception as error:  # noqa: BLE001  # no bad body may raise
        return f"{type(error).__name__}"
    if border.intake.taken:
        return "forwarded"
    if status != 400 or answer["type"] != "malformed-announcement":
        return f"{status} {answer}"
    if len(border.lines) != 1 or " reason=" not in border.lines[0]:
        return f"{border.lines}"
    if border.put(SOUND_RAW)[0] != 200:
        return "the next valid one is rejected"
    return ""


def test_a_bad_announcement_is_rejected_without_effect():
    wrong = {name: rejection_fault(raw) for name, raw in bad_bodies()}
    for worker_id in WRONG_IDS:
        for method in ("PUT", "DELETE"):
            name = f"{method} with id {worker_id!r:.20}"
            wrong[name] = rejection_fault(SOUND_RAW, worker_id, method)
    found = [f"{name}: {fault}" for name, fault in wrong.items() if fault]
    assert not found, "\n".join(found)


def test_valid_announcements_are_forwarded():
    border = Border()
    more = {**SOUND, "state": "draining", "remaining_ms": 4000, "new": [1, {}]}
    for changes in ({}, more, {"labels": []}, {"address": "[::1]:1"}):
        raw = json.dumps({**SOUND, **changes}).encode()
        assert border.put(raw)[0] == 200
    clocks = [one.clock_ms for one in border.intake.taken]
    assert clocks == [482113] * 4
    assert not border.lines
    left = [one.time_left_ms for one in border.intake.taken]
    assert left == [None, 4000, None, None]
    first, draining = border.intake.taken[:2]
    assert not first.worker.draining and draining.worker.draining
    assert first.worker.rack == "r1-3" and first.sequence == 4
    assert first.worker.capacity == model.Resources(16000, 32768, 0)


def test_incarnations_of_one_id_differ_by_their_start_time():
    border = Border()
    for born in (1_700_000_000_000, 1_700_000_005_000):
        assert (
            border.put(json.dumps({**SOUND, "born": born}).encode())[0] == 200
        )
    first, second = (one.worker for one in border.intake.taken)
    assert first.worker_id != second.worker_id
    assert first.call_name == second.call_name == "i-1"


@hypothesis.given(st.sampled_from(sorted(SOUND)), JSON_VALUES)
def test_any_value_in_a_field_is_taken_or_refused(field, value):
    border = Border()
    raw = json.dumps({**SOUND, field: value}).encode()
    status, _ = border.put(raw)
    assert status == (200 if border.intake.taken else 400)


@hypothesis.given(st.binary(max_size=200) | JSON_VALUES.map(json.dumps))
def test_any_bytes_are_refused(raw):
    border = Border()
    body = raw.encode() if isinstance(raw, str) else raw
    assert border.put(body)[0] == 400
    assert not border.intake.taken
