import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from laburnumsill.core import errors
from laburnumsill.core import hashing
from laburnumsill.state import configuration


def push(key, expected, body=b"{}", operator="ann"):
    digest = hashing.digest(body)
    return configuration.PushConfiguration(
        key, expected, digest, body, 1.0, operator
    )


def test_the_conflict_error_of_a_resent_push_names_the_same_version():
    log = configuration.ConfigurationLog()
    log.push(push("a", 0, b"1", "ann"))
    for _ in range(2):
        with pytest.raises(errors.VersionConflictError) as caught:
            log.push(push("b", 0, b"2", "ben"))
        assert caught.value.context["version"] == 1
        assert caught.value.context["operator"] == "ann"
        assert caught.value.context["digest"] == hashing.digest(b"1")
        log.push(push(f"c{log.version}", log.version, b"3"))


@pytest.mark.parametrize(
    "other",
    [push("a", 0, b"2"), push("a", 1, b"1"), push("a", 0, b"1", "ben")],
)
def test_another_push_with_the_same_id_is_refused(other):
    log = configuration.ConfigurationLog()
    log.push(push("a", 0, b"1"))
    with pytest.raises(errors.KeyReusedError):
        log.push(other)
    assert log.version == 1


def test_a_body_with_a_wrong_digest_or_too_many_bytes_is_refused():
    log = configuration.ConfigurationLog()
    good = push("a", 0, b"1")
    damaged = configuration.PushConfiguration(
        "a", 0, good.digest, b"2", 1.0, "ann"
    )
    for bad in (damaged, push("a", 0, b"x" * 1_048_577)):
        with pytest.raises(errors.InvalidConfigurationError):
            log.push(bad)
    assert log.current is None
    with pytest.raises(errors.VersionConflictError):
        log.push(push("a", 1))
    with pytest.raises(errors.NotFoundError):
        log.read_version(configuration.ReadVersion(1))


def test_stored_versions_and_answers_are_bounded_and_restored(monkeypatch):
    monkeypatch.setattr(configuration, "MAX_STORED_ANSWERS", 20)
    log = configuration.ConfigurationLog()
    first = [log.push(push(f"k{n}", n, b"%d" % n)) for n in range(50)]
    again = configuration.ConfigurationLog()
    again.load(log.dump())
    assert again.dump() == log.dump()
    assert again.push(push("k30", 30, b"30")) == first[30]
    assert again.read_version(configuration.ReadVersion(43)).body == b"42"
    with pytest.raises(errors.NotFoundError):
        again.read_version(configuration.ReadVersion(42))
    with pytest.raises(errors.VersionConflictError) as caught:
        again.push(push("k29", 29, b"29"))
    assert caught.value.context["version"] == 50


class Race(stateful.RuleBasedStateMachine):
    """Concurrent pushes; commands are delayed, duplicated and reordered."""

    def __init__(self):
        super().__init__()
        self.log = configuration.ConfigurationLog()
        self.sent = []
        self.answers = {}
        self.accepted = {}

    @stateful.rule(
        operator=st.sampled_from(["ann", "ben", "cat", "dee", "eve"]),
        behind=st.integers(-1, 2),
        body=st.sampled_from([b"1", b"2"]),
    )
    def send(self, operator, behind, body):
        expected = max(0, self.log.version - behind)
        key = f"k{len(self.sent)}"
        self.sent.append(push(key, expected, body, operator))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def arrive(self, data):
        command = data.draw(st.sampled_from(self.sent))
        before = self.log.version
        try:
            answer = self.log.push(command)
        except errors.VersionConflictError as error:
            assert command.expected_version != before
            assert self.log.version == before
            self.check_same_answer(
                command, (error.detail, error.context["version"])
            )
            return
        if command.push_id not in self.answers:
            assert answer.version == before + 1
            assert command.expected_version == before
            self.accepted[answer.version] = command
        else:
            assert self.log.version == before
        self.check_same_answer(command, answer)

    def check_same_answer(self, command, answer):
        if command.expected_version < self.log.version:
            first = self.answers.setdefault(command.push_id, answer)
            assert first == answer

    @stateful.rule()
    def restart(self):
        fresh = configuration.ConfigurationLog()
        fresh.load(self.log.dump())
        self.log = fresh

    @stateful.invariant()
    def each_version_is_accepted_once(self):
        assert sorted(self.accepted) == list(range(1, self.log.version + 1))
        expected = [
            command.expected_version for command in self.accepted.values()
        ]
        assert len(set(expected)) == len(expected)


Race.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestRace = Race.TestCase
