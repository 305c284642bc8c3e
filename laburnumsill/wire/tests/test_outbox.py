import pytest

from laburnumsill.core import errors
from laburnumsill.wire import failures
from laburnumsill.wire import outbox
from laburnumsill.wire.generated.peer import ttypes

CHUNK = b"x" * 100_000


def raft(index, data=b""):
    return ttypes.RaftMessage(
        5, "root", "a", "i", "b", "j", 1, index=index, data=data
    )


def drain(box):
    sent_frames = []
    while box:
        sent_frames.append(box.next_frame())
    return sent_frames


def test_all_queued_messages_go_into_one_frame():
    box = outbox.Outbox()
    box.add_raft([raft(1), raft(2)])
    box.add_call(ttypes.Call(1, b"", 0.0))
    box.add_reply(ttypes.Reply(2, True, b""))
    box.add_notice(b"n")
    (frame,) = drain(box)
    assert [len(part) for part in (frame.raft, frame.calls)] == [2, 1]
    assert [len(part) for part in (frame.replies, frame.notices)] == [1, 1]


def test_bulk_in_one_queue_does_not_delay_the_other():
    box = outbox.Outbox()
    box.add_raft(raft(n, CHUNK) for n in range(40))
    for number in range(40):
        box.add_notice(CHUNK + str(number).encode())
    sent_frames = drain(box)
    assert all(frame.raft or frame.notices for frame in sent_frames)
    assert sent_frames[0].raft and sent_frames[1].notices
    sent = [m.index for frame in sent_frames for m in frame.raft or ()]
    assert sent == list(range(40))
    assert sum(len(frame.notices or ()) for frame in sent_frames) == 40


def test_oldest_raft_messages_are_dropped_over_the_limit():
    box = outbox.Outbox()
    for number in range(200):
        box.add_raft([raft(number, CHUNK)])
    sent = [m.index for frame in drain(box) for m in frame.raft]
    assert sent[-1] == 199
    assert len(sent) * len(CHUNK) <= outbox.MAX_RAFT_QUEUE_BYTES
    assert box.dropped == 200 - len(sent)


def test_full_queue_refuses_calls_and_drops_notices():
    box = outbox.Outbox()
    big = b"x" * (outbox.MAX_ITEM_BYTES - 1000)
    box.add_notice(big)
    with pytest.raises(errors.OverloadedError):
        box.add_call(ttypes.Call(1, b"", 0.0))
    box.add_notice(b"")
    assert (len(drain(box)), box.dropped) == (1, 1)
    for _ in range(200):
        box.add_notice(CHUNK)
    sent = sum(len(frame.notices) for frame in drain(box))
    assert sent * len(CHUNK) <= outbox.MAX_QUEUE_BYTES
    assert box.dropped == 1 + 200 - sent
    with pytest.raises(failures.FrameTooLargeError):
        box.add_reply(ttypes.Reply(1, True, big + b"x" * 1000))


def test_withdrawn_call_is_not_sent():
    box = outbox.Outbox()
    first = box.add_call(ttypes.Call(1, b"", 0.0))
    second = box.add_call(ttypes.Call(2, b"", 0.0))
    first.withdrawn = True
    (frame,) = drain(box)
    assert [call.call_id for call in frame.calls] == [2]
    assert (first.maybe_sent, second.maybe_sent) == (False, True)


def test_a_message_over_the_limit_is_refused_as_such_by_a_full_queue():
    # Its caller was told to come back later, for a call that never fits.
    box = outbox.Outbox()
    box.add_notice(b"x" * (outbox.MAX_ITEM_BYTES - 1000))
    box.add_notice(CHUNK)
    too_large = b"x" * outbox.MAX_ITEM_BYTES
    with pytest.raises(failures.FrameTooLargeError):
        box.add_call(ttypes.Call(1, too_large, 0.0))
    with pytest.raises(failures.FrameTooLargeError):
        box.add_notice(too_large)
