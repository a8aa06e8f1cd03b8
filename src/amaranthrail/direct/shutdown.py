"""Decide which calls an entry accepts and finishes during its shutdown."""

from __future__ import annotations

from ..metrics import Metrics
from ..outcomes import Reason, Refusal, not_run
from ..policy.shutdown import CALL_COMPLETION_SHARE, can_accept_call, can_exit
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
    ) -> None:
        """Accept every call until begin() is called."""
        self._log = ShutdownLog(store_status.clock, metrics)
        self._store_status = store_status
        self._members = members
        self._clock = store_status.clock
        self._shutdown_ms = Millis(0)
        self._deadline = Millis(0)
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
        self._log.begin(times, active)
        self._members.begin_shutdown()
        self._shutdown_ms = shutdown_ms
        self._began_at = times.earliest
        self._deadline = Millis(
            self._began_at + CALL_COMPLETION_SHARE * shutdown_ms
        )
        return self._deadline

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
        if can_accept_call(
            since_signal_ms,
            max_call_ms,
            self._shutdown_ms,
            streaming=call.route.streaming,
        ):
            self._log.record_accepted(call)
            return None
        # Other entries accept the call without delay.
        return not_run(
            Reason.DRAINING,
            f'this entry leaves since {since_signal_ms:.0f} ms, '
            f'the call may take {max_call_ms:.0f} ms',
            0,
        )
