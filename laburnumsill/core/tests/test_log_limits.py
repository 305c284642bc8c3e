import os

from laburnumsill.core import log_limits


def test_a_reader_that_does_not_read_stops_nobody():
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
    whole = (first + later).decode().splitlines()
    kept = [one for one in whole if one.startswith("x")]
    assert all(len(one) == 1000 for one in kept)
    assert whole[-1] == "after"
    lost = 200 - len(kept)
    assert whole[-2] == f"level=WARNING event=log-lines-lost count={lost}"


def test_events_do_not_take_each_others_lines():
    limiter = log_limits.EventLimiter(1.0, 1.0, lambda: 0.0)
    assert limiter.admit("a") == 0
    assert limiter.admit("a") is None
    assert limiter.admit("b") == 0
