"""Tests of requests whose callers stop sending before the end of the body."""

import sys

import pytest
import trio
import trio.testing

from laburnumsill.platform import http

TEST_TIMEOUT_S = 60.0
"""Longer than any timeout of the users' callers."""


class Caller:
    """Sends chunks of a body with pauses between them.

    Args:
        chunks: Pairs of a pause in seconds and a chunk; b"" ends the body.
    """

    def __init__(self, *chunks):
        self._chunks = list(chunks)

    async def receive(self):
        if not self._chunks:
            await trio.sleep_forever()
        pause_s, chunk = self._chunks.pop(0)
        await trio.sleep(pause_s)
        return {
            "type": "http.request",
            "body": chunk,
            "more_body": chunk != b"",
        }


def read(*chunks):
    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            return await http.read_body(Caller(*chunks).receive)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("chunks", [(), ((0.0, b"{"),)])
def test_a_body_whose_next_chunk_does_not_arrive_times_out(chunks):
    """Without a timeout, the connection holds its file descriptor forever."""
    with pytest.raises(http.BodyLateError):
        read(*chunks)


def test_the_body_of_a_slow_caller_is_read_completely():
    chunks = [(5.0, b"x")] * 8
    assert read(*chunks, (5.0, b"")) == b"x" * 8


def test_a_body_in_single_bytes_does_not_take_forever():
    with pytest.raises(http.BodyLateError):
        read(*[(9.0, b"x")] * 8)


def test_a_body_that_announces_too_much_is_refused_unread():
    async def receive():
        raise AssertionError("the body was read")

    async def main():
        await http.read_body(receive, 4, announced=5)

    with pytest.raises(http.BodyTooLargeError, match="5 bytes announced"):
        trio.run(main)


@pytest.mark.parametrize(
    ("length", "announced"),
    [("", 0), ("12", 12), ("-1", 0), ("x", 0), ("9" * 5_000, sys.maxsize)],
)
def test_any_announced_length_is_understood(length, announced):
    request = http.Request("POST", "/", {"content-length": length})
    assert request.announced_bytes == announced
