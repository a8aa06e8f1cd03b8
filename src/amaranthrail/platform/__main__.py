"""Start the entry of this host: ``python3 -m amaranthrail.platform``."""

from __future__ import annotations

import signal
from importlib import import_module


def start() -> None:
    """Ignore SIGHUP, then import and run the program.

    The imports take a third of a second. Until the program handles SIGHUP,
    that signal would end the process; changed settings are read at the start
    anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('amaranthrail.platform.program').main()


if __name__ == '__main__':
    start()
