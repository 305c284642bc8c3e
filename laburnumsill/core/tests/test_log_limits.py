import os

from laburnumsill.core import log_limits


def test_a_reader_that_does_not_read_does_not_block_the_sink():
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream, os.fdopen(reading, "rb") as reader:
        sink = log_limits.NonBlockingSink(stream)
        line = "x" * 1000 + "\n"
        for _ in range(200):
            sink.write(line)
        os.set_blocking(reader.fileno(), False)
        first = reader.read()
        sink.write("after\n")
        later = reader.read()
    lines = (first + later).decode().splitlines()
    complete = [text for text in lines if text.startswith("x")]
    assert all(len(text) == 1000 for text in complete)
    assert lines[-1] == "after"
    lost = 200 - len(complete)
    assert lines[-2] == f"level=WARNING event=log-lines-lost count={lost}"


def test_each_event_has_its_own_rate_limit():
    limiter = log_limits.EventLimiter(1.0, 1.0, lambda: 0.0)
    assert limiter.admit("a") == 0
    assert limiter.admit("a") is None
    assert limiter.admit("b") == 0
