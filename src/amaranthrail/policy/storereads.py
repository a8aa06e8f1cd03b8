"""Choose how long the store may hold a read for the next record.

Load pattern: the path to the store loses the responses to all open reads
without closing a connection, at several entries at once, and the configuration
changes right afterwards. No entry knows the change, so none can report it to
the others: each must read again in time by itself.
"""

from __future__ import annotations

#: Time until the response of a call to the store counts as lost, in ms, on top
#: of the time for which the store is asked to hold it.
#: The store takes 4 ms on the users' data sheets, 60 times as long when it is
#: slow.
RESPONSE_TIMEOUT_MS = 700
#: Time for a new connection, the next read and the change itself, in ms.
REREAD_MS = 400
#: Shortest time that the store is asked to hold a read, in ms: calls are
#: billed.
MIN_WAIT_MS = 300


def choose_wait_ms(contact_ms: float) -> int:
    """Return for how long the store is asked to hold a read, in ms.

    A read that began just before the end of a disturbance, and whose response
    is lost, is replaced within ``contact_ms`` after that end.
    """
    return max(MIN_WAIT_MS, int(contact_ms) - RESPONSE_TIMEOUT_MS - REREAD_MS)
