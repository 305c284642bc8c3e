from starlette import applications

from laburnumsill.api import accounts
from laburnumsill.api import jobs
from laburnumsill.api.tests import asgi
from laburnumsill.jobs.tests import fakes


def app():
    config = fakes.configuration(tana={"guarantee": {"north": {"workers": 1}}})
    domain = fakes.Domain([fakes.worker("w0")], config)
    routes = jobs.routes(domain.service)
    routes += accounts.routes(domain.groups, domain.current, domain.clock)
    return asgi.Caller(applications.Starlette(routes=routes))


async def test_job_is_submitted_read_listed_and_cancelled():
    caller = app()
    body = {"account": "tana", "accelerators": 8, "guaranteed": True}
    submitted = await caller.call(
        "POST", "/v1/jobs", body, {"Idempotency-Key": "k"}
    )
    assert submitted.status == 201
    path = submitted.headers["location"]
    read = await caller.call("GET", path)
    assert (read.status, read.body["state"]) == (200, "queued")
    listed = await caller.call("GET", "/v1/jobs?state=queued&account=tana")
    assert [job["job_id"] for job in listed.body["jobs"]] == [
        read.body["job_id"]
    ]
    deleted = await caller.call("DELETE", path)
    assert (deleted.status, deleted.body["state"]) == (200, "cancelled")


async def test_invalid_job_requests_get_problem_responses():
    caller = app()
    key = {"Idempotency-Key": "k"}
    for body, headers, status, slug in (
        ({"account": "tana"}, {}, 400, "missing-key"),
        ({"account": "tana", "tasks": 0}, key, 400, "malformed-json"),
        ({"account": "nobody"}, key, 404, "unknown-name"),
        (
            {"account": "tana", "accelerators": 9},
            key,
            422,
            "job-impossible",
        ),
    ):
        answer = await caller.call("POST", "/v1/jobs", body, headers)
        assert answer.status == status
        assert answer.body["type"].endswith(slug)
        assert answer.body["detail"]
    for path in ("/v1/jobs/north.1", "/v1/jobs/nowhere.1"):
        assert (await caller.call("GET", path)).status == 404
    assert (await caller.call("GET", "/v1/jobs?limit=0")).status == 400


async def test_accounts_show_guarantee_and_use():
    caller = app()
    answer = await caller.call("GET", "/v1/accounts/tana")
    north = answer.body["domains"]["north"]
    assert north["guarantee"]["workers"] == 1
    assert north["use"]["borrowed"] == 0
    listed = await caller.call("GET", "/v1/accounts")
    assert [account["name"] for account in listed.body["accounts"]] == [
        "fingal",
        "tana",
    ]
    assert (await caller.call("GET", "/v1/accounts/x")).status == 404
