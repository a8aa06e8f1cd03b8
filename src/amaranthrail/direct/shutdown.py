"""Decide which calls an entry accepts and finishes during its shutdown."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from ..clock import move_on_after
from ..metrics import Metrics
from ..outcomes import Reason, Refusal, not_run, unknown_outcome
from ..policy.shutdown import (
    SEND_SHARE,
    can_accept_call,
    can_exit,
    can_finish,
    cut_off_ms,
)
from ..signals import StopTimes
from ..types import Millis
from .call import Call
from .members import Members
from .shutdownlog import ExitCause, ShutdownLog
from .sync import StoreStatus


class GracefulShutdown:
    """Apply the shutdown policy to calls and to the end of the process."""

    def __init__(
        self,
        store_status: StoreStatus,
        members: Members,
        metrics: Metrics,
        expected_stream_ms: Callable[[Call], float | None],
    ) -> None:
        """Accept every call until record_stop() is called.

        ``expected_stream_ms`` returns the time that a call's stream is expected
        to take, None where that is unknown.
        """
        self._expected_stream_ms = expected_stream_ms
        self._log = ShutdownLog(store_status.clock, metrics)
        self._store_status = store_status
        self._members = members
        self._clock = store_status.clock
        self._shutdown_ms = Millis(0)
        self._deadline = Millis(0)
        self._running: set[trio.CancelScope] = set()
        self._began_at: Millis | None = None

    @property
    def log(self) -> ShutdownLog:
        """Return what records the calls of the shutdown."""
        return self._log

    def begin(
        self, times: StopTimes, shutdown_ms: Millis, active: int
    ) -> float:
        """Start the shutdown; return the clock time by which calls must end.

        ``shutdown_ms`` is the time from the stop signal until the process is
        killed, and ``active`` the number of calls in progress. Time is counted
        from the earliest moment at which the signal may have been sent: a busy
        process handles it late, and the kill does not wait for it.
        """
        self.record_stop(times, shutdown_ms)
        self._log.begin(active)
        self._members.begin_shutdown()
        return self._deadline

    def record_stop(self, times: StopTimes, shutdown_ms: Millis) -> None:
        """Decide by the stop signal from now on; later ones change nothing.

        ``shutdown_ms`` is as in begin(). May be called in a signal handler.
        """
        if self._began_at is not None:
            return
        self._log.record_stop(times)
        self._shutdown_ms = shutdown_ms
        self._deadline = Millis(
            times.earliest + cut_off_ms(shutdown_ms, times.uncertainty_ms)
        )
        # Set last: it tells that the rest is known.
        self._began_at = times.earliest

    @property
    def send_deadline(self) -> float:
        """Return the clock time by which the last response must be sent."""
        return self._deadline + SEND_SHARE * self._shutdown_ms

    @contextmanager
    def bound_call(self, remaining_ms: float) -> Iterator[None]:
        """Leave the block after ``remaining_ms``, or when calls are cut off."""
        with move_on_after(remaining_ms) as scope:
            self._running.add(scope)
            try:
                yield
            finally:
                self._running.discard(scope)

    def cut_calls(self) -> None:
        """Cut off all calls in progress; their callers are still answered."""
        self._log.begin_cut()
        for scope in self._running:
            scope.cancel()

    def refuse_cut(self, call: Call) -> Refusal | None:
        """Return the refusal of a call that has been cut off, else None."""
        if not self._log.is_cutting or self._clock.now() >= call.deadline:
            return None
        detail = 'cut off at the deadline of the shutdown'
        if call.may_have_run:
            return unknown_outcome(Reason.DRAINING, detail)
        return not_run(Reason.DRAINING, detail, 0)

    def end(self, active: int) -> None:
        """Record that the process ends with ``active`` calls in progress."""
        is_due = self._clock.now() >= self._deadline
        cause = ExitCause.DEADLINE if is_due else ExitCause.IDLE
        self._log.end(cause, active)

    def can_exit(self, active: int) -> bool:
        """Tell whether the process may exit with ``active`` calls."""
        return can_exit(
            active=active,
            store_lost=self._store_status.lost,
            successors=self._members.successor_count,
        )

    def refuse(self, call: Call) -> Refusal | None:
        """Return why a call that arrives now is refused, None if it is not."""
        if self._began_at is None:
            return None
        since_signal_ms = call.arrived_at - self._began_at
        max_call_ms = call.deadline - call.arrived_at
        expected_ms = self._expected_ms(call)
        if can_accept_call(
            since_signal_ms,
            max_call_ms,
            self._shutdown_ms,
            streaming=call.route.streaming,
            expected_ms=expected_ms,
        ):
            self._log.record_accepted(call)
            return None
        return _refuse(since_signal_ms, max_call_ms, expected_ms)

    def refuse_retry(self, call: Call) -> Refusal | None:
        """Return why a call that has not run is not sent again, if so."""
        if self._began_at is None:
            return None
        now = self._clock.now()
        expected_ms = self._expected_ms(call)
        since_signal_ms = now - self._began_at
        if can_finish(since_signal_ms, self._shutdown_ms, expected_ms):
            return None
        return _refuse(since_signal_ms, call.deadline - now, expected_ms)

    def _expected_ms(self, call: Call) -> float | None:
        return self._expected_stream_ms(call) if call.route.streaming else None


def _refuse(
    since_signal_ms: float, max_call_ms: float, expected_ms: float | None
) -> Refusal:
    """Refuse a call that other entries accept without delay."""
    length = 'unknown' if expected_ms is None else f'{expected_ms:.0f} ms'
    return not_run(
        Reason.DRAINING,
        f'this entry leaves since {since_signal_ms:.0f} ms, the call may '
        f'take {max_call_ms:.0f} ms, a stream is expected to take {length}',
        0,
    )
