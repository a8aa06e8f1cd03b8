"""Tell which calls an entry that leaves still takes.

Load pattern: the entries of a failure domain are restarted one after the other,
some seconds apart, while each finishes its streams. The balancer then sends
callers to entries that leave as well, since too few others are ready. Where all
entries are restarted while the store is away, none would know anything.
"""

from __future__ import annotations

#: Time from the signal to stop in which streams are taken, in ms: the balancer
#: sends new callers until it has missed two probes, a second apart, and the
#: users let only streams of the first 3 s be cut at the kill.
STREAM_ACCEPT_MS = 2900.0
#: Part of the time until the kill that calls in progress may take.
CALL_COMPLETION_SHARE = 0.94


def can_exit(*, active: int, store_lost: bool, successors: int) -> bool:
    """Tell whether an entry that leaves may end before it must.

    While the store is away, what the entries know is nowhere else: the last of
    them waits until another can be asked.
    """
    return not active and (not store_lost or successors > 0)


def can_accept_call(
    since_ms: float,
    left_ms: float,
    shutdown_ms: float,
    *,
    streaming: bool,
) -> bool:
    """Tell whether a call can be answered before the process is killed.

    ``since_ms`` is the time since the signal to stop, ``left_ms`` what the
    call may take, and ``shutdown_ms`` the time from the signal to the kill.
    """
    if streaming:
        return since_ms < STREAM_ACCEPT_MS
    return since_ms + left_ms < CALL_COMPLETION_SHARE * shutdown_ms
