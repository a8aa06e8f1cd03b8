"""Choose how long the store may hold a read for the next record.

Load pattern: the path to the store loses the responses to all open reads
without closing a connection, at several entries at once, and the configuration
changes right afterwards. No entry knows the change, so none can report it to
the others: each must read again in time by itself.
Another pattern: the store takes longer to respond than entries wait, for as
long as its trouble lasts, and entries start meanwhile. A read that is repeated
as it was is given up again.
"""

from __future__ import annotations

import msgspec

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


class ReadTimes(msgspec.Struct, frozen=True):
    """Bound one read; times in milliseconds.

    The store may hold it for ``wait_ms``; its response counts as lost after
    ``timeout_ms`` more.
    """

    wait_ms: int
    timeout_ms: int = RESPONSE_TIMEOUT_MS


def choose_read_times(wait_ms: int, *, has_failed: bool) -> ReadTimes:
    """Return the times of a read that the store may hold for ``wait_ms``.

    ``has_failed`` says that the read before got no response. The store is then
    not asked to hold this one, and has all of the time to respond.
    """
    if has_failed:
        return ReadTimes(0, wait_ms + RESPONSE_TIMEOUT_MS)
    return ReadTimes(wait_ms)


def choose_wait_ms(contact_ms: float) -> int:
    """Return for how long the store is asked to hold a read, in ms.

    A read that began just before the end of a disturbance, and whose response
    is lost, is replaced within ``contact_ms`` after that end.
    """
    return max(MIN_WAIT_MS, int(contact_ms) - RESPONSE_TIMEOUT_MS - REREAD_MS)
