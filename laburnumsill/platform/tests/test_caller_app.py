"""Tests of the callers' application without the rest of an entry VM."""

import json

import pytest

from laburnumsill.batch import gateway
from laburnumsill.batch import ledger
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.platform import caller_app
from laburnumsill.platform import decoding
from laburnumsill.platform.tests import standin
from laburnumsill.testing import local_groups


class Front(caller_app.Front):
    """Fake daemon of an entry VM, whose state a test sets."""

    def __init__(self):
        document = json.dumps(standin.configuration(1)).encode()
        self._configuration = decoding.configuration(document)
        self.is_newest = True

    @property
    def configuration(self):
        return self._configuration

    @property
    def may_refuse(self):
        return self.is_newest

    @property
    def ready(self):
        return True


async def get(front, path, key=standin.KEY):
    """Returns the status and the headers of the answer to a GET."""
    return await call(front, local_groups.LocalGroups({}), "GET", path, key=key)


async def call(front, groups, method, path, body=b"", key=standin.KEY):
    """Returns the status and the headers of the answer to a call."""
    clock = trio_clock.TrioClock()
    jobs = gateway.JobGateway("site", groups, clock)
    app = caller_app.CallerApp(front, jobs, clock, metrics.Metrics())
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    headers = {"host": standin.HOST, "authorization": f"Bearer {key}"}
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
    }
    await app(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


@pytest.mark.parametrize(
    ("path", "key", "refusal"),
    [
        ("/nothing/", standin.KEY, 404),
        ("/urgent/", "no-key", 401),
    ],
)
async def test_unknown_names_get_503_if_a_newer_version_may_have_them(
    path, key, refusal
):
    front = Front()
    status, _ = await get(front, path, key)
    assert status == refusal
    front.is_newest = False
    status, headers = await get(front, path, key)
    assert status == 503
    assert int(headers[b"retry-after"]) >= 1


async def test_a_withdrawn_job_is_refused_as_never_run_and_not_to_be_resent():
    """Guards against an answer after which the job counts as accepted."""
    machine = replication.StateMachine(ledger.BatchLedger())
    groups = local_groups.LocalGroups({"site": machine})
    path = "/urgent/00000000000000aa"
    assert (await call(Front(), groups, "DELETE", path))[0] == 410
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100}
    body = json.dumps({"spec": "s", "steps": [step]}).encode()
    status, headers = await call(Front(), groups, "POST", path, body)
    assert status == 503
    assert b"retry-after" not in headers
    assert (await call(Front(), groups, "GET", path))[0] == 410
    other = "/urgent/00000000000000bb"
    assert (await call(Front(), groups, "POST", other, body))[0] == 200
