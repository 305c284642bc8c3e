import loguru
import pytest

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs


def subclasses(cls):
    for child in cls.__subclasses__():
        yield child
        yield from subclasses(child)


@pytest.mark.parametrize(
    "cls", sorted(subclasses(errors.LaburnumsillError), key=lambda c: c.slug)
)
def test_each_error_class_round_trips(cls):
    error = cls("it failed")
    record = codec.decode(codec.encode(error.to_record()))
    decoded = errors.LaburnumsillError.from_record(record)
    assert type(decoded) is cls
    assert decoded.detail == "it failed"
    assert decoded.context == error.context
    assert decoded.retry_after_s == error.retry_after_s


def test_the_context_of_an_error_round_trips():
    error = errors.VersionConflictError("it failed", version=3, winner="x")
    record = codec.decode(codec.encode(error.to_record()))
    decoded = errors.LaburnumsillError.from_record(record)
    assert decoded.context == {"version": 3, "winner": "x"}


def test_an_unknown_slug_becomes_the_base_class():
    record = errors.ErrorRecord("from-a-newer-version", "it failed", None, {})
    decoded = errors.LaburnumsillError.from_record(record)
    assert type(decoded) is errors.LaburnumsillError


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "plain"),
        ("two words", '"two words"'),
        ('a "quote"', r'"a \"quote\""'),
        ("a\nline", r'"a\nline"'),
        ("", '""'),
        (0.1, "0.1"),
        (None, "None"),
    ],
)
def test_an_event_is_one_line_of_pairs(value, text):
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}")
    logs.event("tested", value=value)
    loguru.logger.remove(sink)
    assert lines == [f"event=tested value={text}\n"]
