import contextlib
import json

import hypothesis
import hypothesis.strategies as st
import pytest

from laburnumsill.batch import model
from laburnumsill.config import site
from laburnumsill.core import errors
from laburnumsill.platform import decoding
from laburnumsill.platform import wire

ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/a/",
    "kind": "unsafe",
    "timeout_ms": 3000,
    "target_duration_ms": 250,
    "priority": 0,
    "service": "s",
    "max_attempts": 3,
    "stretch": 1.5,
    "public": False,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "max_conns": 64, "enforces_capacity": False}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "guaranteed": {"gpu": 32},
        }
    ],
}
QUEUE = site.Queue("q", "h", "/a/", "pool", 3000, 250, 0, 3, 1.5)


def raw(**changes):
    return json.dumps({**DOCUMENT, **changes}).encode()


def test_a_configuration_is_decoded():
    found = decoding.configuration(raw())
    assert found.version == 7
    queue = found.queue_for("h.example", "/a/1")
    assert queue is not None and queue.pool == "s" and queue.stretch == 1.5
    account = found.account_of("k2")
    assert account is not None and account.guaranteed_accelerators == 32
    assert found.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [{**ROUTE, "service": "nothing"}]},
        {"routes": [{**ROUTE, "timeout_ms": 0}]},
        {"routes": [ROUTE, {**ROUTE, "name": "r2"}]},
        {
            "tenants": [
                {"name": "t", "api_keys": ["k"]},
                {"name": "u", "api_keys": ["k"]},
            ]
        },
        {"version": "7"},
        {"routes": None},
    ],
)
def test_an_invalid_configuration_is_rejected(changes):
    with pytest.raises(errors.InvalidConfigurationError):
        decoding.configuration(raw(**changes))


@hypothesis.given(st.integers(0, len(raw()) - 1))
def test_what_is_cut_short_is_refused(length):
    with pytest.raises(errors.InvalidConfigurationError):
        decoding.configuration(raw()[:length])


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_typed_error(body):
    for kind in (wire.JobBody, wire.HeartbeatBody, wire.ConfigurationBody):
        with contextlib.suppress(decoding.MalformedBodyError):
            decoding.parse(body, kind)


def job(**body):
    parsed = decoding.parse(json.dumps(body).encode(), wire.JobBody)
    return decoding.job("5c0e7a21d94b36f8", QUEUE, "t", parsed)


def test_a_job_is_decoded():
    found = job(
        spec="text",
        steps=[
            {"count": 4, "cpu": 500, "mem_mb": 256, "data_rack": "r1-3"},
            {"count": 2, "gpu": 8, "depends_on": [0], "gang": True},
        ],
        repeat_count=3,
        start_at_ms=1000,
        interval_ms=500,
    )
    assert found.steps[0].needs == model.Resources(500, 256, 0)
    assert found.steps[0].data_rack == "r1-3"
    assert found.steps[1].gang and found.steps[1].depends_on == (0,)
    assert found.occurrences == 3 and found.due_ms(2) == 2000
    assert found.terms == model.QueueTerms("pool", 0, 3, 1.5, 250)


@pytest.mark.parametrize(
    "body",
    [
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": -1}]},
        {"steps": [{"count": 1, "depends_on": [0]}]},
        {"steps": [{"count": 1, "depends_on": [-1]}]},
        {"steps": [{"count": 1, "cpu": -5}]},
        {"steps": [{"count": 10**9}]},
        {"steps": [{"count": 1}], "repeat_count": -1},
        {"steps": [{"count": 1}], "spec": "x" * 4001},
    ],
)
def test_an_invalid_job_is_rejected(body):
    with pytest.raises(decoding.MalformedBodyError):
        job(**body)
