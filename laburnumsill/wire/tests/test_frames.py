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


def decode_or_refuse(raw):
    try:
        frames.decode(bytes(raw))
    except failures.MalformedFrameError:
        return


def test_the_c_extension_encodes_and_decodes_frames():
    protocol = frames._factory.getProtocol(None)
    assert protocol._fast_encode is fastbinary.encode_compact
    assert protocol._fast_decode is fastbinary.decode_compact
    assert frames.decode(frames.encode(SAMPLE)[4:]) == SAMPLE


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_are_a_frame_or_a_malformed_frame_error(raw):
    decode_or_refuse(raw)


@hypothesis.given(strategies.data())
def test_damaged_frames_are_frames_or_malformed_frame_errors(data):
    raw = bytearray(frames.encode(SAMPLE)[4:])
    position = data.draw(strategies.integers(0, len(raw) - 1))
    raw[position] = data.draw(strategies.integers(0, 255))
    length = data.draw(strategies.integers(0, len(raw)))
    decode_or_refuse(raw)
    decode_or_refuse(raw[:length])


@pytest.mark.parametrize(
    "raw",
    [
        b"\x29\xfc\xff\xff\xff\x7f",  # 2**34 Raft messages
        b"\x59\xf8\xff\xff\xff\x7f",  # 2**34 notices
        b"\x59\x18\xff\xff\xff\x7f",  # one notice of 2**34 bytes
    ],
)
async def test_damaged_lengths_allocate_little_memory(raw):
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


async def test_frames_that_arrive_byte_by_byte_are_read_whole():
    sender, receiver = trio.testing.memory_stream_one_way_pair()
    reader = frames.FrameReader(receiver, clock.SystemClock())
    raw = frames.encode(SAMPLE) * 2
    async with trio.open_nursery() as nursery:

        async def send():
            for position in range(len(raw)):
                await sender.send_all(raw[position : position + 1])
            await sender.aclose()

        nursery.start_soon(send)
        assert [await reader.read() for _ in range(2)] == [SAMPLE, SAMPLE]
        with pytest.raises(failures.ConnectionLostError):
            await reader.read()
    assert reader.byte_count == len(raw)
