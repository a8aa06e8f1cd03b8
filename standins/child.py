"""Control one child process of a local fleet."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path


class Child:
    """Run a Python module as a child process that can be restarted."""

    def __init__(
        self,
        arguments: list[str],
        environment: dict[str, str],
        log_path: Path,
    ) -> None:
        """Start ``python -m`` with these arguments.

        ``environment`` is added to that of this process; standard output and
        error are appended to ``log_path``.
        """
        self._arguments = arguments
        self._environment = {**os.environ, **environment}
        self._log_path = log_path
        self._process = self._start()

    @property
    def pid(self) -> int:
        """Return the process id of the latest start."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has not exited."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code (minus the signal), None while it runs."""
        return self._process.poll()

    @property
    def log_text(self) -> str:
        """Return all output of the process, of earlier starts too."""
        return self._log_path.read_text()

    def send(self, signal_number: int) -> None:
        """Send a signal to the process, not its group, if it still runs."""
        if self.running:
            self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process with SIGCONT."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def restart(self) -> None:
        """Start the process again after it has exited."""
        self._process = self._start()

    def wait(self, timeout: float) -> int | None:
        """Return the exit code, None if it still runs after ``timeout`` s."""
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
