"""Decide from entries' own reports which are live and which is the leader.

Load pattern: entries are killed, suspended, partitioned and replaced while the
platform's store is down, at a load peak too. The leader is the entry that has
run longest, so that leadership only moves when that entry stops, and without
any call to the store.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

#: Time without a report after which an entry is not live any more, in ms: the
#: time of three reports of an entry without calls.
LIVENESS_TIMEOUT_MS = 900.0
#: Time after its start in which an entry does not become the leader, in ms: by
#: then it has received one report of each other entry. A shorter time is safe,
#: as an entry hands leadership over to one that has run longer.
LEADER_DELAY_MS = 400.0


class Member(msgspec.Struct, frozen=True):
    """Hold an entry's last report on itself and when it was received.

    ``started_at`` and ``shutdown_at`` are the wall times in ms of its start and
    of its stop signal; the latter is 0 before the signal. They only order the
    entries, so a wrong clock affects which one is the leader and which one
    exits last, and nothing else. ``has_cluster_state`` says that it knows a
    configuration and upstreams. ``last_seen_at`` is a local time in ms.
    ``domain`` is its failure domain, '' where unknown; ``sequence`` numbers its
    reports since its start, 0 where it does not say.
    """

    host: str
    started_at: int
    last_seen_at: float
    shutdown_at: int = 0
    has_cluster_state: bool = True
    domain: str = ''
    sequence: int = 0

    @property
    def is_shutting_down(self) -> bool:
        """Tell whether it has reported its stop signal."""
        return self.shutdown_at > 0


def is_live(member: Member, now: float, timeout_ms: float) -> bool:
    """Tell whether an entry's last report is more recent than the timeout."""
    return now - member.last_seen_at < timeout_ms


def is_outdated(report: Member, known: Member | None) -> bool:
    """Tell whether a later report of the same entry has been received.

    Reports come on several paths. Wall times don't order those of different
    starts, as an entry may start again with a wrong clock.
    """
    return (
        known is not None
        and report.started_at == known.started_at
        and 0 < report.sequence <= known.sequence
    )


def is_leader(
    own: Member,
    others: Iterable[Member],
    now: float,
    timeout_ms: float = LIVENESS_TIMEOUT_MS,
) -> bool:
    """Tell whether this entry has run longest of all that are live.

    ``own.last_seen_at`` is when this entry began to receive reports: it is not
    the leader before it would have received those of the others. An entry that
    is shutting down is never the leader.
    """
    if own.is_shutting_down or now - own.last_seen_at < LEADER_DELAY_MS:
        return False
    return all(
        (own.started_at, own.host) < (member.started_at, member.host)
        for member in others
        if is_live(member, now, timeout_ms) and not member.is_shutting_down
    )


def is_successor(other: Member, own: Member) -> bool:
    """Tell whether another entry has the cluster state after this one exits.

    Of entries that are shutting down, the last to begin is the last to exit.
    """
    if not other.has_cluster_state:
        return False
    return not other.is_shutting_down or (
        (other.shutdown_at, other.host) > (own.shutdown_at, own.host)
    )


def report_rounds(entries: int, receivers: int) -> int:
    """Return after how many reports of an entry all others have received one.

    Each report is sent to at most ``receivers`` entries, so the more
    ``entries`` there are, the less often one entry receives another's reports.
    """
    return -(-max(1, entries - 1) // receivers)


def liveness_timeout_ms(entries: int, receivers: int) -> float:
    """Return the time without a report after which an entry is not live."""
    return LIVENESS_TIMEOUT_MS * report_rounds(entries, receivers)
