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


def text(number):
    accounts = {f"a{n}": {"weight": 1.0} for n in range(20)}
    accounts[f"a{number % 20}"] = {"weight": float(number)}
    return orjson.dumps({"accounts": accounts}, option=orjson.OPT_SORT_KEYS)


def whole(number, key=None, expected=None):
    body = text(number)
    return configuration.PushConfiguration(
        key or f"k{number}",
        number if expected is None else expected,
        hashing.digest(body),
        body,
        1.0,
        "ann",
    )


def lighter(command, base):
    change = difference.difference(base, command.body)
    made = configuration.PushDifference(
        command.push_id,
        command.expected_version,
        command.digest,
        change,
        command.now,
        command.operator,
    )
    return codec.decode(codec.encode(made))


def grown(versions):
    log = configuration.ConfigurationLog()
    log.push(whole(0))
    for number in range(1, versions):
        log.push(lighter(whole(number), log.current.body))
    return log


def test_a_difference_and_the_whole_are_one_push():
    log, other = grown(3), grown(3)
    command = whole(3)
    light = lighter(command, log.current.body)
    answer = log.push(light)
    assert answer == other.push(command)
    assert log.push(command) == log.push(light) == other.push(light) == answer
    assert log.current.body == other.current.body == text(3)
    with pytest.raises(errors.VersionConflictError) as caught:
        log.push(lighter(whole(9, "late", 2), text(2)))
    assert caught.value.context["version"] == 3
    with pytest.raises(errors.KeyReusedError):
        log.push(lighter(whole(4, command.push_id), text(3)))


@pytest.mark.parametrize("damage", ["digest", "base", "path"])
def test_an_unfit_difference_changes_nothing(damage):
    log = grown(3)
    good = lighter(whole(3), log.current.body)
    gone = difference.Difference(removals=(("accounts", "nobody"),))
    bad = {
        "digest": dataclasses.replace(good, digest="0" * 32),
        "base": lighter(whole(3), text(7)),
        "path": dataclasses.replace(good, change=gone),
    }[damage]
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
    assert log.push(whole(3)).version == 4


def test_a_difference_needs_a_version_before():
    log = configuration.ConfigurationLog()
    with pytest.raises(difference.UnfitDifferenceError):
        log.push(lighter(whole(0), b"{}"))
    assert log.version == 0


def test_a_result_over_the_limit_is_refused(monkeypatch):
    log = grown(2)
    monkeypatch.setattr(configuration, "MAX_BODY_BYTES", len(text(2)) - 1)
    with pytest.raises(errors.InvalidConfigurationError):
        log.push(lighter(whole(2), log.current.body))
    assert log.version == 2


@hypothesis.given(
    st.lists(st.booleans(), min_size=1, max_size=30), st.integers(0, 40)
)
@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
def test_an_update_leads_to_the_newest_also_after_a_snapshot(lights, version):
    log = grown(1)
    for number, light in enumerate(lights, 1):
        command = whole(number)
        log.push(lighter(command, log.current.body) if light else command)
    again = configuration.ConfigurationLog()
    again.load(log.dump())
    assert again.dump() == log.dump()
    for kept in range(max(1, log.version - 7), log.version + 1):
        query = configuration.ReadVersion(kept)
        assert again.read_version(query) == log.read_version(query)
    update = again.read_since(configuration.ReadSince(version))
    assert update == log.read_since(configuration.ReadSince(version))
    if version >= log.version:
        assert update == configuration_versions.ConfigurationUpdate()
    elif update.whole is None:
        body = text(version - 1)
        for step in update.steps:
            body = difference.apply_checked(body, step.change, step.digest)
        assert body == log.current.body
    else:
        assert update.whole == log.current
        assert not version or not all(lights[version - 1 :])


def test_steps_are_bounded_by_number_and_size(monkeypatch):
    log = grown(200)
    assert log.steps_since(100) is None
    assert len(log.steps_since(200 - configuration_versions.KEPT_STEPS)) == 64
    monkeypatch.setattr(configuration_versions, "KEPT_STEP_BYTES", 100)
    log.push(lighter(whole(200), log.current.body))
    assert len(log.steps_since(200)) == 1
    assert log.steps_since(190) is None
    far = log.read_since(configuration.ReadSince(100))
    assert far.whole == log.current
