import json

import pytest
from starlette import routing

from laburnumsill.api import configuration as configuration_api
from laburnumsill.config import current
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.state import configuration
from laburnumsill.testing import local_groups

GOOD = {"site": "shore", "domains": ["north"]}


class InForce(configuration_api.InForce):
    def __init__(self):
        self.offered = []
        self.vms = [
            configuration_api.VmInForce("vm1", "north", True, 1, "d"),
            configuration_api.VmInForce("vm2", "south", False, 0, ""),
        ]

    def offer(self, accepted):
        self.offered.append(accepted)

    def status(self):
        return self.vms


class LossyGroups(local_groups.LocalGroups):
    """Replica groups that lose the answers to the next `losses` proposals."""

    losses = 0

    async def propose(self, group, command, deadline):
        answer = await super().propose(group, command, deadline)
        if self.losses:
            self.losses -= 1
            raise errors.ProposalLostError("lost")
        return answer


class Api:
    def __init__(self):
        self.log = configuration.ConfigurationLog()
        machine = replication.StateMachine(self.log)
        self.groups = LossyGroups({"root": machine})
        self.current, self.sync = current.Current(), InForce()
        self.router = routing.Router(
            configuration_api.routes(
                self.groups, self.current, self.sync, trio_clock.TrioClock()
            )
        )

    async def send(self, method, target, body=None, key=""):
        path, _, query = target.partition("?")
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = [(b"idempotency-key", key.encode())] if key else []
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": headers,
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": raw, "more_body": False}

        async def send(message):
            sent.append(message)

        await self.router(scope, receive, send)
        return sent[0]["status"], json.loads(sent[1]["body"])

    async def push(
        self, expected, site="shore", operator="ann", key="", domains=("north",)
    ):
        body = {
            "expected_version": expected,
            "configuration": {**GOOD, "site": site, "domains": domains},
            "operator": operator,
        }
        return await self.send("PUT", "/v1/config", body, key)


async def test_push_then_read():
    api = Api()
    status, accepted = await api.push(0)
    assert (status, accepted["version"]) == (200, 1)
    assert api.sync.offered[0].version == 1
    for target in ("/v1/config", "/v1/config?version=1"):
        status, answer = await api.send("GET", target)
        assert status == 200
        assert answer["configuration"]["site"] == "shore"
        assert answer["digest"] == accepted["digest"]
    assert (await api.send("GET", "/v1/config?version=2"))[0] == 404
    assert (await api.send("GET", "/v1/config?version=x"))[0] == 400
    assert (await api.send("GET", "/v1/config?source=in-force"))[0] == 404


async def test_conflicting_and_repeated_pushes():
    api = Api()
    first = await api.push(0, "one", "ann", "k1")
    status, lost = await api.push(0, "two", "ben", "k2")
    assert status == 409
    assert lost["type"].endswith("/version-conflict")
    assert (lost["version"], lost["operator"]) == (1, "ann")
    assert lost["digest"] == first[1]["digest"]
    assert (await api.push(1, "three", "ben"))[1]["version"] == 2
    assert await api.push(0, "one", "ann", "k1") == first
    assert (await api.push(0, "other", "ann", "k1"))[0] == 422
    assert await api.push(1, "three", "ben") == (200, newest_accepted(api))
    assert api.log.version == 2


def newest_accepted(api):
    newest = api.log.current
    return {
        "version": newest.version,
        "digest": newest.digest,
        "operator": newest.operator,
        "accepted_at": newest.accepted_at,
    }


async def test_lost_proposal_is_retried(autojump_clock):
    api = Api()
    api.groups.losses = 3
    assert (await api.push(0))[1]["version"] == 1
    assert api.log.version == 1


async def test_no_quorum_and_unknown_outcome_are_distinct_problems(
    autojump_clock,
):
    api = Api()
    api.groups.unavailable.add("root")
    status, problem = await api.push(0)
    assert (status, problem["type"].rsplit("/")[-1]) == (503, "no-quorum")
    assert (await api.send("GET", "/v1/config"))[0] == 503
    api.groups.unavailable.clear()
    api.groups.losses = 1000
    status, problem = await api.push(0)
    assert problem["type"].endswith("/proposal-lost")


@pytest.mark.parametrize(
    ("body", "status", "slug"),
    [
        (b"{", 400, "malformed-json"),
        ({"expected_version": 0}, 400, "malformed-json"),
        (
            {"expected_version": "0", "configuration": {}, "operator": "a"},
            400,
            "malformed-json",
        ),
        (
            {"expected_version": 0, "configuration": {}, "operator": "a"},
            422,
            "unreadable-configuration",
        ),
        (
            {
                "expected_version": 0,
                "configuration": {**GOOD, "requests": {"chooser": "best"}},
                "operator": "a",
            },
            422,
            "unknown-policy",
        ),
    ],
)
async def test_invalid_push_is_refused(body, status, slug):
    api = Api()
    got, problem = await api.send("PUT", "/v1/config", body)
    assert got == status
    assert problem["type"].endswith("/" + slug)
    assert api.log.version == 0


async def test_push_cannot_add_unknown_domains_or_change_the_domains():
    api = Api()
    status, problem = await api.push(0, domains=["north", "nowhere"])
    assert (status, problem["value"]) == (422, "nowhere")
    assert (await api.push(0, key="k1"))[0] == 200
    status, problem = await api.push(1, domains=["north", "south"])
    assert problem["type"].endswith("/domains-changed")
    for version in range(1, 12):
        assert (await api.push(version, f"s{version}"))[0] == 200
    assert (await api.push(0, key="k1"))[1]["version"] == 1
    assert (await api.push(1, domains=["south"]))[0] == 409
    assert api.log.version == 12


async def test_status_lists_domains_behind_and_unreachable_vms():
    api = Api()
    await api.push(0)
    _, answer = await api.send("GET", "/v1/config/status")
    assert answer["accepted_version"] == 1
    assert answer["domains_behind"] == ["south"]
    assert answer["unreachable"] == ["vm2"]
    assert not answer["in_force_everywhere"]
    api.groups.unavailable.add("root")
    _, answer = await api.send("GET", "/v1/config/status")
    assert answer["accepted_version"] is None
    assert answer["newest_version"] == 1
