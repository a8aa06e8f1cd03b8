"""Own one process of a local fleet."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path


class Child:
    """Run a Python module as a process that can be started again."""

    def __init__(
        self,
        arguments: list[str],
        environment: dict[str, str],
        log_path: Path,
    ) -> None:
        """Take the module with its arguments and start it."""
        self._arguments = arguments
        self._environment = {**os.environ, **environment}
        self._log_path = log_path
        self._process = self._start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return how the process ended, None while it runs."""
        return self._process.poll()

    @property
    def log_text(self) -> str:
        """Return what the process has written to its log."""
        return self._log_path.read_text()

    def send(self, signal_number: int) -> None:
        """Send a signal to this process alone."""
        if self.running:
            self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Stop the process where it is."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait until it is gone."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def restart(self) -> None:
        """Start the process again after it has ended."""
        self._process = self._start()

    def wait(self, timeout: float) -> int | None:
        """Return the exit code, None if it does not end in time."""
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log_path.open('ab') as log_file:
            return subprocess.Popen(
                [sys.executable, '-m', *self._arguments],
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
