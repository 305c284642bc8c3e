"""Records what a fake did, one JSON line a transition.

The file outlives the process, so a test can check the whole history after
kills. Each line has ``at`` (wall time in seconds) and the fields given.
"""

import pathlib
import types
import typing

import orjson

from laburnumsill.core import clock as clocks


class Recorder:
    """Appends lines to a file; without a path it keeps nothing.

    Examples:
        >>> import tempfile
        >>> folder = tempfile.TemporaryDirectory()
        >>> path = pathlib.Path(folder.name) / "runs.jsonl"
        >>> with Recorder(path, clocks.ManualClock(7.0)) as recorder:
        ...     recorder.write("started", task="t1")
        >>> read(path)
        [{'at': 7.0, 'what': 'started', 'task': 't1'}]
        >>> folder.cleanup()
    """

    def __init__(self, path: pathlib.Path | None, clock: clocks.Clock) -> None:
        self._clock = clock
        self._file: typing.BinaryIO | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open("ab", buffering=0)

    def __enter__(self) -> "Recorder":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def write(self, what: str, **fields: object) -> None:
        """Appends one line; it reaches the file before this returns."""
        if self._file is None:
            return
        line = {"at": self._clock.wall(), "what": what, **fields}
        self._file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


def read(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Returns all whole lines of a record; a torn last line is left out."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    return [orjson.loads(line) for line in lines[:-1]]
