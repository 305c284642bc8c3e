import dataclasses

import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from laburnumsill.config import difference
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing
from laburnumsill.state import configuration
from laburnumsill.state import configuration_versions


def body_of(number):
    accounts = {f"a{n}": {"weight": 1.0} for n in range(20)}
    accounts[f"a{number % 20}"] = {"weight": float(number)}
    return orjson.dumps({"accounts": accounts}, option=orjson.OPT_SORT_KEYS)


def full_push(number, key=None, expected=None):
    body = body_of(number)
    return configuration.PushConfiguration(
        key or f"k{number}",
        number if expected is None else expected,
        hashing.digest(body),
        body,
        1.0,
        "ann",
    )


def as_difference(command, base):
    change = difference.difference(base, command.body)
    push = configuration.PushDifference(
        command.push_id,
        command.expected_version,
        command.digest,
        change,
        command.now,
        command.operator,
    )
    return codec.decode(codec.encode(push))


def log_with(versions):
    log = configuration.ConfigurationLog()
    log.push(full_push(0))
    for number in range(1, versions):
        log.push(as_difference(full_push(number), log.current.body))
    return log


def test_a_push_and_its_difference_have_the_same_answer():
    log, other = log_with(3), log_with(3)
    command = full_push(3)
    by_difference = as_difference(command, log.current.body)
    answer = log.push(by_difference)
    assert answer == other.push(command)
    assert (
        log.push(command)
        == log.push(by_difference)
        == other.push(by_difference)
        == answer
    )
    assert log.current.body == other.current.body == body_of(3)
    with pytest.raises(errors.VersionConflictError) as caught:
        log.push(as_difference(full_push(9, "late", 2), body_of(2)))
    assert caught.value.context["version"] == 3
    with pytest.raises(errors.KeyReusedError):
        log.push(as_difference(full_push(4, command.push_id), body_of(3)))


@pytest.mark.parametrize("fault", ["digest", "base", "path"])
def test_a_refused_difference_leaves_the_state_unchanged(fault):
    log = log_with(3)
    good = as_difference(full_push(3), log.current.body)
    unknown_key = difference.Difference(removals=(("accounts", "nobody"),))
    bad = {
        "digest": dataclasses.replace(good, digest="0" * 32),
        "base": as_difference(full_push(3), body_of(7)),
        "path": dataclasses.replace(good, change=unknown_key),
    }[fault]
    before = log.dump()
    for _ in range(2):
        with pytest.raises(difference.UnfitDifferenceError) as caught:
            log.push(bad)
    assert log.dump() == before
    record = caught.value.to_record()
    assert isinstance(
        errors.LaburnumsillError.from_record(record),
        difference.UnfitDifferenceError,
    )
    assert log.push(full_push(3)).version == 4


def test_a_difference_without_a_version_before_is_refused():
    log = configuration.ConfigurationLog()
    with pytest.raises(difference.UnfitDifferenceError):
        log.push(as_difference(full_push(0), b"{}"))
    assert log.version == 0


def test_a_difference_with_too_large_a_result_is_refused(monkeypatch):
    log = log_with(2)
    monkeypatch.setattr(configuration, "MAX_BODY_BYTES", len(body_of(2)) - 1)
    with pytest.raises(errors.InvalidConfigurationError):
        log.push(as_difference(full_push(2), log.current.body))
    assert log.version == 2


@hypothesis.given(
    st.lists(st.booleans(), min_size=1, max_size=30), st.integers(0, 40)
)
@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
def test_an_update_results_in_the_newest_version_after_a_snapshot(
    are_differences, version
):
    log = log_with(1)
    for number, is_difference in enumerate(are_differences, 1):
        command = full_push(number)
        log.push(
            as_difference(command, log.current.body)
            if is_difference
            else command
        )
    restored = configuration.ConfigurationLog()
    restored.load(log.dump())
    assert restored.dump() == log.dump()
    for kept in range(max(1, log.version - 7), log.version + 1):
        query = configuration.ReadVersion(kept)
        assert restored.read_version(query) == log.read_version(query)
    update = restored.read_since(configuration.ReadSince(version))
    assert update == log.read_since(configuration.ReadSince(version))
    if version >= log.version:
        assert update == configuration_versions.ConfigurationUpdate()
    elif update.whole is None:
        body = body_of(version - 1)
        for step in update.steps:
            body = difference.apply_checked(body, step.change, step.digest)
        assert body == log.current.body
    else:
        assert update.whole == log.current
        assert not version or not all(are_differences[version - 1 :])


def test_stored_steps_are_bounded_by_number_and_size(monkeypatch):
    log = log_with(200)
    assert log.steps_since(100) is None
    assert (
        len(log.steps_since(200 - configuration_versions.MAX_STORED_STEPS))
        == 64
    )
    monkeypatch.setattr(configuration_versions, "MAX_STORED_STEP_BYTES", 100)
    log.push(as_difference(full_push(200), log.current.body))
    assert len(log.steps_since(200)) == 1
    assert log.steps_since(190) is None
    old_update = log.read_since(configuration.ReadSince(100))
    assert old_update.whole == log.current
