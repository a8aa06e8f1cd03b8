"""Remember since when an entry leaves, and decide what it still does."""

from __future__ import annotations

from ..policy.shutdown import CALL_COMPLETION_SHARE, can_accept_call, can_exit
from ..types import Millis
from .call import Call
from .members import Members
from .sync import StoreContact


class Departure:
    """Tell which calls are still taken, and when the process may end."""

    def __init__(self, contact: StoreContact, members: Members) -> None:
        """Take what is known of the store and of the other entries."""
        self._contact = contact
        self._members = members
        self._clock = contact.clock
        self._shutdown_ms = Millis(0)
        self._began_at: Millis | None = None

    def begin(self, shutdown_ms: Millis) -> float:
        """Note the signal to stop; return by when all calls must have ended.

        ``shutdown_ms`` is the time until the process is killed.
        """
        self._members.leave()
        self._shutdown_ms = shutdown_ms
        self._began_at = self._clock.now()
        return self._began_at + CALL_COMPLETION_SHARE * shutdown_ms

    def may_end(self, active: int) -> bool:
        """Tell whether the process may end, with so many calls in progress."""
        return can_exit(
            active=active,
            store_lost=self._contact.lost,
            successors=self._members.successors,
        )

    def takes(self, call: Call) -> bool:
        """Tell whether a call is taken now."""
        if self._began_at is None:
            return True
        return can_accept_call(
            call.arrived_at - self._began_at,
            call.deadline - call.arrived_at,
            self._shutdown_ms,
            streaming=call.route.streaming,
        )
