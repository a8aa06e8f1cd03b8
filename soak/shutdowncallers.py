"""Call an entry from before its SIGTERM until its process has ended."""

from __future__ import annotations

import contextlib
import itertools
import random
import threading
from collections.abc import Callable, Iterator
from functools import partial
from http import client

from .callers import (
    CALL_DEADLINE_S,
    CallKind,
    CallRecord,
    make_call,
    open_later,
)
from .losses import GRACE_S, MAX_SENT_S

#: Time from the start of the callers until SIGTERM, in seconds.
LEAD_S = 0.5
#: Long streams, and those of them that are sent around the time from which on
#: none may be cut off; half of them use connections that are opened at first.
_STREAMS = 16
_STREAMS_AT_BORDER = 8
_BORDER_S = 0.4
_LONG_DEADLINE_S = 15.0
_LONG_TIMEOUT_S = 18.0
#: Plain calls on connections that are opened at first and not used before.
_UNUSED_CONNECTIONS = 10
#: Callers that make plain calls one after the other, and their longest pause,
#: in seconds.
_STEADY_CALLERS = 3
_MAX_PAUSE_S = 0.004
#: Deadlines of plain calls, in seconds: an entry accepts one near its end only
#: if it has a short one.
_PLAIN_DEADLINES_S = (0.3, 1.0, CALL_DEADLINE_S)
#: Groups of plain calls near the end of a process without other calls: it ends
#: after 120 to 140 ms without a call, so the pauses are about as long.
_MIN_GAP_S = 0.095
_MAX_GAP_S = 0.145
_GROUP_SIZE = 6


class ShutdownCallers:
    """Call one entry in threads of their own around one SIGTERM.

    Either long streams and steady plain calls keep its process at work to the
    end of the grace period, or groups of plain calls are made as it ends early.
    """

    def __init__(self, host: str, prefix: str, *, until_grace: bool) -> None:
        """Set the entry's host and the unique prefix of the attempts."""
        self._host = host
        self._prefix = prefix
        self._random = random.Random(prefix)
        self._until_grace = until_grace
        self._ended = threading.Event()
        self._numbers = itertools.count()
        self._threads: list[threading.Thread] = []
        self.calls: list[CallRecord] = []

    def start(self) -> None:
        """Start the threads; SIGTERM is expected LEAD_S later."""
        for run in self._plan():
            thread = threading.Thread(target=run, daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Begin no more calls, as the process has ended; wait for the rest."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _plan(self) -> Iterator[Callable[[], None]]:
        # SIGTERM comes while this one is answered.
        yield partial(self._call_once, 0, CallKind.LONG, int(2000 * LEAD_S))
        if not self._until_grace:
            yield partial(self._call_in_groups, self._random.random())
            yield partial(self._call_in_groups, self._random.random())
            return
        for number in range(_STREAMS):
            sent_s = self._random.uniform(-LEAD_S, MAX_SENT_S + _BORDER_S)
            if number < _STREAMS_AT_BORDER:
                sent_s = MAX_SENT_S + self._random.uniform(
                    -_BORDER_S, _BORDER_S
                )
            ends_s = self._random.uniform(sent_s + 1, 1.5 * GRACE_S)
            yield partial(
                self._call_once,
                LEAD_S + sent_s,
                CallKind.LONG,
                int(1000 * (ends_s - sent_s)),
            )
        for _ in range(_UNUSED_CONNECTIONS):
            sent_s = self._random.uniform(0, LEAD_S + GRACE_S)
            yield partial(self._call_once, sent_s, CallKind.READ, 0)
        for _ in range(_STEADY_CALLERS):
            yield partial(self._call_steadily, self._random.random())

    def _call_once(
        self, after_s: float, kind: CallKind, length_ms: int
    ) -> None:
        """Make one call, on a connection opened before or just then."""
        generator = random.Random(f'{self._prefix} {after_s}')
        connection = open_later(self._host, _LONG_TIMEOUT_S)
        if generator.random() < 1 / 2:
            self._connect(connection)
        if self._ended.wait(after_s):
            return
        if connection.sock is None:
            self._connect(connection)
        deadline_s = _LONG_DEADLINE_S
        if kind is not CallKind.LONG:
            deadline_s = generator.choice(_PLAIN_DEADLINES_S)
        self._call(connection, kind, deadline_s, length_ms)
        connection.close()

    def _call_steadily(self, seed: float) -> None:
        generator = random.Random(seed)
        connection = open_later(self._host)
        while not self._ended.wait(generator.uniform(0, _MAX_PAUSE_S)):
            self._call_plain(connection, generator)
        connection.close()

    def _call_in_groups(self, seed: float) -> None:
        """Make groups of calls on a kept connection, with pauses between."""
        generator = random.Random(seed)
        connection = open_later(self._host)
        while not self._ended.wait(generator.uniform(_MIN_GAP_S, _MAX_GAP_S)):
            for _ in range(_GROUP_SIZE):
                self._call_plain(connection, generator)
        connection.close()

    def _call_plain(
        self, connection: client.HTTPConnection, generator: random.Random
    ) -> None:
        kind = generator.choice((CallKind.READ, CallKind.BOOK))
        self._call(connection, kind, generator.choice(_PLAIN_DEADLINES_S), 0)

    def _call(
        self,
        connection: client.HTTPConnection,
        kind: CallKind,
        deadline_s: float,
        length_ms: int,
    ) -> None:
        attempt = f'{self._prefix}-{next(self._numbers)}-{length_ms}'
        call = make_call(connection, kind, attempt, deadline_s)
        if call.sent_at:
            self.calls.append(call)

    def _connect(self, connection: client.HTTPConnection) -> None:
        with contextlib.suppress(OSError):
            connection.connect()
