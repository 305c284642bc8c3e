"""Unit tests of choosers and limiters."""

import random

import hypothesis
from hypothesis import strategies as st

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import members
from laburnumsill.requests import concurrency_limits
from laburnumsill.requests import load_balancing
from laburnumsill.requests import policies
from laburnumsill.requests import servers


def state(name="s", busy=0, in_flight=0, slots=8, latency_s=0.0):
    server = members.BackendServer(
        name, "huts", "north", "a:1", "i", 1, slots, 64, busy
    )
    return servers.ServerState(server, in_flight=in_flight, latency_s=latency_s)


def test_default_policies_exist():
    policy = models.RequestPolicy()
    assert policy.chooser in load_balancing.CHOOSERS
    assert policy.limiter in concurrency_limits.LIMITERS


@hypothesis.given(
    name=st.sampled_from(sorted(load_balancing.CHOOSERS)),
    loads=st.lists(st.integers(0, 20), min_size=1, max_size=30),
)
def test_a_chooser_returns_a_candidate(name, loads):
    candidates = [state(str(n), in_flight=n) for n in loads]
    chooser = load_balancing.make_chooser(name, random.Random(1))
    assert chooser.choose(candidates) in candidates


def test_choosers_prefer_the_less_loaded_server():
    busy, idle = state("b", in_flight=5), state("i")
    for name in ("two-choices", "two-choices-reported", "least-in-flight"):
        assert (
            load_balancing.make_chooser(name, random.Random(1)).choose(
                [busy, idle]
            )
            is idle
        )
    slow, quick = state("s", latency_s=0.5), state("q", latency_s=0.1)
    delay = load_balancing.make_chooser("two-choices-delay", random.Random(1))
    assert delay.choose([slow, quick]) is quick


def test_hot_cold_prefers_the_fastest_cold_server():
    hot = state("h", in_flight=8, latency_s=0.01)
    slow, quick = state("s", latency_s=0.5), state("q", latency_s=0.1)
    chooser = load_balancing.make_chooser("hot-cold", random.Random(1))
    assert chooser.choose([hot, slow, quick]) is quick


@hypothesis.given(
    own=st.lists(st.integers(0, 8), min_size=8, max_size=8),
    slots=st.integers(8, 64),
)
def test_borrowing_limits_do_not_exceed_the_slots(own, slots):
    """Guards against overcommit if all VMs use their limits after one report.

    VMs below an equal share may be raised to it beyond the free slots.
    """
    busy = sum(own)
    limiter = concurrency_limits.make_limiter("borrowing", 8, 0.5)
    limits = []
    for own_in_flight in own:
        server_state = state(busy=busy, slots=slots)
        server_state.in_flight_at_report = own_in_flight
        limits.append(limiter.limit(server_state))
    equal = slots / 8
    raised = sum(max(0.0, equal - own_in_flight) for own_in_flight in own)
    assert sum(limits) <= max(slots, busy) + raised + 1e-6


def test_fixed_limits_add_up_to_the_slots():
    limiter = concurrency_limits.make_limiter("fixed", 8, 0.5)
    assert sum(limiter.limit(state(busy=3)) for _ in range(8)) == 8


def test_adaptive_limit_decreases_with_latency_and_increases_with_use():
    limiter = concurrency_limits.make_limiter("adaptive", 8, 0.1)
    server_state = state()
    assert limiter.limit(server_state) == 1.0
    now = 0.0

    def run_periods(count, latency_s):
        nonlocal now
        for _ in range(count):
            server_state.in_flight = int(limiter.limit(server_state))
            limiter.limit(server_state)
            for _ in range(20):
                limiter.observe(server_state, latency_s)
            now += 1.0
            limiter.tick(now)

    run_periods(6, 0.02)
    increased = limiter.limit(server_state)
    assert increased == 8.0
    run_periods(2, 0.2)
    assert limiter.limit(server_state) < increased
    run_periods(40, 0.2)
    assert limiter.limit(server_state) == 1.0
    server_state.in_flight = 0
    for _ in range(10):
        limiter.observe(server_state, 0.02)
        now += 1.0
        limiter.tick(now)
    assert limiter.limit(server_state) == 1.0, (
        "the limit of an idle server must not increase"
    )


def test_unknown_policies_do_not_stop_routing():
    current = current_module.Current()
    policy = models.RequestPolicy(chooser="newer", limiter="newer")
    configured = models.Configuration(
        site="tana", domains=["north"], requests=policy
    )
    current.put(current_module.Versioned(1, "1", configured))
    request_policies = policies.Policies(current, 8, random.Random(1))
    assert isinstance(request_policies.chooser, load_balancing.Chooser)
    assert isinstance(request_policies.limiter, concurrency_limits.Limiter)
