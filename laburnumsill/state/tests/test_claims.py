"""Claims: one grant at a time, none after a run, none after a "not run"."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.state import answers
from laburnumsill.state import claim_records
from laburnumsill.state import claims

States = claim_records.ClaimState
RETENTION = 1_000.0
ANSWER = answers.StoredAnswer(200, ((b"a", b"b"),), b"booked")


def claim(attempt, now, *, key="k", digest="d", arrived=None, deadline=None):
    arrived = now if arrived is None else arrived
    deadline = now + 10 if deadline is None else deadline
    return claim_records.ClaimRequest(
        key, digest, attempt, "vm", arrived, now, deadline, now + RETENTION
    )


def settle(attempt, outcome, now, *, key="k", digest="d", answer=None):
    return claim_records.SettleRequest(
        key, digest, attempt, outcome, answer, now, now + RETENTION
    )


def machine(**limits):
    return replication.StateMachine(claims.Claims(**limits))


def test_grant_is_idempotent_and_exclusive():
    state = machine()
    assert state.apply(claim("a", 0.0)).granted
    assert state.apply(claim("a", 1.0)).granted
    assert state.apply(claim("b", 1.0)).state is States.IN_PROGRESS
    late = state.apply(claim("b", 11.0))
    assert (late.granted, late.state) == (False, States.UNKNOWN)


def test_late_settle_replaces_unknown_and_keeps_the_answer():
    state = machine()
    state.apply(claim("a", 0.0))
    state.apply(settle("a", States.ANSWERED, 20.0, answer=ANSWER))
    again = state.apply(claim("b", 21.0))
    assert (again.granted, again.answer) == (False, ANSWER)


def test_ended_attempt_is_not_granted_a_late_claim():
    state = machine()
    state.apply(settle("a", States.NOT_RUN, 1.0))
    assert not state.apply(claim("a", 0.5)).granted
    assert state.apply(claim("b", 3.0)).granted
    state.apply(settle("b", States.NOT_RUN, 4.0))
    assert not state.apply(claim("a", 6.0, arrived=9.0)).granted


def test_refused_key_does_not_run_for_an_earlier_arrival():
    state = machine()
    refused = claim_records.RefuseRequest("k", "d", 5.0)
    assert state.apply(refused).state is States.NOT_RUN
    assert not state.apply(claim("a", 5.1, arrived=4.9)).granted
    assert not state.apply(claim("b", 5.2, arrived=5.2)).granted
    assert state.apply(claim("c", 6.0)).granted
    assert state.apply(refused).state is States.IN_PROGRESS


def test_a_key_with_another_digest_is_refused():
    state = machine()
    state.apply(claim("a", 0.0))
    for command in (
        claim("b", 1.0, digest="e"),
        settle("a", States.ANSWERED, 1.0, digest="e"),
        claim_records.RefuseRequest("k", "e", 1.0),
    ):
        with pytest.raises(errors.KeyReusedError):
            state.apply(command)


def test_records_and_answer_bytes_are_bounded():
    state = machine(max_claims=3, max_answers_bytes=10)
    for n in range(3):
        key = str(n)
        state.apply(claim("a", 0.0, key=key))
        state.apply(settle("a", States.ANSWERED, 0, key=key, answer=ANSWER))
    part = state.component("claims")
    assert part.answers_bytes <= 10
    first = state.query(claim_records.GetClaim("0", 1.0))
    assert (first.state, first.answer) == (States.ANSWERED, None)
    with pytest.raises(errors.OverloadedError):
        state.apply(claim("a", 1.0, key="new"))
    assert state.apply(claim("a", RETENTION + 1, key="new")).granted
    assert len(part) == 1


def test_snapshot_restores_all_records():
    state = machine()
    state.apply(claim("a", 0.0))
    state.apply(settle("a", States.ANSWERED, 1.0, answer=ANSWER))
    state.apply(claim("b", 0.0, key="other"))
    copy = machine()
    copy.load(state.dump())
    assert copy.dump() == state.dump()
    assert copy.query(claim_records.GetClaim("k", 1.0)).answer == ANSWER
    assert not copy.apply(claim("c", 2.0, key="other")).granted


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """VMs claim one key; commands are delayed, duplicated or never applied.

    The model records which attempts were sent or abandoned, and which may
    still be sent.
    """

    def __init__(self):
        super().__init__()
        self.state = machine()
        self.now = 0.0
        self.count = 0
        self.undecided = {}  # claim commands by attempt, to be proposed
        self.granted_attempts = set()  # may be sent
        self.sent = set()
        self.arrivals_of_sent = {}
        self.delayed = []  # commands that may be applied later
        self.not_run_answers = []  # wall times of the answers "not run"

    def _apply(self, command):
        return self.state.apply(command)

    @stateful.rule(seconds=st.floats(0.01, 4.0))
    def clock_advances(self, seconds):
        self.now += seconds

    @stateful.rule()
    def request_arrives(self):
        self.count += 1
        attempt = f"a{self.count}"
        self.undecided[attempt] = claim(attempt, self.now)

    @stateful.precondition(lambda self: self.undecided)
    @stateful.rule(data=st.data(), is_delayed=st.booleans())
    def vm_proposes(self, data, is_delayed):
        attempt = data.draw(st.sampled_from(sorted(self.undecided)))
        command = self.undecided[attempt]
        if is_delayed:
            self.delayed.append(command)
            return
        if self._apply(command).granted:
            del self.undecided[attempt]
            self.granted_attempts.add(attempt)
            assert len(self.granted_attempts) == 1
            assert not self.sent
            broken = [t for t in self.not_run_answers if command.arrived <= t]
            assert not broken, (
                "granted for a caller that got the answer not run"
            )
            self.arrivals_of_sent[attempt] = command.arrived

    @stateful.precondition(lambda self: self.undecided)
    @stateful.rule(data=st.data(), is_delayed=st.booleans())
    def vm_abandons_an_attempt_before_the_grant(self, data, is_delayed):
        attempt = data.draw(st.sampled_from(sorted(self.undecided)))
        del self.undecided[attempt]
        command = settle(attempt, States.NOT_RUN, self.now)
        if is_delayed:
            self.delayed.append(command)
        else:
            self._apply(command)

    @stateful.precondition(lambda self: self.granted_attempts)
    @stateful.rule(
        outcome=st.sampled_from([States.ANSWERED, States.UNKNOWN]),
        is_delayed=st.booleans(),
    )
    def vm_sends(self, outcome, is_delayed):
        attempt = self.granted_attempts.pop()
        self.sent.add(attempt)
        command = settle(attempt, outcome, self.now)
        if is_delayed:
            self.delayed.append(command)
        else:
            self._apply(command)

    @stateful.precondition(lambda self: self.granted_attempts)
    @stateful.rule(is_delayed=st.booleans())
    def vm_settles_a_granted_attempt_as_not_run(self, is_delayed):
        attempt = self.granted_attempts.pop()
        command = settle(attempt, States.NOT_RUN, self.now)
        self.not_run_answers.append(self.now)
        if is_delayed:
            self.delayed.append(command)
        else:
            self._apply(command)

    @stateful.rule()
    def vm_refuses(self):
        status = self._apply(claim_records.RefuseRequest("k", "d", self.now))
        if status.state is States.NOT_RUN:
            assert not self.sent
            assert not self.granted_attempts
            self.not_run_answers.append(self.now)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(data=st.data(), is_duplicated=st.booleans())
    def delayed_command_is_applied(self, data, is_duplicated):
        index = data.draw(st.integers(0, len(self.delayed) - 1))
        command = (
            self.delayed[index] if is_duplicated else self.delayed.pop(index)
        )
        self._apply(command)

    @stateful.rule()
    def snapshot(self):
        copy = machine()
        copy.load(self.state.dump())
        self.state = copy

    @stateful.invariant()
    def runs_at_most_once(self):
        assert len(self.sent) + len(self.granted_attempts) <= 1


ClaimsMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
test_claims_machine = ClaimsMachine.TestCase
