import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.core import codec


@codec.register("test.sample")
@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    name: str
    raw: bytes
    counts: dict[str, int]
    names: tuple[str, ...]
    at: float | None


SAMPLES = strategies.builds(
    Sample,
    strategies.text(),
    strategies.binary(),
    strategies.dictionaries(
        strategies.text(), strategies.integers(-(2**63), 2**63)
    ),
    strategies.lists(strategies.text()).map(tuple),
    strategies.none() | strategies.floats(allow_nan=False),
)


@hypothesis.given(SAMPLES)
def test_encoding_round_trips(sample):
    assert codec.decode(codec.encode(sample)) == sample


@hypothesis.given(strategies.binary())
def test_random_bytes_are_undecodable(raw):
    with pytest.raises(codec.UndecodableMessageError):
        codec.decode(raw)


@hypothesis.given(SAMPLES, strategies.integers(0, 200))
def test_a_truncated_message_is_undecodable(sample, length):
    raw = codec.encode(sample)
    with pytest.raises(codec.UndecodableMessageError):
        codec.decode(raw[: min(length, len(raw) - 1)])


def test_an_unregistered_class_is_refused():
    with pytest.raises(TypeError):
        codec.encode(object())


def test_a_name_is_registered_for_one_class_only():
    with pytest.raises(ValueError, match=r"test\.sample"):
        codec.register("test.sample")(object)
