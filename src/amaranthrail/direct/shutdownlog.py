"""Tell what became of the calls that an entry has or takes in a shutdown."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from ..clock import Clock
from ..logs import part_logger
from ..metrics import Metrics
from ..signals import StopTimes
from .call import Call

_log = part_logger('entry')


class CallEnd(Enum):
    """State how a call ended; CUT are those that the entry broke off."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    REJECTED = 'rejected'
    CUT = 'cut'
    CALLER_LEFT = 'caller-left'


class ExitCause(Enum):
    """State why an entry that shuts down ended."""

    IDLE = 'no call in progress'
    DEADLINE = 'shutdown deadline'


class ShutdownLog:
    """Count the calls of a graceful shutdown and log a summary of them."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Count nothing until record_stop() is called."""
        self._clock = clock
        self._metrics = metrics
        self._times: StopTimes | None = None
        self._has_ended = False
        self._is_cutting = False
        self._ends: Counter[CallEnd] = Counter()
        self._accepted = 0
        self._last_accepted_ms: int | None = None

    @property
    def has_ended(self) -> bool:
        """Tell whether calls that are still in progress are broken off."""
        return self._has_ended

    @property
    def is_cutting(self) -> bool:
        """Tell whether calls in progress have been cut off."""
        return self._is_cutting

    def begin_cut(self) -> None:
        """Record that calls in progress are cut off from now on."""
        self._is_cutting = True

    def record_stop(self, times: StopTimes) -> None:
        """Count calls from now on; may be called in a signal handler."""
        self._times = times

    def begin(self, active: int) -> None:
        """Log the start of a shutdown with ``active`` calls in progress."""
        times = self._times
        if times is None:
            return
        handled_ms = self._clock.now() - times.received_at
        _log.info(
            'leaving',
            active=active,
            signal_handled_ms=int(handled_ms),
            signal_uncertainty_ms=int(times.uncertainty_ms),
        )
        self._metrics.gauge(
            'shutdown_signal_delay_seconds',
            (handled_ms + times.uncertainty_ms) / 1000,
        )

    def describe(self, call: Call) -> dict[str, object]:
        """Return the log fields of a call, none before a shutdown.

        ``since_signal_ms`` is the longest time from the stop signal to the
        call's arrival, negative for calls that arrived before the signal.
        """
        if self._times is None:
            return {}
        since_signal_ms = call.arrived_at - self._times.earliest
        return {'since_signal_ms': int(since_signal_ms)}

    def record_accepted(self, call: Call) -> None:
        """Record a call that is accepted; those before a shutdown count not."""
        if self._times is None:
            return
        self._accepted += 1
        self._last_accepted_ms = int(call.arrived_at - self._times.earliest)

    def record_end(self, end: CallEnd) -> None:
        """Record how a call ended, if that is during a shutdown."""
        if self._times is None:
            return
        self._ends[end] += 1
        self._metrics.count('shutdown_calls', end=end.value)

    def end(self, cause: ExitCause, active: int) -> None:
        """Log the end of the shutdown with ``active`` calls in progress."""
        self._has_ended = True
        if self._times is None:
            return
        _log.info(
            'shutdown done',
            cause=cause.value,
            active=active,
            since_signal_ms=int(self._clock.now() - self._times.earliest),
            accepted=self._accepted,
            last_accepted_ms=self._last_accepted_ms,
            **{end.value: self._ends[end] for end in CallEnd},
        )
