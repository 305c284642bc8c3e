"""Requests that may have waited for longer than their callers wait."""

import json

import pytest

from laburnumsill.batch import caller_commands
from laburnumsill.core import clock as clocks
from laburnumsill.platform import control_app
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests import test_border
from laburnumsill.wire import arrivals

EVACUATION = "/-/evacuate/north"
JOB_PATH = f"/batch/{test_border.JOB_ID}"


class PausedBorder(test_border.Border):
    """Applications of a daemon that reads requests some time after they came.

    Attributes:
        waited_s: Longest time for which the next request has waited.
    """

    def __init__(self):
        super().__init__(clocks.SystemClock())
        self.waited_s = 0.0

    def extensions(self):
        after = clocks.SystemClock().monotonic() - self.waited_s
        return {arrivals.EXTENSION: {arrivals.AFTER: after}}

    def state(self):
        query = caller_commands.JobQuery(test_border.JOB_ID)
        return self.machine.query(query).state


def slug_of(answer):
    return json.loads(answer)["type"]


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_an_order_that_waited_too_long_changes_nothing(method):
    """Guards against an order that is carried out after a later one."""
    border = PausedBorder()
    opposite = {"POST": "DELETE", "DELETE": "POST"}[method]
    assert border.call(border.control, opposite, EVACUATION)[0] == 200
    before = border.machine.dump()
    border.waited_s = control_app.OPERATOR_TIMEOUT_S
    status, answer = border.call(border.control, method, EVACUATION)
    assert (status, slug_of(answer)) == (503, "request-late")
    assert border.machine.dump() == before
    border.waited_s = control_app.OPERATOR_TIMEOUT_S / 2
    assert border.call(border.control, method, EVACUATION)[0] == 200


def test_a_submission_that_waited_too_long_is_not_accepted():
    """Guards against a job of a caller that has left."""
    border = PausedBorder()
    border.waited_s = 2.0
    headers = {"x-deadline-ms": "2000"}
    status, answer = border.submit(test_border.JOB, **headers)
    assert (status, slug_of(answer)) == (503, "request-late")
    assert not border.state()
    border.waited_s = 1.0
    assert border.submit(test_border.JOB, **headers)[0] == 200
    border.waited_s = 2.0
    status, _ = border.call(border.callers, "DELETE", JOB_PATH, **headers)
    assert status == 503
    assert border.state() == "queued"


def test_a_configuration_that_waited_replaces_no_higher_version():
    """Guards against an older configuration that comes into force again."""
    border = PausedBorder()
    path = control_app.CONFIGURATION_PATH
    for version, waited_s in ((3, 0.0), (2, 10.0)):
        border.waited_s = waited_s
        document = json.dumps(standin.configuration(version)).encode()
        assert border.call(border.control, "PUT", path, document)[0] == 200
    border.waited_s = 0.0
    status, answer = border.call(border.control, "GET", path)
    assert (status, json.loads(answer)["version"]) == (200, 3)
