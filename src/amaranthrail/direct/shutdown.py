"""Decide which calls an entry accepts and finishes during its shutdown."""

from __future__ import annotations

from ..policy.shutdown import CALL_COMPLETION_SHARE, can_accept_call, can_exit
from ..types import Millis
from .call import Call
from .members import Members
from .sync import StoreStatus


class GracefulShutdown:
    """Apply the shutdown policy to calls and to the end of the process."""

    def __init__(self, store_status: StoreStatus, members: Members) -> None:
        """Accept every call until begin() is called."""
        self._store_status = store_status
        self._members = members
        self._clock = store_status.clock
        self._shutdown_ms = Millis(0)
        self._began_at: Millis | None = None

    def begin(self, shutdown_ms: Millis) -> float:
        """Start the shutdown; return the clock time by which calls must end.

        ``shutdown_ms`` is the time from now until the process is killed.
        """
        self._members.begin_shutdown()
        self._shutdown_ms = shutdown_ms
        self._began_at = self._clock.now()
        return self._began_at + CALL_COMPLETION_SHARE * shutdown_ms

    def can_exit(self, active: int) -> bool:
        """Tell whether the process may exit with ``active`` calls."""
        return can_exit(
            active=active,
            store_lost=self._store_status.lost,
            successors=self._members.successor_count,
        )

    def accepts(self, call: Call) -> bool:
        """Tell whether a call that arrives now can be finished in time."""
        if self._began_at is None:
            return True
        return can_accept_call(
            call.arrived_at - self._began_at,
            call.deadline - call.arrived_at,
            self._shutdown_ms,
            streaming=call.route.streaming,
        )
