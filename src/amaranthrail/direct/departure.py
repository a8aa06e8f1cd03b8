"""Remember since when an entry leaves."""

from __future__ import annotations

from ..clock import Clock
from ..policy.leaving import FINISH_SHARE, may_end, takes_call
from ..types import Millis
from .call import Call


class Departure:
    """Tell which calls are still taken."""

    def __init__(self, clock: Clock, shutdown_ms: Millis) -> None:
        """Take the time from the signal to stop until the kill, in ms."""
        self._clock = clock
        self._shutdown_ms = shutdown_ms
        self._began_at: Millis | None = None

    def begin(self) -> float:
        """Note the signal to stop; return by when all calls must have ended."""
        self._began_at = self._clock.now()
        return self._began_at + FINISH_SHARE * self._shutdown_ms

    def may_end(
        self, active: int, *, store_lost: bool, successors: int
    ) -> bool:
        """Tell whether the process may end, with so many calls in progress."""
        return may_end(
            active=active,
            store_lost=store_lost,
            successors=successors,
        )

    def takes(self, call: Call) -> bool:
        """Tell whether a call is taken now."""
        if self._began_at is None:
            return True
        return takes_call(
            call.arrived_at - self._began_at,
            call.deadline - call.arrived_at,
            self._shutdown_ms,
            streaming=call.route.streaming,
        )
