"""Durable requests: an accepted request is stored until it has ended."""

import pytest

from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.state import durable

States = durable.DurableState


def accept(key, now=0.0, *, digest="d", account="lakes"):
    work = durable.DurableWork(
        "huts", "tag", account, key, "POST", b"/", (), b"x" * 100
    )
    return durable.AcceptDurable(key, digest, work, now, now + 10, now + 20)


def end(key, now=1.0):
    return durable.EndDurable(key, States.SUCCEEDED, 200, now, now + 20)


def machine(**limits):
    return replication.StateMachine(durable.DurableRequests(**limits))


def test_acceptance_is_idempotent_by_key():
    state = machine()
    first = state.apply(accept("k"))
    assert state.apply(accept("k", 5.0)) == first
    with pytest.raises(errors.KeyReusedError):
        state.apply(accept("k", digest="e"))
    assert len(state.component("durable").pending) == 1


def test_the_first_outcome_stays_and_frees_the_body():
    state = machine()
    state.apply(accept("k"))
    state.apply(end("k"))
    late = durable.EndDurable("k", States.EXPIRED, 0, 9.0, 99.0)
    assert state.apply(late).state is States.SUCCEEDED
    part = state.component("durable")
    assert (part.pending, part.pending_bytes) == ({}, 0)
    assert state.apply(accept("k")).state is States.SUCCEEDED


def test_pending_bytes_are_bounded():
    state = machine(max_pending_bytes=2_600)
    for key in ("a", "b"):
        state.apply(accept(key))
    with pytest.raises(errors.OverloadedError):
        state.apply(accept("c"))
    for key in ("d", "e"):
        state.apply(accept(key, account="parks"))
    with pytest.raises(errors.OverloadedError):
        state.apply(accept("f", account="links"))
    state.apply(end("a"))
    state.apply(accept("c"))


def test_records_expire_only_after_the_end_of_the_request():
    state = machine()
    state.apply(accept("a"))
    state.apply(accept("b"))
    state.apply(end("b"))
    state.apply(accept("c", 1_000.0))
    assert state.query(durable.GetDurable("a")).state is States.PENDING
    assert state.query(durable.GetDurable("b")).state is None
    state.apply(end("a", 1_001.0))
    assert state.query(durable.GetDurable("a")).state is States.SUCCEEDED


def test_snapshot_restores_order_and_sizes():
    state = machine()
    for key in ("b", "a", "c"):
        state.apply(accept(key))
    state.apply(end("a"))
    copy = machine()
    copy.load(state.dump())
    assert list(copy.component("durable").pending) == ["b", "c"]
    assert copy.dump() == state.dump()
