import tracemalloc

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies
from thrift.protocol import fastbinary

from laburnumsill.core import clock
from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire.generated.peer import ttypes

SAMPLE = ttypes.Frame(
    hello=ttypes.Hello("a", 1),
    raft=[
        ttypes.RaftMessage(
            5,
            "root",
            "a",
            "i",
            "b",
            "j",
            7,
            entries=[ttypes.Entry(1, 1, 0, b"\x00\xff")],
            granted=False,
        )
    ],
    calls=[ttypes.Call(1, b"call", 1.5)],
    replies=[ttypes.Reply(1, False, b"")],
    notices=[b"notice"],
)


def check_refused_or_read(raw):
    try:
        frames.decode(bytes(raw))
    except failures.MalformedFrameError:
        return


def test_frames_are_coded_by_the_extension():
    protocol = frames._factory.getProtocol(None)
    assert protocol._fast_encode is fastbinary.encode_compact
    assert protocol._fast_decode is fastbinary.decode_compact
    assert frames.decode(frames.encode(SAMPLE)[4:]) == SAMPLE


@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_is_a_typed_error_or_a_frame(raw):
    check_refused_or_read(raw)


@hypothesis.given(strategies.data())
def test_damaged_frames_are_typed_errors_or_frames(data):
    raw = bytearray(frames.encode(SAMPLE)[4:])
    place = data.draw(strategies.integers(0, len(raw) - 1))
    raw[place] = data.draw(strategies.integers(0, 255))
    cut = data.draw(strategies.integers(0, len(raw)))
    check_refused_or_read(raw)
    check_refused_or_read(raw[:cut])


@pytest.mark.parametrize(
    "raw",
    [
        b"\x29\xfc\xff\xff\xff\x7f",  # 2**34 Raft messages
        b"\x59\xf8\xff\xff\xff\x7f",  # as many notices
        b"\x59\x18\xff\xff\xff\x7f",  # one notice of 2**34 bytes
    ],
)
async def test_damaged_lengths_allocate_little(raw):
    sender, receiver = trio.testing.memory_stream_one_way_pair()
    reader = frames.FrameReader(receiver, clock.SystemClock())
    tracemalloc.start()
    with pytest.raises(failures.MalformedFrameError):
        frames.decode(raw)
    await sender.send_all(b"\x7f\xff\xff\xff")
    with pytest.raises(failures.FrameTooLargeError):
        await reader.read()
    assert tracemalloc.get_traced_memory()[1] < 1_000_000
    tracemalloc.stop()


async def test_frames_are_read_whole_however_they_arrive():
    sender, receiver = trio.testing.memory_stream_one_way_pair()
    reader = frames.FrameReader(receiver, clock.SystemClock())
    raw = frames.encode(SAMPLE) * 2
    async with trio.open_nursery() as nursery:

        async def send():
            for place in range(len(raw)):
                await sender.send_all(raw[place : place + 1])
            await sender.aclose()

        nursery.start_soon(send)
        assert [await reader.read() for _ in range(2)] == [SAMPLE, SAMPLE]
        with pytest.raises(failures.ConnectionLostError):
            await reader.read()
    assert reader.received == len(raw)
