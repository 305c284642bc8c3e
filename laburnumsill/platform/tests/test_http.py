"""Requests whose callers fall silent in the middle."""

import pytest
import trio
import trio.testing

from laburnumsill.platform import http

PATIENCE_S = 60.0
"""Longer than any caller of the users waits for anything."""


class Caller:
    """Sends pieces of a body with pauses between them.

    Args:
        pieces: Pairs of a pause, in seconds, and a piece; b"" is the end.
    """

    def __init__(self, *pieces):
        self._pieces = list(pieces)

    async def receive(self):
        if not self._pieces:
            await trio.sleep_forever()
        pause_s, piece = self._pieces.pop(0)
        await trio.sleep(pause_s)
        return {
            "type": "http.request",
            "body": piece,
            "more_body": piece != b"",
        }


def read(*pieces):
    async def main():
        with trio.fail_after(PATIENCE_S):
            return await http.read_body(Caller(*pieces).receive)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("pieces", [(), ((0.0, b"{"),)])
def test_a_caller_that_falls_silent_is_not_waited_for_for_ever(pieces):
    """Its connection would keep a descriptor for good."""
    with pytest.raises(http.BodyLateError):
        read(*pieces)


def test_a_slow_caller_is_read_to_its_end():
    pieces = [(5.0, b"x")] * 8
    assert read(*pieces, (5.0, b"")) == b"x" * 8
