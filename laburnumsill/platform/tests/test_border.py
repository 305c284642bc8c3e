"""Tests that any input of callers and operators is accepted or rejected.

A rejection is an error answer; no input may raise an unexpected exception.
"""

import json

import hypothesis
import hypothesis.strategies as st
import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import domain_gateway
from laburnumsill.batch import gateway
from laburnumsill.core import metrics
from laburnumsill.core import trio_clock
from laburnumsill.daemon import core_role
from laburnumsill.daemon import server
from laburnumsill.platform import caller_app
from laburnumsill.platform import control_app
from laburnumsill.platform import decoding
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests import test_announcements
from laburnumsill.platform.tests import test_caller_app
from laburnumsill.testing import local_groups
from laburnumsill.testing import ports

GROUP = "site"
JOB_ID = "5c0e7a21d94b36f8"
STEP = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 256,
    "gpu": 1,
    "estimate_ms": 900,
    "depends_on": [],
    "saves_progress": True,
    "gang": False,
    "same_rack": False,
    "data_rack": "r1-3",
    "required_label": "a",
    "max_per_server": 1,
    "speculative": False,
    "long_running": False,
}
JOB = {
    "spec": "text",
    "steps": [STEP],
    "repeat_count": 2,
    "start_at_ms": 1_000,
    "interval_ms": 500,
}
VALUES = test_announcements.JSON_VALUES | st.sampled_from(
    [-1, 2**31, 2**63, 2**64, 10**30, -(10**30), 1e300]
)


def altered(document):
    """Returns a strategy for a document with one value replaced."""

    def put(choice):
        path, value = choice
        copy = json.loads(json.dumps(document))
        parent = copy
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = value
        return copy

    paths = list(value_paths(document))
    return st.tuples(st.sampled_from(paths), VALUES).map(put)


def value_paths(document, path=()):
    """Yields the path of each value within a document."""
    members = []
    if isinstance(document, dict):
        members = list(document.items())
    elif isinstance(document, list):
        members = list(enumerate(document))
    for key, value in members:
        yield (*path, key)
        yield from value_paths(value, (*path, key))


class Border:
    """Both applications with a shared ledger."""

    def __init__(self, clock=None):
        clock = clock or trio_clock.TrioClock()
        self.machine = core_role.site_machine(GROUP)
        groups = local_groups.LocalGroups({GROUP: self.machine})
        self.callers = caller_app.CallerApp(
            test_caller_app.Front(),
            gateway.JobGateway(GROUP, groups, clock),
            clock,
            metrics.Metrics(),
        )
        self.control = control_app.ControlApp(
            GROUP,
            groups,
            test_announcements.Intake(),
            domain_gateway.DomainGateway(
                GROUP, groups, lambda: ("north", "south"), clock
            ),
            7000,
            clock,
            metrics.Metrics(),
        )

    def extensions(self):
        """Returns what the server adds to the scope of a request."""
        return {}

    def call(self, app, method, path, body=b"", **headers):
        """Returns the status and the body of the answer."""
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        named = {
            "host": standin.HOST,
            "authorization": f"Bearer {standin.KEY}",
            **headers,
        }
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(k.encode(), v.encode()) for k, v in named.items()],
            "extensions": self.extensions(),
        }
        trio.run(app, scope, receive, send)
        return sent[0]["status"], sent[1]["body"]

    def submit(self, document, **headers):
        raw = json.dumps(document).encode()
        path = f"/batch/{JOB_ID}"
        return self.call(self.callers, "POST", path, raw, **headers)


@hypothesis.given(altered(JOB))
@hypothesis.settings(max_examples=300)
def test_any_job_is_accepted_or_refused(document):
    border = Border()
    status, answer = border.submit(document)
    assert status in (200, 400), answer
    found = border.machine.query(caller_commands.JobQuery(JOB_ID))
    assert bool(found.state) == (status == 200)


@hypothesis.given(altered(standin.configuration(7)))
@hypothesis.settings(max_examples=300)
def test_any_configuration_is_in_force_or_refused(document):
    border = Border()
    control = border.control
    first = json.dumps(standin.configuration(1)).encode()
    path = control_app.CONFIGURATION_PATH
    assert border.call(control, "PUT", path, first)[0] == 200
    raw = json.dumps(document).encode()
    status, answer = border.call(control, "PUT", path, raw)
    assert status in (200, 400), answer
    _, in_force = border.call(control, "GET", path)
    decoding.configuration(in_force)
    is_newer = status == 200 and document["version"] > 1
    assert in_force == (raw if is_newer else first)


def test_any_deadline_header_is_tolerated():
    for text in ("", "0", "9" * 5_000, "-1", "1.5", "x", "²", "0" * 5_000):
        status, answer = Border().submit(JOB, **{"x-deadline-ms": text})
        assert status == 200, (text[:9], answer)


def test_numbers_out_of_range_are_rejected():
    """Integers of the log have 64 bits, and negative limits are invalid.

    A job that no worker may run would wait forever.
    """
    wrong = []
    for path in value_paths(JOB):
        copy = json.loads(json.dumps(JOB))
        parent = copy
        for key in path[:-1]:
            parent = parent[key]
        if type(parent[path[-1]]) is not int:
            continue
        numbers = [10**30, -(10**30)]
        if path[-1] in ("estimate_ms", "max_per_server", "cpu", "count"):
            numbers.append(-1)
        for number in numbers:
            parent[path[-1]] = number
            try:
                status, _ = Border().submit(copy)
            except OverflowError:
                status = "OverflowError"
            if status != 400:
                wrong.append(f"{path[-1]} {number}: {status}")
    version = json.dumps(standin.configuration(10**30)).encode()
    border = Border()
    path = control_app.CONFIGURATION_PATH
    try:
        status, _ = border.call(border.control, "PUT", path, version)
    except OverflowError:
        status = "OverflowError"
    if status != 400:
        wrong.append(f"version 10**30: {status}")
    assert not wrong, "\n".join(wrong)


GARBAGE = [
    b"\x00\xff\xfe\r\n\r\n",
    b"GET\r\n\r\n",
    b"PUT /-/instances/\xff HTTP/1.1\r\nHost: a\r\n\r\n",
    b"PUT /-/instances/%ff%00%zz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"PUT /-/instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"PUT /-/instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab",
    b"PUT * HTTP/1.1\r\nHost: a\r\n\r\n",
    b"BREW /-/config HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    b"Connection: upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
]


async def test_invalid_requests_do_not_affect_other_connections(nursery):
    border = Border()
    address = f"127.0.0.1:{ports.free_ports(1)[0]}"
    stop = trio.Event()
    await nursery.start(server.serve, border.control, address, stop.wait, 0.1)
    other = standin.Caller([address])
    path = "/-/instances/i-1"
    valid = test_announcements.SOUND
    for raw in GARBAGE:
        stream = await trio.open_tcp_stream("127.0.0.1", int(address[10:]))
        await stream.send_all(raw)
        with trio.move_on_after(0.1):
            await stream.receive_some()
        await stream.aclose()
        assert (await other.call("PUT", path, valid))[0] == 200, raw[:40]
    await other.aclose()
    nursery.cancel_scope.cancel()
