"""Processes that a test or the demo starts, signals and ends by their id."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections import abc

STOP_TIMEOUT_S = 45.0


class Process:
    """One process of ours, with its output in a file."""

    def __init__(
        self,
        name: str,
        module: str,
        arguments: abc.Sequence[str],
        log: pathlib.Path,
    ) -> None:
        self._name = name
        self._log = log
        self._command = [sys.executable, "-m", module, *arguments]
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """What the process is."""
        return self._name

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Starts it; its output is appended to the log file."""
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def kill(self) -> None:
        """Ends it at once, with all that it has not synced."""
        if self._popen is not None and self.running:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def terminate(self) -> None:
        """Asks it to shut down gracefully."""
        if self._popen is not None and self.running:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.terminate()

    def pause(self) -> None:
        """Freezes it."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        os.kill(self.pid, signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Returns its exit code, or None if it has not ended in time."""
        assert self._popen is not None
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def log_text(self) -> str:
        """Returns all that it has written."""
        return self._log.read_text(errors="replace")


def stop_all(processes: abc.Iterable[Process]) -> dict[str, int | None]:
    """Shuts processes down gracefully and returns their exit codes.

    A process that does not end in time is killed and has the code None.
    """
    running = [process for process in processes if process.running]
    for process in running:
        process.terminate()
    end = time.monotonic() + STOP_TIMEOUT_S
    codes: dict[str, int | None] = {}
    for process in running:
        codes[process.name] = process.wait(max(0.1, end - time.monotonic()))
        process.kill()
    return codes
